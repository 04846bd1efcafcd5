package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
)

var _ = Describe("An owner that is cut off from the store", func() {
	unrecorded := func(config *coordinator.Config) {
		config.Ledger.UnrecordedShare, config.Ledger.UnrecordedMinBudget = 1.0/3, 6000
		config.Ledger.OwnershipProofTTL = 8 * time.Second
		config.Ledger.ExtraTurnAfterFailure = true
	}
	// cutOwner has the owner of partition 0 serve a turn, cuts it off from the store until
	// another node owns the partition, and returns both.
	cutOwner := func(world *fleet) (former, owner machine.ID) {
		world.run(2 * time.Second)
		former = world.owners(0)[0]
		asked := world.ask(former, 0, longTurn("a"))
		world.run(200 * time.Millisecond)
		grant := world.nodes[former].replies[asked].Admission.Grant
		world.nodes[former].cut = true
		world.ask(former, 0, coordinator.Request{Settle: &ledger.Settlement{Turn: "a", Program: "p", Grant: grant, Tokens: 10}})
		world.run(6 * time.Second)
		owners := world.owners(0)
		Expect(owners).To(HaveLen(1))
		Expect(owners[0]).NotTo(Equal(former))
		return former, owners[0]
	}
	admission := func(world *fleet, owner machine.ID, program string) *ledger.Admission {
		request := longTurn("b")
		request.Admit.Turn.Program = program
		asked := world.ask(owner, 0, request)
		world.run(50 * time.Millisecond)
		return world.nodes[owner].replies[asked].Admission
	}

	It("passes what its programs used on to its successor", func() {
		world := newFleetWith(11, 4, 1, unrecorded)
		_, owner := cutOwner(world)
		known := admission(world, owner, "p")
		Expect(known.SettledTokens).To(Equal(10))
		Expect(known.OpenTokens).To(BeZero())
	})

	It("leaves its successor what the log allowed if it does not", func() {
		world := newFleetWith(11, 4, 1, func(config *coordinator.Config) {
			unrecorded(config)
			config.SkipFormerState = true
		})
		_, owner := cutOwner(world)
		known := admission(world, owner, "p")
		Expect(known.SettledTokens + known.OpenTokens).To(BeNumerically(">=", 100))
	})
})
