package coordinator_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
)

// longTurn returns a turn of a budget of 300 that may last for 10 s, and is stored.
func longTurn(id string) coordinator.Request {
	request := turn(id)
	request.Turn.Timeout = 10 * time.Second
	request.Turn.StoreOnSuccess = true
	return coordinator.Request{Admit: request}
}

// loseOwner has the owner of partition 0 grant three turns, kills it, and
// returns the numbers of the grants. Together they may use the whole budget.
func loseOwner(world *fleet) (grants []uint64) {
	world.run(2 * time.Second)
	owners := world.owners(0)
	Expect(owners).To(HaveLen(1))
	for _, id := range []string{"a", "b", "c"} {
		asked := world.ask(owners[0], 0, longTurn(id))
		world.run(200 * time.Millisecond)
		grants = append(grants, world.nodes[owners[0]].replies[asked].Admission.Grant)
	}
	world.kill(owners[0])
	return grants
}

// verdict asks the owner of partition 0 for one more turn.
func verdict(world *fleet, id string) ledger.Verdict {
	owners := world.owners(0)
	Expect(owners).To(HaveLen(1))
	asked := world.ask(owners[0], 0, longTurn(id))
	world.run(50 * time.Millisecond)
	admission := world.nodes[owners[0]].replies[asked].Admission
	Expect(admission).NotTo(BeNil())
	if admission.Verdict == ledger.VerdictGranted {
		world.ask(owners[0], 0, coordinator.Request{Settle: &ledger.Settlement{Turn: id, Program: "p", Grant: admission.Grant}})
		world.run(50 * time.Millisecond)
	}
	return admission.Verdict
}

var _ = Describe("Turns under way at a lost owner", func() {
	for nodes := 3; nodes <= 9; nodes += 3 {
		name := strconv.Itoa(nodes) + " nodes"

		It("hold the budget only until all nodes have answered that they do not have them, "+name, func() {
			world := newFleet(uint64(nodes), nodes, 1)
			loseOwner(world)
			world.run(3 * time.Second)
			Expect(verdict(world, "d")).To(Equal(ledger.VerdictExhausted))
		})

		It("are waited for while a node has them, "+name, func() {
			world := newFleet(uint64(nodes), nodes, 1)
			grants := loseOwner(world)
			holder := world.ids()[nodes-2]
			world.nodes[holder].unsettled = []ledger.Claim{{Turn: "a", Program: "p", Grant: grants[0]}}
			world.run(5 * time.Second)
			Expect(verdict(world, "d")).To(Equal(ledger.VerdictBusy))
			world.ask(world.owners(0)[0], 0, coordinator.Request{Settle: &ledger.Settlement{Turn: "a", Program: "p", Grant: grants[0]}})
			world.run(50 * time.Millisecond)
			Expect(verdict(world, "e")).To(Equal(ledger.VerdictGranted))
		})

		It("count with what they used if a node says that they have ended, "+name, func() {
			world := newFleet(uint64(nodes), nodes, 1)
			grants := loseOwner(world)
			for index, id := range []string{"a", "b", "c"} {
				holder := world.nodes[world.ids()[index%(nodes-1)]]
				holder.unsettled = append(holder.unsettled, ledger.Claim{Turn: id, Program: "p", Grant: grants[index], Ended: true, Tokens: 20})
			}
			world.run(3 * time.Second)
			Expect(verdict(world, "d")).To(Equal(ledger.VerdictGranted))
		})

		It("are waited for no longer than a node that is cut off from the new owner may take to answer, "+name, func() {
			world := newFleet(uint64(nodes), nodes, 1)
			world.lossRate = 0.3
			loseOwner(world)
			world.run(6 * time.Second)
			Expect(verdict(world, "d")).To(Equal(ledger.VerdictExhausted))
		})
	}

	It("are looked up among more nodes than are asked at once", func() {
		world := newFleet(150, 150, 1)
		loseOwner(world)
		world.run(4 * time.Second)
		collected := world.nodes[world.owners(0)[0]].collected
		Expect(collected).To(HaveLen(1))
		Expect(collected[0].Unanswered).To(BeZero())
		Expect(collected[0].Lapsed).To(Equal(3))
	})

	It("hold the budget until the time to settle them is over if the nodes are not asked", func() {
		world := newFleetWith(3, 3, 1, func(config *coordinator.Config) { config.SkipClaimSearch = true })
		loseOwner(world)
		world.run(6 * time.Second)
		Expect(verdict(world, "d")).To(Equal(ledger.VerdictBusy))
	})

	It("end the search with the nodes that answered, those lost with the owner excepted", func() {
		world := newFleet(5, 6, 1)
		world.run(2 * time.Second)
		owner := world.owners(0)[0]
		world.ask(owner, 0, longTurn("a"))
		world.run(200 * time.Millisecond)
		world.kill(owner)
		world.kill(world.ids()[0])
		world.run(6 * time.Second)
		collected := world.nodes[world.owners(0)[0]].collected
		Expect(collected).To(HaveLen(1))
		Expect(collected[0].Unanswered).To(BeZero())
		Expect(collected[0].Lapsed).To(Equal(2), "the turn and the slot after it")
		Expect(collected[0].Took).To(BeNumerically("<", 3*time.Second))
	})

	// Guards against holding budgets for three seconds for a node that is lost during the search.
	It("are waited for no longer once a node is found dead that was lost after the owner", func() {
		world := newFleet(7, 6, 1)
		grants := loseOwner(world)
		Expect(grants).To(HaveLen(3))
		world.run(600 * time.Millisecond)
		world.kill(world.ids()[0])
		world.run(6 * time.Second)
		collected := world.nodes[world.owners(0)[0]].collected
		Expect(collected).To(HaveLen(1))
		Expect(collected[0].Unanswered).To(BeZero())
		Expect(collected[0].Took).To(BeNumerically("<", 2*time.Second))
	})
})
