package coordinator_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/machine"
)

// The fleet of these tests is so large that a node seldom receives messages from each of
// the others.
const (
	largeNodes      = 150
	largePartitions = 24
	// Every storeCutEvery-th node loses the store, owners among them.
	storeCutEvery = 3
)

// servablePartitions returns how many partitions have an owner that reaches the store.
func servablePartitions(world *fleet) (servable int) {
	for partition := range world.partitions {
		if slices.ContainsFunc(world.owners(partition), func(id machine.ID) bool { return !world.nodes[id].cut }) {
			servable++
		}
	}
	return servable
}

// wrongOwners counts the pairs of a node and a partition for which the node has no owner,
// or one that does not serve the partition or cannot reach the store.
func wrongOwners(world *fleet) (lost int) {
	for partition := range world.partitions {
		owners := world.owners(partition)
		for _, id := range world.ids() {
			owner, known := world.nodes[id].core.Owner(world.now, partition)
			if !known || !slices.Contains(owners, owner.ID) || world.nodes[owner.ID].cut {
				lost++
			}
		}
	}
	return lost
}

var _ = Describe("A large fleet", func() {
	It("takes over the partitions of many nodes that lose the store at once, and all nodes learn the new owners", func() {
		world := newFleet(5, largeNodes, largePartitions)
		world.run(settled)
		Expect(wrongOwners(world)).To(BeZero())
		for index, id := range world.ids() {
			world.nodes[id].cut = index%storeCutEvery == 0
		}
		Expect(servablePartitions(world)).To(BeNumerically("<", largePartitions))
		world.run(1500 * time.Millisecond)
		Expect(servablePartitions(world)).To(Equal(largePartitions))
		world.run(500 * time.Millisecond)
		Expect(wrongOwners(world)).To(BeZero())
	})

	It("informs all nodes of an owner's successor", func() {
		world := newFleet(6, largeNodes, largePartitions)
		world.run(settled)
		world.kill(world.owners(0)[0])
		world.run(3 * time.Second)
		Expect(wrongOwners(world)).To(BeZero())
	})
})
