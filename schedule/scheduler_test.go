package schedule_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

var _ = Describe("the order of held calls", func() {
	var b *policyDriver

	// fill occupies both slots of the only engine with calls of another tenant.
	fill := func() (first, second schedule.Decision) {
		b.enqueue("busy-1", "other")
		b.enqueue("busy-2", "other")
		placed := b.ready()[schedule.ActionPlace]
		Expect(placed).To(HaveLen(2))
		return placed[0], placed[1]
	}

	BeforeEach(func() { b = newPolicyDriver(newPolicy("birchwood", testConfig(1)), 1) })

	It("holds calls while every feasible engine is saturated", func() {
		first, _ := fill()
		waiting := b.enqueue("waits", "tenant")
		Expect(b.ready()).To(BeEmpty())
		b.finish(first, 0)
		Expect(b.placeExactlyOne().Call).To(Equal(waiting))
	})

	It("serves the program with the least attained service first, whatever came first", func() {
		first, _ := fill()
		b.enqueue("long", "tenant", withAttained(30_000))
		short := b.enqueue("short", "tenant", withAttained(100))
		b.finish(first, 0)
		Expect(b.placeExactlyOne().Call).To(Equal(short))
	})

	It("serves the program that has little time before one that has much", func() {
		first, _ := fill()
		b.enqueue("patient", "tenant", func(request *schedule.Request) { request.Deadline = b.now.Add(time.Hour) })
		urgent := b.enqueue("urgent", "tenant")
		b.finish(first, 0)
		Expect(b.placeExactlyOne().Call).To(Equal(urgent))
	})

	It("orders a program without an arrival time by the arrival of its call", func() {
		first, _ := fill()
		unknown := b.enqueue("unknown", "tenant", withAttained(30_000), func(request *schedule.Request) { request.Arrived = time.Time{} })
		b.now = b.now.Add(20 * time.Second)
		b.enqueue("later", "tenant", func(request *schedule.Request) { request.Arrived = time.Time{} })
		b.finish(first, 0)
		Expect(b.placeExactlyOne().Call).To(Equal(unknown))
	})

	It("does not starve a long program under a stream of new programs", func() {
		first, second := fill()
		long := b.enqueue("long", "tenant", withAttained(1_000_000))
		running := []schedule.Decision{first, second}
		deadline := b.now.Add(30 * time.Second)
		for round := 0; b.now.Before(deadline); round++ {
			b.enqueue(fmt.Sprintf("new-%d", round), "tenant")
			b.finish(running[0], 0)
			placed := b.placeExactlyOne()
			if placed.Call == long {
				return
			}
			running = append(running[1:], placed)
		}
		Fail("the long program was starved")
	})

	It("gives a tenant its turn in the middle of another's backlog", func() {
		first, _ := fill()
		for i := range 20 {
			b.enqueue(fmt.Sprintf("flood-%d", i), "flood")
		}
		b.finish(first, 0)
		placed := b.placeExactlyOne()
		b.enqueue("quiet", "quiet")
		b.finish(placed, 0)
		next := b.placeExactlyOne()
		Expect(next.Program).To(Equal(api.ProgramID("quiet")))
	})
})

var _ = Describe("admission", func() {
	var b *policyDriver
	var running []schedule.Decision

	// overload keeps both slots busy and enqueues new programs until one is
	// refused.
	overload := func() schedule.Decision {
		for i := range 200 {
			b.enqueue(fmt.Sprintf("new-%d", i), "tenant")
			decisions := b.ready()
			if refused := decisions[schedule.ActionRefuse]; len(refused) > 0 {
				return refused[0]
			}
			running = append(running, decisions[schedule.ActionPlace]...)
			if i%4 == 3 {
				b.finish(running[0], 0)
				running = append(running[1:], b.ready()[schedule.ActionPlace]...)
			}
		}
		Fail("nothing was refused")
		return schedule.Decision{}
	}

	BeforeEach(func() {
		b = newPolicyDriver(newPolicy("birchwood", testConfig(1)), 1)
		running = nil
	})

	It("refuses a new program early, as not run, with a time to retry", func() {
		before := b.now
		refused := overload()
		Expect(b.now.Sub(before)).To(BeNumerically("<", 30*time.Second))
		Expect(refused.Error.Code).To(Equal(api.CodeOverloaded))
		Expect(refused.Error.Ran).To(Equal(api.RanNotRun))
		Expect(refused.Error.Retry).To(BeTrue())
		Expect(refused.Error.RetryAfterMilliseconds).To(BeNumerically(">", 0))
	})

	It("admits the call at its retry time if no other call arrives", func() {
		refused := overload()
		retryAt := b.now.Add(time.Duration(refused.Error.RetryAfterMilliseconds) * time.Millisecond)
		for b.now.Before(retryAt) {
			b.finish(running[0], 0)
			running = append(running[1:], b.ready()[schedule.ActionPlace]...)
		}
		b.enqueue("again", "tenant")
		Expect(b.ready()[schedule.ActionRefuse]).To(BeEmpty())
	})

	It("refuses neither a started program's call nor another tenant's", func() {
		overload()
		b.enqueue("under-way", "tenant", withAttained(500))
		b.enqueue("other", "other")
		Expect(b.ready()[schedule.ActionRefuse]).To(BeEmpty())
	})
})

var _ = Describe("prefixes", func() {
	var b *policyDriver

	BeforeEach(func() { b = newPolicyDriver(newPolicy("birchwood", testConfig(1)), 4) })

	It("sends a program's next call to the engine that holds its prefix", func() {
		first := func() schedule.Decision { b.enqueue("p", "tenant"); return b.placeExactlyOne() }()
		b.finish(first, 550)
		for range 5 {
			b.enqueue("p", "tenant", withAttained(550), withPrompt(600))
			next := b.placeExactlyOne()
			Expect(next.Backend).To(Equal(first.Backend))
			Expect(next.Terms.MissingTokens).To(Equal(50))
			b.finish(next, 550)
		}
	})

	It("moves a call and its prefix to another engine under load", func() {
		b.enqueue("p", "tenant")
		first := b.placeExactlyOne()
		b.finish(first, 6000)
		b.policy.ObserveLoad(b.now, schedule.Load{Backend: first.Backend, At: b.now, Running: 2, CachedTokens: 6000})
		b.enqueue("p", "tenant", withAttained(6000), withPrompt(6100))
		moved := b.placeExactlyOne()
		Expect(moved.Backend).NotTo(Equal(first.Backend))
		Expect(moved.ImportFrom).To(Equal(first.Backend))
		b.finish(moved, 6200)
		Expect(b.ready()[schedule.ActionDrop]).To(ConsistOf(HaveField("Backend", first.Backend)))
	})

	It("holds a large call that would push other prefixes out", func() {
		for _, engine := range engineList(4) {
			b.policy.ObserveLoad(b.now, schedule.Load{Backend: engine.ID, At: b.now, CachedTokens: 15000})
		}
		b.enqueue("large", "tenant", withPrompt(5000))
		Expect(b.ready()).To(BeEmpty())
		b.policy.ObserveLoad(b.now, schedule.Load{Backend: "e002", At: b.now, CachedTokens: 1000})
		Expect(b.placeExactlyOne().Backend).To(Equal(machine.ID("e002")))
	})

	It("drops the prefix when programs like it have not returned", func() {
		runOnce := func(programID string) (drops []schedule.Decision) {
			b.enqueue(programID, "tenant")
			b.finish(b.placeExactlyOne(), 500)
			b.enqueue(programID, "tenant", func(request *schedule.Request) {
				request.Kind, request.Model, request.Tool = api.CallTool, "", "send-notice"
			})
			return b.ready()[schedule.ActionDrop]
		}
		Expect(runOnce("first")).To(BeEmpty())
		b.policy.ProgramEnded(b.now, "first")
		for i := range 30 {
			programID := fmt.Sprintf("p-%d", i)
			runOnce(programID)
			b.policy.ProgramEnded(b.now, api.ProgramID(programID))
		}
		Expect(runOnce("last")).To(ConsistOf(HaveField("Program", api.ProgramID("last"))))
	})

	It("exports the prefixes of paused programs from a leaving engine", func() {
		b.enqueue("p", "tenant")
		first := b.placeExactlyOne()
		b.finish(first, 550)
		machines := engineList(4)
		for i := range machines {
			if machines[i].ID == first.Backend {
				machines[i].Status = machine.StatusLeaving
			}
		}
		b.policy.SetBackends(b.now, machines)
		exports := b.ready()[schedule.ActionExport]
		Expect(exports).To(HaveLen(1))
		Expect(exports[0].Backend).To(Equal(first.Backend))
		b.enqueue("p", "tenant", withAttained(550), withPrompt(600))
		Expect(b.placeExactlyOne().Backend).To(Equal(exports[0].ExportTo))
	})
})

var _ = Describe("a tenant's flood", func() {
	It("leaves an engine to the others, whose calls are placed at once", func() {
		b := newPolicyDriver(newPolicy("birchwood", testConfig(1)), 4)
		b.enqueue("seen", "quiet")
		b.finish(b.placeExactlyOne(), 500)
		var running []schedule.Decision
		used := map[machine.ID]bool{}
		for i := range 200 {
			b.enqueue(fmt.Sprintf("flood-%d", i), "flood")
			placed := b.ready()[schedule.ActionPlace]
			running = append(running, placed...)
			for _, each := range placed {
				used[each.Backend] = used[each.Backend] || i > 100
			}
			if i%2 == 1 {
				b.finish(running[0], 0)
				b.policy.ProgramEnded(b.now, running[0].Program)
				running = running[1:]
			}
		}
		left := 0
		for _, late := range used {
			if !late {
				left++
			}
		}
		Expect(used).To(HaveLen(4))
		Expect(left).To(Equal(1))
		b.enqueue("new", "quiet")
		Expect(b.placeExactlyOne().Program).To(Equal(api.ProgramID("new")))
	})
})

var _ = Describe("models", func() {
	// busy reports the four engines with the model "small" as full, and lists a
	// fifth, idle one that has only the model "large".
	busy := func(commands bool) *policyDriver {
		config := testConfig(1)
		config.ManagesEngine = func(machine.ID) bool { return commands }
		b := newPolicyDriver(newPolicy("birchwood", config), 4)
		spare := machine.Machine{
			ID: "spare", Kind: machine.KindEngine, Zone: "a", Status: machine.StatusLive,
			Models: []string{"large"}, Slots: 2, CacheTokens: 20000,
		}
		b.policy.SetBackends(b.now, append(engineList(4), spare))
		for i := range 4 {
			id := machine.ID(fmt.Sprintf("e%03d", i))
			b.policy.ObserveLoad(b.now, schedule.Load{Backend: id, At: b.now, Running: 2})
		}
		return b
	}

	It("loads a model whose engines are busy on an engine that is not", func() {
		b := busy(true)
		Expect(b.ready()[schedule.ActionLoad]).To(ConsistOf(And(
			HaveField("Backend", machine.ID("spare")), HaveField("Model", "small"))))
		b.now = b.now.Add(6 * time.Second)
		Expect(b.ready()[schedule.ActionLoad]).To(BeEmpty(), "one order at a time")
	})

	It("issues orders only on the node that manages the engine", func() {
		Expect(busy(false).ready()[schedule.ActionLoad]).To(BeEmpty())
	})
})

var _ = Describe("tool calls", func() {
	It("go to the service with the fewest outstanding calls, and among equals to the nearest", func() {
		b := &policyDriver{policy: newPolicy("birchwood", testConfig(1)), now: start}
		b.policy.SetBackends(b.now, []machine.Machine{
			{ID: "far", Kind: machine.KindTool, Zone: "b", Status: machine.StatusLive, Tools: []string{"t"}},
			{ID: "near", Kind: machine.KindTool, Zone: "a", Status: machine.StatusLive, Tools: []string{"t"}},
		})
		tool := func(request *schedule.Request) {
			request.Kind, request.Model, request.Tool, request.Placement = api.CallTool, "", "t", "a_b"
		}
		b.enqueue("p", "tenant", tool)
		Expect(b.placeExactlyOne().Backend).To(Equal(machine.ID("near")))
		b.enqueue("q", "tenant", tool)
		Expect(b.placeExactlyOne().Backend).To(Equal(machine.ID("far")))
	})
})

var _ = Describe("a configuration", func() {
	It("is refused with every finding", func() {
		_, err := schedule.New(schedule.Config{})
		for _, place := range []string{"Self", "LinkDelay", "Random", "Choices", "Rates.PrefillPerToken", "Cache.MoveWeight"} {
			Expect(err).To(MatchError(ContainSubstring(place)))
		}
	})
})
