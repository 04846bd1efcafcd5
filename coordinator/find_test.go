package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
)

var _ = Describe("A turn that was stored before IDs were scoped", func() {
	find := coordinator.FindRequest{Turn: "acme\x1fx", Unscoped: "x"}

	It("is returned to no tenant, and not reported absent", func() {
		world := newFleet(1, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		former := coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: "x", Program: "p", Input: []byte("in;"), Retain: time.Minute}}
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: &former})).Status).To(Equal(coordinator.ReplyDone))
		found := reply(world, owner, world.ask(owner, 0, coordinator.Request{Find: &find}))
		Expect(found.Status).To(Equal(coordinator.ReplyUnscoped))
		Expect(found.Chain).To(BeEmpty())
		Expect(find.ProvesAbsent(&found)).To(BeFalse())
	})

	It("is proven absent only by an owner that looked for it", func() {
		world := newFleet(2, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		absent := reply(world, owner, world.ask(owner, 0, coordinator.Request{Find: &find}))
		Expect(find.ProvesAbsent(&absent)).To(BeTrue())
		withoutScoped := coordinator.Reply{Status: coordinator.ReplyAbsent}
		Expect(find.ProvesAbsent(&withoutScoped)).To(BeFalse())
		plain := coordinator.FindRequest{Turn: "x"}
		Expect(plain.ProvesAbsent(&withoutScoped)).To(BeTrue())
	})
})

var _ = Describe("A turn that is requested during a takeover", func() {
	It("uses nothing of its program's budget once its requester has given up", func() {
		world := newFleet(3, 3, 1)
		world.run(settled)
		lost := world.owners(0)[0]
		world.kill(lost)
		admit := turn("given up")
		admit.Turn.Budget = admit.Turn.MaxTokens
		end := ledger.Settlement{Turn: "given up", Program: "p", Session: "s"}
		for len(world.owners(0)) == 0 {
			// Send the turn and its end to every node, so that the one that takes over gets
			// them, and do not wait for the replies.
			for _, id := range world.ids() {
				world.ask(id, 0, coordinator.Request{Admit: admit})
				world.ask(id, 0, coordinator.Request{Settle: &end})
			}
			world.run(step)
		}
		world.run(time.Second)
		next := turn("next")
		next.Turn.Budget = next.Turn.MaxTokens
		owner := world.owners(0)[0]
		admitted := reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: next}))
		Expect(admitted.Admission.Verdict).To(Equal(ledger.VerdictGranted))
	})
})
