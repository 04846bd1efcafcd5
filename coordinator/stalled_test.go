package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
)

var _ = Describe("While the log accepts no records of a partition", func() {
	It("a turn that waits for its record still counts after it is requested again", func() {
		world := newFleet(9, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.storeDown = true
		waiting := turn("a")
		waiting.Turn.Budget = 3 * waiting.Turn.MaxTokens / 2
		first := reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: waiting}))
		Expect(first.Admission.Position).To(BeNumerically(">", 0))
		world.run(time.Second)
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: waiting})).Status).To(Equal(coordinator.ReplyStalled))
		second := turn("b")
		second.Turn.Budget = waiting.Turn.Budget
		answer := reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: second}))
		Expect(answer.Status).To(Equal(coordinator.ReplyDone))
		Expect(answer.Admission.Verdict).To(Equal(ledger.VerdictBusy), "the first turn may still hand its tokens out")
	})

	It("a turn to be refused when stalled is neither stored nor counted", func() {
		world := newFleet(9, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		kept := ledger.StoredTurn{ID: "aside", Program: "elsewhere", Input: []byte("in;"), Output: []byte("out;"), Retain: time.Minute}
		keep := &coordinator.KeepRequest{Turn: kept, HasBase: true, RefuseWhenStalled: true}
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: keep})).Status).To(Equal(coordinator.ReplyDone))
		world.storeDown = true
		reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: turn("a")}))
		world.run(time.Second)
		again := *keep
		again.Turn.ID = "later"
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: &again})).Status).To(Equal(coordinator.ReplyStalled))
	})
})
