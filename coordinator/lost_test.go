package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
)

var _ = Describe("Turns of a node that is lost", func() {
	// The program's budget holds two turns at their maximum, and the turns last for ten seconds.
	turnAt := func(world *fleet, id string, node machine.ID) coordinator.Request {
		request := longTurn(id)
		request.Admit.Turn.MaxTokens = request.Admit.Turn.Budget / 2
		request.Admit.Turn.Node, request.Admit.Turn.Process = string(node), world.nodes[node].self.Incarnation
		return request
	}
	allowExtraTurn := func(config *coordinator.Config) { config.Ledger.ExtraTurnAfterFailure = true }
	admit := func(world *fleet, owner machine.ID, request coordinator.Request) *ledger.Admission {
		asked := world.ask(owner, 0, request)
		world.run(50 * time.Millisecond)
		admission := world.nodes[owner].replies[asked].Admission
		Expect(admission).NotTo(BeNil())
		return admission
	}
	// begin has two turns of a program under way at a node that is not the owner.
	begin := func(world *fleet) (owner, node machine.ID) {
		world.run(2 * time.Second)
		owner = world.owners(0)[0]
		node = world.ids()[0]
		if node == owner {
			node = world.ids()[1]
		}
		for _, id := range []string{"a", "b"} {
			Expect(admit(world, owner, turnAt(world, id, node)).Verdict).To(Equal(ledger.VerdictGranted))
		}
		return owner, node
	}

	// Guards against holding the budget until the time of turns is over that nobody can settle.
	It("hold the budget no longer once it has restarted", func() {
		world := newFleetWith(1, 3, 1, allowExtraTurn)
		owner, node := begin(world)
		world.kill(node)
		world.run(time.Second)
		Expect(admit(world, owner, turnAt(world, "c", owner)).Verdict).To(Equal(ledger.VerdictBusy), "it may be partitioned off")
		world.start(node)
		world.list()
		world.run(time.Second)
		admission := admit(world, owner, turnAt(world, "d", owner))
		Expect(admission.Verdict).To(Equal(ledger.VerdictExhausted), "their maximum counts as used: %+v", admission)
		resumed := turnAt(world, "e", owner)
		resumed.Admit.Turn.Resumes, resumed.Admit.Turn.Received = "a", 20
		Expect(admit(world, owner, resumed).Verdict).To(Equal(ledger.VerdictGranted), "what the client has of one of them is known")
	})

	It("hold the budget while it stands still, although others consider it dead", func() {
		world := newFleetWith(2, 3, 1, allowExtraTurn)
		owner, node := begin(world)
		world.nodes[node].frozen = true
		world.run(4 * time.Second)
		Expect(admit(world, owner, turnAt(world, "c", owner)).Verdict).To(Equal(ledger.VerdictBusy))
		world.nodes[node].frozen = false
		world.run(2 * time.Second)
		world.ask(owner, 0, coordinator.Request{Settle: &ledger.Settlement{Turn: "a", Program: "p", Tokens: 20}})
		world.ask(owner, 0, coordinator.Request{Settle: &ledger.Settlement{Turn: "b", Program: "p", Tokens: 20}})
		world.run(50 * time.Millisecond)
		Expect(admit(world, owner, turnAt(world, "d", owner)).Verdict).To(Equal(ledger.VerdictGranted))
	})
})
