package program_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

var _ = Describe("the calls of a program", func() {
	var d *driver

	BeforeEach(func() {
		d = newDriver(program.Config{MaximumQueuedCalls: 4})
		d.create("p")
	})

	It("go from submission to answer, and the history is located by offset", func() {
		d.submit("p", modelCall("a"))
		Expect(d.effect(program.EffectSchedule, ref("p", 1)).Terms).To(Equal(terms()))
		d.dispatch("p", 1)
		Expect(d.effect(program.EffectSend, ref("p", 1)).Call.MaxOutputTokens).To(Equal(100))
		d.succeed("p", 1, "hello")
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusSucceeded))
		Expect(answer.Output).To(Equal("hello"))

		history, _ := d.store.History("p", 1, 10)
		Expect(history).To(HaveLen(1))
		Expect(d.log[history[0].AcceptedOffset].Accepted.Call.Input).To(Equal("input of a"))
		Expect(d.log[history[0].EndedOffset].Ended.Output).To(Equal("hello"))
		Expect(history[0].Accepted).To(BeNil(), "the text is not held once the log has it")
		Expect(d.call("p", 1).Output).To(BeEmpty())
	})

	It("run one after another, whichever arrived first", func() {
		d.submit("p", at(2, modelCall("b")))
		Expect(d.count(program.EffectSchedule, ref("p", 2))).To(BeZero())
		Expect(d.refused(d.dispatchCommand("p", 2)).Code).To(Equal(api.CodeConflict))
		d.submit("p", at(1, modelCall("a")))
		d.dispatch("p", 1)
		Expect(d.count(program.EffectSchedule, ref("p", 2))).To(BeZero())
		d.succeed("p", 1, "one")
		Expect(d.count(program.EffectSchedule, ref("p", 2))).To(Equal(1))
		d.dispatch("p", 2)
		prompt, _ := d.store.Prompt("p", 2)
		Expect(prompt).To(HaveLen(2))
		Expect(prompt[0].Status).To(Equal(api.StatusSucceeded))
		Expect(prompt[1].Accepted.Call.Key).To(Equal("b"))
	})

	It("have only what succeeded before them in their prompt", func() {
		d.submit("p", modelCall("a"))
		d.dispatch("p", 1)
		d.outcome("p", 1, program.Outcome{Status: api.StatusFailed, Error: api.Refuse(api.CodeBadRequest, "no")})
		d.submit("p", modelCall("b"))
		prompt, _ := d.store.Prompt("p", 2)
		Expect(prompt).To(HaveLen(1))
		Expect(prompt[0].Sequence).To(BeEquivalentTo(2))
		Expect(d.effect(program.EffectSchedule, ref("p", 2)).PromptTokens).To(Equal(3))
	})

	It("wait for a missing place until their deadline, then end as not run", func() {
		d.submit("p", at(3, modelCall("c")))
		d.tick(time.Minute - time.Nanosecond)
		Expect(d.call("p", 3).Status).To(Equal(api.StatusWaiting))
		d.tick(time.Nanosecond)
		answer := d.effect(program.EffectAnswer, ref("p", 3)).Answer
		Expect(answer.Status).To(Equal(api.StatusNotRun))
		Expect(answer.Error.Ran).To(Equal(api.RanNotRun))
		Expect(answer.Error.RetryAfterMilliseconds).To(BeNumerically(">", 0))
		Expect(answer.Error.Message).To(ContainSubstring("waited for call 1"))
		Expect(d.submit("p", at(1, modelCall("a"))).Sequence).To(BeEquivalentTo(1))
		Expect(d.submit("p", modelCall("d")).Sequence).To(BeEquivalentTo(4), "no place is given twice")
	})

	DescribeTable("are refused with the location of the error",
		func(call api.SubmitCall, code api.Code, place string) {
			d.submit("p", modelCall("a"))
			refusal := d.refused(submitCommand("p", call))
			Expect(refusal.Code).To(Equal(code))
			Expect(refusal.Location).To(Equal(place))
			Expect(refusal.Ran).To(Equal(api.RanNotRun))
		},
		Entry("no key", modelCall(""), api.CodeBadRequest, "$.key"),
		Entry("a taken place", at(1, modelCall("b")), api.CodeConflict, "$.sequence"),
		Entry("a place far ahead", at(5, modelCall("b")), api.CodeConflict, "$.sequence"),
		Entry("a key with another body", sealCall("a"), api.CodeKeyReused, "$.key"),
		Entry("a key at another place", at(2, modelCall("a")), api.CodeKeyReused, "$.sequence"),
		Entry("an unknown model", api.SubmitCall{Key: "b", Kind: api.CallModel, Model: "huge"}, api.CodeUnknownModel, "$.model"),
		Entry("an unknown tool", api.SubmitCall{Key: "b", Kind: api.CallTool, Tool: "fire"}, api.CodeUnknownTool, "$.tool"),
		Entry("an unknown kind", api.SubmitCall{Key: "b", Kind: "dream"}, api.CodeBadRequest, "$.kind"),
	)

	It("are refused as overloaded while too many wait", func() {
		for _, key := range []string{"a", "b", "c", "d"} {
			d.submit("p", modelCall(key))
		}
		refusal := d.refused(submitCommand("p", modelCall("e")))
		Expect(refusal.Code).To(Equal(api.CodeOverloaded))
		Expect(refusal.Retry).To(BeTrue())
	})

	It("are identified by key: the same body is the same call, before and after its end", func() {
		first := d.submit("p", sealCall("a"))
		Expect(d.submit("p", sealCall("a")).Sequence).To(Equal(first.Sequence))
		d.dispatch("p", 1)
		Expect(d.submit("p", sealCall("a")).Status).To(Equal(api.StatusRunning))
		d.succeed("p", 1, "receipt 1")
		d.crash(len(d.log))
		again := d.submit("p", sealCall("a"))
		Expect(again.Status).To(Equal(api.StatusSucceeded))
		history, _ := d.store.History("p", again.Sequence, 1)
		Expect(d.log[history[0].EndedOffset].Ended.Output).To(Equal("receipt 1"))
		Expect(d.count(program.EffectSend, ref("p", 1))).To(BeZero())
	})

	It("listen only to the outcome of their own present attempt", func() {
		d.submit("p", modelCall("a"))
		d.submit("p", modelCall("b"))
		d.dispatch("p", 1)
		d.outcome("p", 1, program.Outcome{Status: api.StatusFailed})
		late := program.AttemptRef{CallRef: ref("p", 1), Attempt: 1}
		d.dispatch("p", 1)
		d.step(program.Command{Outcome: &program.Outcome{Attempt: late, Status: api.StatusSucceeded, Output: "late"}})
		Expect(d.call("p", 1).Status).To(Equal(api.StatusRunning))
		crossed := program.AttemptRef{CallRef: ref("p", 2), Attempt: 1}
		d.step(program.Command{Outcome: &program.Outcome{Attempt: crossed, Status: api.StatusSucceeded, Output: "crossed"}})
		Expect(d.call("p", 2).Status).To(Equal(api.StatusWaiting))
		d.succeed("p", 1, "right")
		second := program.AttemptRef{CallRef: ref("p", 1), Attempt: 2}
		d.step(program.Command{Outcome: &program.Outcome{Attempt: second, Status: api.StatusFailed}})
		Expect(d.count(program.EffectAnswer, ref("p", 1))).To(Equal(1))
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Output).To(Equal("right"))
	})

	It("do not listen to an attempt of the same number from an older epoch", func() {
		d.submit("p", modelCall("a"))
		d.dispatch("p", 1)
		lost := d.effect(program.EffectSend, ref("p", 1))
		d.crash(len(d.log) - 1)
		d.dispatch("p", 1)
		Expect(d.call("p", 1).Attempt).To(Equal(lost.Attempt.Attempt))
		d.step(program.Command{Outcome: &program.Outcome{Attempt: lost.Attempt, Epoch: lost.Epoch, Status: api.StatusFailed}})
		Expect(d.call("p", 1).Status).To(Equal(api.StatusRunning))
		d.outcome("p", 1, program.Outcome{Epoch: d.epoch, Status: api.StatusSucceeded, Output: "x"})
		Expect(d.call("p", 1).Status).To(Equal(api.StatusSucceeded))
	})

	It("that run out of time are not dispatched, and end as not run", func() {
		d.submit("p", modelCall("a"))
		d.now = d.now.Add(time.Minute)
		Expect(d.refused(d.dispatchCommand("p", 1)).Code).To(Equal(api.CodeConflict))
		d.tick(0)
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusNotRun))
	})

	It("are retried with growing, jittered backoff up to the contract's attempts", func() {
		d.submit("p", modelCall("a"))
		var delays []time.Duration
		for attempt := 1; attempt <= 3; attempt++ {
			d.dispatch("p", 1)
			d.outcome("p", 1, program.Outcome{Status: api.StatusOutcomeUnknown})
			delays = append(delays, d.effect(program.EffectSchedule, ref("p", 1)).Delay)
		}
		Expect(delays[0]).To(BeNumerically("~", 37*time.Millisecond, 13*time.Millisecond))
		Expect(delays[1]).To(BeNumerically("~", 75*time.Millisecond, 25*time.Millisecond))
		Expect(d.effect(program.EffectSchedule, ref("p", 1)).Avoid).To(HaveLen(2))
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusFailed))
		Expect(answer.Attempt).To(Equal(3))
		Expect(d.refused(d.dispatchCommand("p", 1)).Code).To(Equal(api.CodeConflict))
	})

	It("wait for the log until their deadline while the history cannot be read", func() {
		d.submit("p", modelCall("a"))
		unreadable := api.Refuse(api.CodeStoreUnavailable, "the history cannot be read")
		for range 10 {
			d.dispatch("p", 1)
			d.outcome("p", 1, program.Outcome{Status: api.StatusNotRun, Error: unreadable})
			start := d.effect(program.EffectSchedule, ref("p", 1))
			Expect(start.Avoid).To(BeEmpty())
			d.tick(start.Delay)
		}
		d.tick(time.Minute)
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusNotRun))
		Expect(answer.Error.Message).To(ContainSubstring("the history cannot be read"))
	})

	It("that run out of time while running are stopped and fail", func() {
		d.submit("p", modelCall("a"))
		d.dispatch("p", 1)
		d.tick(time.Minute)
		Expect(d.effect(program.EffectStop, ref("p", 1)).Attempt.Attempt).To(Equal(1))
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusFailed))
		Expect(answer.Error.Code).To(Equal(api.CodeTimeout))
	})

	It("of a repeatable tool that hangs are tried again", func() {
		d.submit("p", readCall("a"))
		d.dispatch("p", 1)
		d.tick(20 * time.Second)
		Expect(d.effect(program.EffectStop, ref("p", 1)).Attempt.Attempt).To(Equal(1))
		d.dispatch("p", 1)
		d.succeed("p", 1, "4 degrees")
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Attempt).To(Equal(2))
	})

	It("that the scheduler refuses end as not run, and the next one has its turn", func() {
		d.submit("p", modelCall("a"))
		d.submit("p", modelCall("b"))
		refusal := api.Refuse(api.CodeNoPermittedPlace, "no engine in the permitted zones").WithRetryAfter(700)
		d.step(program.Command{Refuse: &program.Refusal{Call: ref("p", 1), Error: refusal}})
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusNotRun))
		Expect(answer.Error.RetryAfterMilliseconds).To(BeEquivalentTo(700))
		Expect(d.count(program.EffectSchedule, ref("p", 2))).To(Equal(1))
		Expect(d.refused(d.dispatchCommand("p", 1)).Code).To(Equal(api.CodeConflict))
	})

	It("that wait are cancelled as not run and can never be sent", func() {
		d.submit("p", modelCall("a"))
		d.step(program.Command{Program: "p", Cancel: &program.Cancel{Sequence: 1}})
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusNotRun))
		Expect(d.effect(program.EffectStop, ref("p", 1)).Attempt.Attempt).To(BeZero())
		Expect(d.refused(d.dispatchCommand("p", 1)).Code).To(Equal(api.CodeConflict))
	})

	It("that run and may be repeated are stopped by a cancel, and do not claim not to have run", func() {
		d.submit("p", modelCall("a"))
		d.dispatch("p", 1)
		d.step(program.Command{Program: "p", Cancel: &program.Cancel{Sequence: 1}})
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusCancelled))
		Expect(answer.Error.Ran).NotTo(Equal(api.RanNotRun))
		Expect(d.refused(program.Command{Program: "p", Cancel: &program.Cancel{Sequence: 9}}).Code).To(Equal(api.CodeNotFound))
	})
})

var _ = Describe("a call that may not be repeated", func() {
	var d *driver

	BeforeEach(func() {
		d = newDriver(program.Config{LookupAttempts: 2, LookupTimeout: time.Second})
		d.create("p")
		d.submit("p", sealCall("a"))
	})

	It("is sent only once its intent is durable", func() {
		output := d.step(d.dispatchCommand("p", 1))
		Expect(output.Records).To(HaveLen(1))
		Expect(output.Immediate).To(BeEmpty())
		Expect(output.Effects[0].Kind).To(Equal(program.EffectSend))
		Expect(output.Effects[0].Key).To(Equal("p/1/a"))
	})

	It("is never sent again by a later epoch: its key is looked up", func() {
		d.dispatch("p", 1)
		d.crash(len(d.log))
		Expect(d.count(program.EffectSend, ref("p", 1))).To(BeZero())
		Expect(d.count(program.EffectSchedule, ref("p", 1))).To(BeZero())
		Expect(d.refused(d.dispatchCommand("p", 1)).Code).To(Equal(api.CodeConflict))
		d.lookup("p", 1, program.LookupResult{Found: true, Output: "receipt 1"})
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusSucceeded))
		Expect(answer.Output).To(Equal("receipt 1"))
	})

	It("may be sent after a crash that lost its intent, because the send waits for it", func() {
		d.dispatch("p", 1)
		d.crash(len(d.log) - 1)
		Expect(d.count(program.EffectSchedule, ref("p", 1))).To(Equal(1))
		d.dispatch("p", 1)
		Expect(d.count(program.EffectSend, ref("p", 1))).To(Equal(1))
	})

	It("is looked up until its deadline while the service cannot be asked", func() {
		d.dispatch("p", 1)
		d.crash(len(d.log))
		for d.now.Before(d.effect(program.EffectLookup, ref("p", 1)).Deadline) {
			d.lookup("p", 1, program.LookupResult{Err: errors.New("down")})
			Expect(d.effect(program.EffectAnswer, ref("p", 1))).To(BeNil())
			d.tick(d.effect(program.EffectLookup, ref("p", 1)).Delay)
		}
		d.lookup("p", 1, program.LookupResult{Err: errors.New("down")})
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusOutcomeUnknown))
		Expect(d.count(program.EffectLookup, ref("p", 1))).To(BeNumerically("<", 30))
	})

	DescribeTable("ends with an unknown outcome when it is cancelled and the look-ups tell nothing",
		func(answer func()) {
			d.dispatch("p", 1)
			d.outcome("p", 1, program.Outcome{Status: api.StatusOutcomeUnknown})
			d.step(program.Command{Program: "p", Cancel: &program.Cancel{Sequence: 1}})
			answer()
			Expect(d.effect(program.EffectAnswer, ref("p", 1))).To(BeNil())
			Expect(d.effect(program.EffectLookup, ref("p", 1)).Delay).To(BeNumerically(">", 0))
			answer()
			final := d.effect(program.EffectAnswer, ref("p", 1)).Answer
			Expect(final.Status).To(Equal(api.StatusOutcomeUnknown))
			Expect(final.Error.Ran).To(Equal(api.RanOutcomeUnknown))
		},
		Entry("not found: a send may be in flight", func() { d.lookup("p", 1, program.LookupResult{}) }),
		Entry("the service is down", func() { d.lookup("p", 1, program.LookupResult{Err: errors.New("down")}) }),
		Entry("no answer at all", func() { d.tick(2 * time.Second) }),
	)

	DescribeTable("is looked up, not stopped, when it is given up",
		func(giveUp func()) {
			d.dispatch("p", 1)
			giveUp()
			Expect(d.count(program.EffectStop, ref("p", 1))).To(BeZero())
			Expect(d.count(program.EffectLookup, ref("p", 1))).To(Equal(1))
			d.succeed("p", 1, "late but its own")
			Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Output).To(Equal("late but its own"))
		},
		Entry("cancelled", func() { d.step(program.Command{Program: "p", Cancel: &program.Cancel{Sequence: 1}}) }),
		Entry("the tool hangs", func() { d.tick(20 * time.Second) }),
	)

	It("is dispatched again only when nothing reached the service", func() {
		for range 2 {
			d.dispatch("p", 1)
			d.outcome("p", 1, program.Outcome{Status: api.StatusNotRun})
		}
		d.dispatch("p", 1)
		d.outcome("p", 1, program.Outcome{Status: api.StatusNotRun})
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusNotRun))
	})

	It("of which a later epoch learns that nothing was sent ends as not run", func() {
		d.dispatch("p", 1)
		d.outcome("p", 1, program.Outcome{Status: api.StatusNotRun})
		d.dispatch("p", 1)
		d.crash(len(d.log))
		d.outcome("p", 1, program.Outcome{Status: api.StatusNotRun})
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusNotRun))
	})

	It("that failed at the service is not tried again", func() {
		d.dispatch("p", 1)
		d.outcome("p", 1, program.Outcome{Status: api.StatusFailed})
		Expect(d.effect(program.EffectAnswer, ref("p", 1)).Answer.Status).To(Equal(api.StatusFailed))
	})
})
