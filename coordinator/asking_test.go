package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
)

var _ = Describe("A node that joins", func() {
	// inherited returns how many partitions the new node took over from owners that did not
	// hand them over cleanly, and how many it took over in all.
	inherited := func(skipHandover bool) (inherited, taken int) {
		world := newFleetWith(5, 4, 12, func(config *coordinator.Config) {
			config.SkipHandover = skipHandover
			config.Ledger.UnrecordedShare = 1.0 / 3
			config.Ledger.OwnershipProofTTL = 8 * time.Second
		})
		world.run(settled)
		serveAll(world)
		world.start("node-new")
		world.list()
		world.run(2 * settled)
		for _, change := range world.nodes["node-new"].changes {
			if !change.Owned {
				continue
			}
			taken++
			if change.Inherited {
				inherited++
			}
		}
		return inherited, taken
	}

	It("takes its partitions by clean handovers from their owners", func() {
		lost, taken := inherited(false)
		Expect(taken).To(BeNumerically(">", 0))
		Expect(lost).To(BeZero())
	})

	It("claims them without a handover if handovers are disabled", func() {
		lost, taken := inherited(true)
		Expect(taken).To(BeNumerically(">", 0))
		Expect(lost).To(Equal(taken))
	})
})
