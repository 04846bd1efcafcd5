package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
)

var _ = Describe("The replica that served a stored turn", func() {
	// storeServedTurn has an owner store a turn that a replica served.
	storeServedTurn := func(world *fleet) {
		owner := world.owners(0)[0]
		kept := ledger.StoredTurn{
			ID: "kept", Program: "p", Input: []byte("in"), Output: []byte("out"), Replica: "r1", Retain: time.Minute,
		}
		settled := ledger.Settlement{Turn: "kept", Program: "p", Session: "s", Replica: "r1"}
		keep := &coordinator.KeepRequest{Turn: kept, Settlement: settled}
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Keep: keep})).Status).To(Equal(coordinator.ReplyDone))
	}
	// continueTurn requests a turn that continues it from the present owner, and returns
	// the replica.
	continueTurn := func(world *fleet, session string) string {
		owner := world.owners(0)[0]
		next := turn("next-" + session)
		next.Turn.Program, next.Turn.Session, next.Previous = "p", session, "kept"
		answer := reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: next}))
		Expect(answer.Status).To(Equal(coordinator.ReplyDone))
		return answer.Admission.Replica
	}

	It("is returned to sessions that continue the turn, including new ones", func() {
		world := newFleet(1, 3, 1)
		world.run(settled)
		storeServedTurn(world)
		Expect(continueTurn(world, "s")).To(Equal("r1"))
		Expect(continueTurn(world, "child")).To(Equal("r1"))
	})

	It("is known after the loss of all nodes", func() {
		world := newFleet(2, 3, 1)
		world.run(settled)
		storeServedTurn(world)
		for _, id := range world.ids() {
			world.kill(id)
			world.start(id)
		}
		world.list()
		world.run(settled)
		Expect(continueTurn(world, "s")).To(Equal("r1"))
	})
})
