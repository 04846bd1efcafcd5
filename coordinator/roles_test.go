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

// roleNodes returns the nodes of a fleet with five zones, one in six of them strong.
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

// TestRolesDoNotGrow checks that a fleet of 2,000 nodes has as many sources and readers as
// one of 984, that all nodes agree on them, and that none of them is weak.
func TestRolesDoNotGrow(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{984, 2_000} {
		nodes := roleNodes(count)
		sources, readers := make(map[machine.ID]bool), make(map[machine.ID]bool)
		for index := 0; index < count; index += 97 {
			now := time.Unix(1000, 0)
			core, err := coordinator.New(now, coordinator.DefaultConfig(nodes[index], 24, rand.New(rand.NewPCG(1, uint64(index)))))
			g.Expect(err).NotTo(HaveOccurred())
			core.Step(now, coordinator.NodeListRead{Nodes: nodes})
			roles := core.Roles()
			g.Expect(roles.Near).To(BeNumerically("~", count/5, 1))
			g.Expect(roles.RemoteReaders).To(HaveLen(8))
			for _, source := range roles.Sources {
				sources[source.ID] = true
				g.Expect(source.Weight).To(BeNumerically(">", 100))
			}
			for _, reader := range append(roles.Readers, roles.RemoteReaders...) {
				readers[reader.ID] = true
				g.Expect(reader.Weight).To(BeNumerically(">", 100))
			}
		}
		g.Expect(sources).To(HaveLen(2))
		g.Expect(readers).To(HaveLen(10))
	}
}

// TestWeakNodesServeNobody checks that no weak node is a source or a reader in any of 40
// fleets that have strong nodes. By rank and weight alone, one fleet in ten had a weak
// source.
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
		core.Step(now, coordinator.NodeListRead{Nodes: nodes})
		roles := core.Roles()
		for _, node := range append(append(roles.Sources, roles.Readers...), roles.RemoteReaders...) {
			g.Expect(node.Weight).To(BeNumerically(">", 100), string(node.ID))
		}
	}
}
