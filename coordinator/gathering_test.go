package coordinator_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/zone"
)

const (
	// gatherNodes is too many for statuses alone to report loads often enough. reportPeriod
	// is the time between two reports of a node's own loads.
	gatherNodes  = 42
	reportPeriod = 100 * time.Millisecond
)

// gatherFleet returns a fleet with three zones.
func gatherFleet(nodes int, configure func(*coordinator.Config)) *fleet {
	world := newFleetWith(8, 0, 3, configure)
	zones := make(map[machine.ID]zone.Name)
	world.zoneOf = func(id machine.ID) zone.Name { return zones[id] }
	for index := range nodes {
		id := machine.ID(fmt.Sprintf("node-%02d", index))
		zones[id] = zone.Name(fmt.Sprint("z", index%3))
		world.start(id)
	}
	world.list()
	return world
}

// runLoads runs the fleet while each node has one request at a replica.
func runLoads(world *fleet, span time.Duration) {
	for range int(span / reportPeriod) {
		for _, id := range world.ids() {
			if node := world.nodes[id]; !node.frozen {
				node.core.Step(world.now, coordinator.Loads{Reports: map[replica.ID]replica.Report{"r": {Requests: 1}}})
				world.perform(id, node)
			}
		}
		world.run(reportPeriod)
	}
}

// reportedRequests returns the distinct numbers of other nodes' requests at the replica
// that the nodes last received.
func reportedRequests(world *fleet) (numbers []int) {
	for _, id := range world.ids() {
		if totals := world.nodes[id].totals; totals != nil && world.now.Sub(totals.At) < time.Second {
			numbers = append(numbers, totals.Counts[gather.KeyOf("r")])
		}
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

var _ = Describe("Gathering loads", func() {
	It("reports the loads of all others to each node of a large fleet", func() {
		world := gatherFleet(gatherNodes, nil)
		runLoads(world, 3*time.Second)
		Expect(reportedRequests(world)).To(Equal([]int{gatherNodes - 1}))
	})

	It("sends nothing in a small fleet, or if it is disabled", func() {
		off := func(config *coordinator.Config) { config.DisableGathering = true }
		for _, world := range []*fleet{gatherFleet(12, nil), gatherFleet(gatherNodes, off)} {
			runLoads(world, 3*time.Second)
			Expect(reportedRequests(world)).To(BeEmpty())
			for _, id := range world.ids() {
				Expect(world.nodes[id].gatherMessages).To(BeZero())
			}
		}
	})

	It("continues if the first collector does not support gathering", func() {
		collector := gatherFleet(gatherNodes, nil).nodes["node-00"].core.Roles().Collectors[0].ID
		world := gatherFleet(gatherNodes, func(config *coordinator.Config) {
			config.DisableGathering = config.Membership.Self.ID == collector
		})
		runLoads(world, 3*time.Second)
		Expect(world.nodes[collector].gatherMessages).To(BeZero())
		// Nodes that try the unresponsive collector again receive no totals for a few
		// reports.
		numbers := reportedRequests(world)
		Expect(numbers[len(numbers)-1]).To(Equal(gatherNodes - 2))
		Expect(world.nodes["node-01"].totals.Nodes).To(BeNumerically("<", gatherNodes-1))
	})

	It("continues if a collector dies or freezes", func() {
		world := gatherFleet(gatherNodes, nil)
		runLoads(world, 2*time.Second)
		collector := world.nodes["node-00"].core.Roles().Collectors[0].ID
		world.kill(collector)
		runLoads(world, 2*time.Second)
		Expect(reportedRequests(world)).To(Equal([]int{gatherNodes - 2}))
		// The other nodes switch collectors before the frozen one is declared dead.
		second := world.nodes[world.ids()[0]].core.Roles().Collectors[0].ID
		world.nodes[second].frozen = true
		runLoads(world, 2*time.Second)
		world.nodes[second].totals = nil
		Expect(reportedRequests(world)).To(Equal([]int{gatherNodes - 3}))
	})
})
