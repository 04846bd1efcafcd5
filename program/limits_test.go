package program_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

func endCommand(id api.ProgramID) program.Command {
	return program.Command{Program: id, End: &program.End{Reason: "done"}}
}

// childCommand returns the command that creates a sub-agent with this budget.
func childCommand(child, parent api.ProgramID, tokens int64) program.Command {
	command := createCommand(child)
	command.Create.Parent = parent
	command.Create.Request.BudgetTokens = tokens
	return command
}

func (d *driver) describe(id api.ProgramID) api.Program {
	described, _ := d.store.Describe(id)
	return described
}

var _ = Describe("a program's budget", func() {
	var d *driver

	BeforeEach(func() {
		d = newDriver(program.Config{})
		command := createCommand("p")
		command.Create.Request.BudgetTokens = 250
		d.step(command)
	})

	It("is reserved at acceptance, refused when it does not fit, and settled by the outcome", func() {
		d.submit("p", modelCall("a")) // 10 bytes of input are 3 tokens
		Expect(d.describe("p").ReservedTokens).To(BeEquivalentTo(103))
		// b may cost 103 tokens of history, from a's input and at most 100 tokens
		// of its output, plus 103 of its own; 250 - 103 are free.
		refusal := d.refused(submitCommand("p", modelCall("b")))
		Expect(refusal.Code).To(Equal(api.CodeBudgetExhausted))
		Expect(refusal.Ran).To(Equal(api.RanNotRun))
		d.dispatch("p", 1)
		d.succeed("p", 1, "hello")
		Expect(d.describe("p").SpentTokens).To(BeEquivalentTo(15))
		Expect(d.describe("p").ReservedTokens).To(BeZero())
		Expect(d.submit("p", modelCall("b")).Sequence).To(BeEquivalentTo(2))
	})

	It("counts what queued calls may add to the prompt of later ones", func() {
		call := modelCall("a")
		call.MaxOutputTokens = 20
		d.submit("p", call)
		call.Key, call.Input = "b", "input of b"
		d.submit("p", call)
		Expect(d.describe("p").ReservedTokens).To(BeEquivalentTo((3 + 20) + (3 + 20 + 3 + 20)))
		d.dispatch("p", 1)
		d.succeed("p", 1, "12345678")
		Expect(d.describe("p").SpentTokens).To(BeEquivalentTo(15))
		Expect(d.describe("p").ReservedTokens).To(BeEquivalentTo(3 + 2 + 3 + 20))
		Expect(d.effect(program.EffectSchedule, ref("p", 2)).PromptTokens).To(Equal(8))
		Expect(d.effect(program.EffectSchedule, ref("p", 2)).AttainedTokens).To(BeEquivalentTo(15))
	})

	It("stays reserved for a call whose cost nobody knows", func() {
		d.submit("p", modelCall("a"))
		d.dispatch("p", 1)
		d.tick(time.Minute)
		Expect(d.describe("p").ReservedTokens).To(BeEquivalentTo(103))
		d.submit("p", modelCall("b"))
		Expect(d.describe("p").ReservedTokens).To(BeEquivalentTo(206))
		Expect(d.refused(submitCommand("p", modelCall("c"))).Code).To(Equal(api.CodeBudgetExhausted))
	})

	It("ends a queued call as not run when a tool's output leaves no room for it", func() {
		d.submit("p", readCall("a"))
		d.submit("p", modelCall("b"))
		d.dispatch("p", 1)
		d.succeed("p", 1, string(make([]byte, 800)))
		answer := d.effect(program.EffectAnswer, ref("p", 2)).Answer
		Expect(answer.Status).To(Equal(api.StatusNotRun))
		Expect(answer.Error.Code).To(Equal(api.CodeBudgetExhausted))
		Expect(d.describe("p").ReservedTokens).To(BeZero())
	})

	It("is carved for a sub-agent, which returns what it has not used", func() {
		d.step(childCommand("c", "p", 200))
		Expect(d.describe("p").ReservedTokens).To(BeEquivalentTo(200))
		Expect(d.describe("c").BudgetTokens).To(BeEquivalentTo(200))
		Expect(d.refused(childCommand("e", "p", 51)).Code).To(Equal(api.CodeBudgetExhausted))
		Expect(d.refused(submitCommand("p", modelCall("a"))).Code).To(Equal(api.CodeBudgetExhausted))
		d.submit("c", modelCall("a"))
		d.dispatch("c", 1)
		d.succeed("c", 1, "hello")
		d.step(endCommand("c"))
		Expect(d.describe("p").ReservedTokens).To(BeZero())
		Expect(d.describe("p").SpentTokens).To(BeEquivalentTo(15))
	})

	It("comes back when the sub-agent's creation was lost in a crash", func() {
		d.step(childCommand("c", "p", 200))
		d.crash(len(d.log) - 1)
		Expect(d.store.Count()).To(Equal(1))
		Expect(d.describe("p").ReservedTokens).To(BeZero())
	})

	It("never falls below what is committed when the contract lowers it", func() {
		d.submit("p", modelCall("a"))
		lower := terms()
		lower.Revision, lower.BudgetTokens = 2, 50
		d.step(program.Command{Program: "p", UpdateTerms: &lower})
		Expect(d.describe("p").BudgetTokens).To(BeEquivalentTo(103))
		Expect(d.refused(submitCommand("p", modelCall("b"))).Code).To(Equal(api.CodeBudgetExhausted))
	})
})

var _ = Describe("the limits of a program", func() {
	var d *driver

	BeforeEach(func() {
		d = newDriver(program.Config{MaximumPrograms: 3})
		d.create("p")
	})

	It("end a runaway loop: limit_reached first, program_ended after", func() {
		for range 20 {
			d.submit("p", modelCall(string(rune('a'+len(d.log)))))
			sequence := d.describe("p").Calls
			d.dispatch("p", sequence)
			d.succeed("p", sequence, "again")
		}
		Expect(d.refused(submitCommand("p", modelCall("more"))).Code).To(Equal(api.CodeLimitReached))
		d.tick(0)
		Expect(d.describe("p").EndReason).To(Equal(program.ReasonTurns))
		Expect(d.refused(submitCommand("p", modelCall("more"))).Code).To(Equal(api.CodeProgramEnded))
		Expect(d.effect(program.EffectRelease, ref("p", 0))).NotTo(BeNil())
	})

	It("end a program that makes no call for too long, but not one that waits for a call", func() {
		d.tick(9 * time.Minute)
		d.submit("p", modelCall("a"))
		d.tick(59 * time.Second)
		d.dispatch("p", 1)
		d.succeed("p", 1, "x")
		d.tick(10*time.Minute - 1)
		Expect(d.describe("p").Ended).To(BeFalse())
		d.tick(1)
		Expect(d.describe("p").EndReason).To(Equal(program.ReasonIdle))
	})

	It("do not take a program for idle that waits for a tool or for a sub-agent", func() {
		command := createCommand("q")
		command.Create.Terms.IdleTimeout = 5 * time.Second
		d.step(command)
		d.submit("q", readCall("a"))
		d.dispatch("q", 1)
		d.tick(15 * time.Second)
		Expect(d.describe("q").Ended).To(BeFalse())
		d.succeed("q", 1, "x")
		d.step(childCommand("c", "q", 10))
		d.tick(5 * time.Second)
		Expect(d.describe("q").Ended).To(BeFalse())
		d.step(endCommand("c"))
		d.tick(5 * time.Second)
		Expect(d.describe("q").EndReason).To(Equal(program.ReasonIdle))
	})

	It("end a program that lives for too long, the creator's limit before the contract's", func() {
		command := createCommand("q")
		command.Create.Request.DeadlineMilliseconds = 1000
		d.step(command)
		d.submit("q", modelCall("a"))
		d.tick(time.Second)
		Expect(d.describe("q").EndReason).To(Equal(program.ReasonDuration))
		Expect(d.call("q", 1).Status).To(Equal(api.StatusNotRun))
		Expect(d.describe("p").Ended).To(BeFalse())
	})

	It("bound sub-agents: each is a turn, and they nest only so deep", func() {
		d = newDriver(program.Config{MaximumDepth: 2})
		d.create("p")
		d.step(childCommand("c", "p", 200))
		d.step(childCommand("e", "c", 100))
		Expect(d.refused(childCommand("f", "e", 10)).Code).To(Equal(api.CodeLimitReached))
		for i := range 19 {
			d.step(childCommand(api.ProgramID(rune('A'+i)), "p", 10))
		}
		Expect(d.refused(childCommand("x", "p", 200)).Code).To(Equal(api.CodeLimitReached))
	})

	It("make a full store evict the program that ended first", func() {
		d.create("q")
		d.create("r")
		Expect(d.refused(createCommand("s")).Code).To(Equal(api.CodeOverloaded))
		d.step(endCommand("q"))
		d.create("s")
		_, held := d.store.Describe("q")
		Expect(held).To(BeFalse())
	})

	It("keep an ended program for its retention", func() {
		command := createCommand("q")
		command.Create.Terms.Retention = time.Minute
		d.step(command)
		d.step(endCommand("q"))
		d.tick(time.Minute - 1)
		Expect(d.describe("q").Ended).To(BeTrue())
		d.tick(1)
		Expect(d.store.Count()).To(Equal(1))
	})
})

var _ = Describe("the end of a program", func() {
	var d *driver

	BeforeEach(func() {
		d = newDriver(program.Config{})
		d.create("p")
	})

	It("ends its queue as not run, stops a running model call, and releases its memory once", func() {
		d.submit("p", modelCall("a"))
		d.submit("p", modelCall("b"))
		d.dispatch("p", 1)
		d.step(endCommand("p"))
		Expect(d.effect(program.EffectStop, ref("p", 1)).Attempt.Attempt).To(Equal(1))
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusCancelled))
		Expect(d.effect(program.EffectAnswer, ref("p", 2)).Answer.Status).To(Equal(api.StatusNotRun))
		d.step(endCommand("p"))
		Expect(d.count(program.EffectRelease, ref("p", 0))).To(Equal(1))
		Expect(d.store.Live("p")).To(BeFalse())
		Expect(d.refused(submitCommand("p", modelCall("c"))).Code).To(Equal(api.CodeProgramEnded))
		Expect(d.submit("p", modelCall("b")).Status).To(Equal(api.StatusNotRun))
	})

	It("awaits a running call that may not be repeated before it releases anything", func() {
		d.submit("p", sealCall("a"))
		d.dispatch("p", 1)
		d.step(endCommand("p"))
		Expect(d.store.Live("p")).To(BeTrue())
		Expect(d.count(program.EffectRelease, ref("p", 0))).To(BeZero())
		d.succeed("p", 1, "receipt")
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusSucceeded))
		Expect(d.count(program.EffectRelease, ref("p", 0))).To(Equal(1))
	})

	It("ends its sub-agents, also when the owner crashed in between", func() {
		d.step(childCommand("c", "p", 200))
		d.step(childCommand("e", "c", 100))
		before := len(d.log)
		d.step(endCommand("p"))
		Expect(d.describe("e").EndReason).To(Equal(program.ReasonParent))
		Expect(d.store.Live("p")).To(BeFalse())
		d.crash(before + 1)
		Expect(d.describe("c").EndReason).To(Equal(program.ReasonParent))
		Expect(d.describe("e").EndReason).To(Equal(program.ReasonParent))
		Expect(d.describe("p").ReservedTokens).To(BeZero())
		Expect(d.count(program.EffectRelease, ref("e", 0))).To(Equal(1))
	})
})

var _ = Describe("a newer revision of the contract", func() {
	var d *driver

	BeforeEach(func() {
		d = newDriver(program.Config{})
		d.create("p")
		d.submit("p", modelCall("a"))
	})

	updateTerms := func(change func(*program.Terms)) {
		revised := terms()
		revised.Revision = 2
		change(&revised)
		d.step(program.Command{Program: "p", UpdateTerms: &revised})
	}

	It("binds the next dispatch of a call that waits in the scheduler", func() {
		updateTerms(func(t *program.Terms) { t.Placement = "isando" })
		// The first EffectSchedule may still be waiting for the log, so a second
		// stop has to follow it.
		kinds := []program.EffectKind{}
		for _, effect := range d.effects[len(d.effects)-3:] {
			kinds = append(kinds, effect.Kind)
		}
		Expect(kinds).To(Equal([]program.EffectKind{program.EffectStop, program.EffectStop, program.EffectSchedule}))
		Expect(d.effects[len(d.effects)-1].Terms.Placement).To(BeEquivalentTo("isando"))
		d.crash(len(d.log))
		Expect(d.effect(program.EffectSchedule, ref("p", 1)).Terms.Placement).To(BeEquivalentTo("isando"))
	})

	It("ends a call that it no longer permits, and never reverts", func() {
		updateTerms(func(t *program.Terms) { t.Models = nil })
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Error.Code).To(Equal(api.CodeUnknownModel))
		old := terms()
		d.step(program.Command{Program: "p", UpdateTerms: &old})
		Expect(d.refused(submitCommand("p", modelCall("b"))).Code).To(Equal(api.CodeUnknownModel))
	})

	It("writes no record when nothing but the revision changed", func() {
		before := len(d.log)
		updateTerms(func(*program.Terms) {})
		Expect(d.log).To(HaveLen(before))
	})
})

var _ = Describe("creating a program", func() {
	It("is identified by key: the same request is the same program", func() {
		d := newDriver(program.Config{})
		d.create("p")
		Expect(d.step(createCommand("p")).Records).To(BeEmpty())
		other := createCommand("p")
		other.Create.Request.BudgetTokens = 1
		refusal := d.refused(other)
		Expect(refusal.Code).To(Equal(api.CodeKeyReused))
		Expect(refusal.Location).To(Equal("$.budget_tokens"))
		other.Create.Request.Key = "other"
		Expect(d.refused(other).Location).To(Equal("$.key"))
		d.step(endCommand("p"))
		Expect(d.step(createCommand("p")).Program.Ended).To(BeTrue())
	})

	It("reports every wrong setting of the store at once", func() {
		_, err := program.NewStore(program.Config{MaximumPrograms: -1, LookupAttempts: -1})
		Expect(err).To(MatchError(And(ContainSubstring("MaximumPrograms"), ContainSubstring("LookupAttempts"))))
	})
})
