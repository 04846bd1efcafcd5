package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
)

var _ = Describe("A turn that continues one of another partition", func() {
	It("is stored only with its base, and its chain is complete then", func() {
		world := newFleet(1, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		kept := ledger.StoredTurn{
			ID: "next", Program: "p", Previous: "elsewhere", Input: []byte("in;"), Output: []byte("out;"), Retain: time.Minute,
		}
		ask := coordinator.KeepRequest{Turn: kept}
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: &ask})).Status).To(Equal(coordinator.ReplyAbsent))
		ask.Turn.Base, ask.HasBase = []byte("base;"), true
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: &ask})).Status).To(Equal(coordinator.ReplyDone))
		found := reply(world, owner, world.ask(owner, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "next"}}))
		Expect(found.Status).To(Equal(coordinator.ReplyDone))
		Expect(string(found.Chain)).To(Equal("base;in;out;"))
	})

	It("needs no base if the owner holds the previous turn", func() {
		world := newFleet(2, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		for _, kept := range []ledger.StoredTurn{
			{ID: "a", Program: "p", Input: []byte("1;"), Output: []byte("2;"), Retain: time.Minute},
			{ID: "b", Program: "p", Previous: "a", Input: []byte("3;"), Output: []byte("4;"), Retain: time.Minute},
		} {
			ask := &coordinator.KeepRequest{Turn: kept}
			Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: ask})).Status).To(Equal(coordinator.ReplyDone))
		}
		found := reply(world, owner, world.ask(owner, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "b"}}))
		Expect(string(found.Chain)).To(Equal("1;2;3;4;"))
	})
})
