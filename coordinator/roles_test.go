package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// rolesNodes returns the nodes of a fleet over five zones, one in six of them strong.
func roleNodes(count int) []machine.Machine {
	nodes := make([]machine.Machine, 0, count)
	for index := range count {
		weight := 5.0
		if index%6 == 0 {
			weight = 480
		}
		nodes = append(nodes, machine.Machine{
			ID: machine.ID(fmt.Sprintf("node-%04d", index)), Kind: machine.KindNode, Zone: zone.Name(fmt.Sprintf("zone-%d", index%5)),
			Address: fmt.Sprintf("10.0.%d.%d:80", index/250, index%250), Status: machine.StatusLive, Incarnation: 1, Weight: weight,
		})
	}
	return nodes
}

// TestRolesDoNotGrow has as many nodes follow the store in a fleet of 2,000 as of 984, the
// same by whoever ranks them, and none of them weak.
func TestRolesDoNotGrow(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{984, 2_000} {
		nodes := roleNodes(count)
		sources, readers := make(map[machine.ID]bool), make(map[machine.ID]bool)
		for index := 0; index < count; index += 97 {
			now := time.Unix(1000, 0)
			core, err := coordinator.New(now, coordinator.DefaultConfig(nodes[index], 24, rand.New(rand.NewPCG(1, uint64(index)))))
			g.Expect(err).NotTo(HaveOccurred())
			core.Step(now, coordinator.Listed{Nodes: nodes})
			roles := core.Roles()
			g.Expect(roles.Near).To(BeNumerically("~", count/5, 1))
			g.Expect(roles.Remote).To(HaveLen(8))
			for _, source := range roles.Sources {
				sources[source.ID] = true
				g.Expect(source.Weight).To(BeNumerically(">", 100))
			}
			for _, reader := range append(roles.Readers, roles.Remote...) {
				readers[reader.ID] = true
				g.Expect(reader.Weight).To(BeNumerically(">", 100))
			}
		}
		g.Expect(sources).To(HaveLen(2))
		g.Expect(readers).To(HaveLen(10))
	}
}

// TestWeakNodesServeNobody has no weak node be a source or a reader in any of forty fleets
// with strong ones: one in ten had a weak source by rank and weight alone.
func TestWeakNodesServeNobody(t *testing.T) {
	g := NewWithT(t)
	for fleet := range 40 {
		nodes := roleNodes(150)
		for index := range nodes {
			nodes[index].ID = machine.ID(fmt.Sprintf("fleet-%d-%s", fleet, nodes[index].ID))
		}
		now := time.Unix(1000, 0)
		core, err := coordinator.New(now, coordinator.DefaultConfig(nodes[0], 24, rand.New(rand.NewPCG(1, uint64(fleet)))))
		g.Expect(err).NotTo(HaveOccurred())
		core.Step(now, coordinator.Listed{Nodes: nodes})
		roles := core.Roles()
		for _, one := range append(append(roles.Sources, roles.Readers...), roles.Remote...) {
			g.Expect(one.Weight).To(BeNumerically(">", 100), string(one.ID))
		}
	}
}
