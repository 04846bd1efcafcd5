package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/tenant"
)

// The cold replicas of the tests: the requests per second that one may receive, and the
// longest time in transit of a granted request.
const (
	coldReplicaRate = 28.0
	maxTransitTime  = 150 * time.Millisecond
	// coldChargeTimeout is how long a node waits for the counting node.
	coldChargeTimeout = 100 * time.Millisecond
)

// coldReplica is a replica that all nodes consider cold.
type coldReplica struct {
	name string
	// flow is the rate at which all nodes together try to send to the replica.
	flow
	arrived      []time.Time
	refused      int
	unknown      int
	countingNode machine.ID
}

// coldLoad has all nodes of a fleet send to cold replicas.
type coldLoad struct {
	pendingCharges[*coldReplica]
	replicas []*coldReplica
	// withoutCharge sends requests without a charge.
	withoutCharge bool
}

func newColdLoad(world *fleet, perSecond float64, replicas int) *coldLoad {
	load := &coldLoad{pendingCharges: newPendingCharges[*coldReplica](world)}
	for index := range replicas {
		load.replicas = append(load.replicas, &coldReplica{name: fmt.Sprintf("r%d", index), flow: flow{perSecond: perSecond}})
	}
	return load
}

func (c *coldLoad) run(span time.Duration) {
	for end := c.world.now.Add(span); c.world.now.Before(end); {
		for _, target := range c.replicas {
			for range target.due() {
				c.send(target)
			}
		}
		c.world.run(step)
		c.collect(c.record)
	}
}

// send has a random running node send one request, once its charge is granted.
func (c *coldLoad) send(target *coldReplica) {
	at, runs := c.anyNode()
	if !runs {
		return
	}
	if c.withoutCharge {
		c.arrive(target)
		return
	}
	c.ask(target, at, coldChargeTimeout, coordinator.Charge{
		Replica: target.name, Request: tenant.Request{Limit: tenant.Limit{Rate: coldReplicaRate}, Version: 1},
	})
}

func (c *coldLoad) arrive(target *coldReplica) {
	way := time.Duration(c.world.random.Float64() * float64(maxTransitTime))
	target.arrived = append(target.arrived, c.world.now.Add(way))
}

// record counts an answer.
func (c *coldLoad) record(target *coldReplica, charged coordinator.Charged) {
	switch charged.Status {
	case coordinator.ChargeGranted:
		target.countingNode = charged.Owner
		c.arrive(target)
	case coordinator.ChargeRefused:
		target.refused++
	default:
		target.unknown++
	}
}

// maxPerSecond returns how many requests may reach a cold replica in a second.
func maxPerSecond() int {
	config := tenant.ColdReplicaConfig()
	return int(coldReplicaRate*config.Window.Seconds()*(1+config.Overrun) + config.Slack)
}

// busiestSecond returns the most arrivals in any second, and when that second begins.
func busiestSecond(arrived []time.Time) (most int, begins time.Time) {
	sorted := slices.SortedFunc(slices.Values(arrived), time.Time.Compare)
	left := 0
	for right := range sorted {
		for sorted[right].Sub(sorted[left]) >= time.Second {
			left++
		}
		if count := right - left + 1; count > most {
			most, begins = count, sorted[left]
		}
	}
	return most, begins
}

// overLimit returns the replicas that received too many requests in a second.
func (c *coldLoad) overLimit() (names []string) {
	for _, target := range c.replicas {
		if most, begins := busiestSecond(target.arrived); most > maxPerSecond() {
			names = append(names, fmt.Sprintf("%s: %d from %v on", target.name, most, begins.Sub(start)))
		}
	}
	return names
}

// served returns the mean number of requests that reached a replica per second.
func (c *coldLoad) served(span time.Duration) float64 {
	total := 0
	for _, target := range c.replicas {
		total += len(target.arrived)
	}
	return float64(total) / float64(len(c.replicas)) / span.Seconds()
}

// disturb causes a disturbance of the given kind.
func (c *coldLoad) disturb(kind byte) {
	world, countingNode := c.world, c.replicas[0].countingNode
	ids := world.ids()
	if _, runs := world.nodes[countingNode]; !runs {
		countingNode = ids[world.random.IntN(len(ids))]
	}
	switch kind % 6 {
	case 0:
		world.kill(countingNode)
	case 1:
		world.nodes[countingNode].frozen = true
		c.run(time.Duration(world.random.IntN(2500)) * time.Millisecond)
		world.nodes[countingNode].frozen = false
	case 2:
		world.partitionInHalves()
	case 3:
		world.heal()
	case 4:
		world.kill(countingNode)
		c.run(100 * time.Millisecond)
		world.start(countingNode)
		world.list()
	case 5:
		world.start(machine.ID(fmt.Sprintf("new-%02d", len(ids))))
		world.list()
	}
}

var _ = Describe("The rate of a cold replica", func() {
	It("holds over all nodes in every second, and is used", func() {
		for _, nodes := range []int{11, 74, 295} {
			load := newColdLoad(countingFleet(nodes, nil), 200, 3)
			load.run(4 * time.Second)
			Expect(load.overLimit()).To(BeEmpty(), "%d nodes", nodes)
			Expect(load.served(4*time.Second)).To(BeNumerically(">=", 0.9*coldReplicaRate), "%d nodes", nodes)
		}
	})

	It("refuses nothing below it", func() {
		load := newColdLoad(countingFleet(74, nil), 20, 3)
		load.run(4 * time.Second)
		for _, target := range load.replicas {
			Expect(target.refused + target.unknown).To(BeNumerically("<=", 1))
		}
	})

	It("is hardly used where each node has an equal share", func() {
		for _, nodes := range []int{11, 74, 295} {
			load := newColdLoad(countingFleet(nodes, func(config *coordinator.Config) { config.CountLocally = true }), 200, 1)
			load.run(4 * time.Second)
			Expect(load.overLimit()).To(BeEmpty(), "%d nodes", nodes)
			if nodes > coldReplicaRate {
				Expect(load.served(4*time.Second)).To(BeNumerically("<", 0.5*coldReplicaRate), "%d nodes", nodes)
			}
		}
	})

	It("holds when nodes are lost, paused, restarted, added and cut off", func() {
		load := newColdLoad(countingFleet(74, nil), 200, 2)
		for _, kind := range []byte{0, 1, 4, 2, 1, 3, 5, 0, 4, 1} {
			load.run(1500 * time.Millisecond)
			load.disturb(kind)
		}
		load.run(2 * time.Second)
		Expect(load.overLimit()).To(BeEmpty())
	})

	It("holds over 295 nodes that are cut in two and heal", func() {
		load := newColdLoad(countingFleet(295, nil), 200, 1)
		load.run(time.Second)
		load.world.partitionInHalves()
		load.run(4 * time.Second)
		load.world.heal()
		load.run(2 * time.Second)
		Expect(load.overLimit()).To(BeEmpty())
	})

	It("holds when no node reaches any other", func() {
		load := newColdLoad(countingFleet(74, nil), 200, 1)
		load.run(2 * time.Second)
		for _, id := range load.world.ids() {
			load.world.nodes[id].alone = true
		}
		load.run(4 * time.Second)
		Expect(load.overLimit()).To(BeEmpty())
	})

	// These specs show that the check fails if the bound is off or a protection is missing.
	DescribeTable("does not hold without",
		func(configure func(*coordinator.Config), disturb func(load *coldLoad)) {
			load := newColdLoad(countingFleet(20, configure), 200, 1)
			load.run(2 * time.Second)
			disturb(load)
			load.run(4 * time.Second)
			Expect(load.overLimit()).NotTo(BeEmpty())
		},
		Entry("a charge before each request", nil, func(load *coldLoad) { load.withoutCharge = true }),
		Entry("one counting node for the fleet", func(config *coordinator.Config) { config.CountLocally, config.GrantFullLimits = true, true }, func(*coldLoad) {}),
		Entry("the share left to nodes in another network partition", func(config *coordinator.Config) { config.GrantFullLimits = true },
			func(load *coldLoad) { load.world.partitionInHalves() }),
	)
})

// FuzzColdRate disturbs a fleet in arbitrary order.
func FuzzColdRate(f *testing.F) {
	f.Add([]byte{0, 1, 2})
	f.Add([]byte{2, 0, 3, 4})
	f.Add([]byte{1, 4, 1, 5, 0})
	f.Fuzz(func(t *testing.T, disturbances []byte) {
		RegisterTestingT(t)
		load := newColdLoad(countingFleet(20, nil), 200, 1)
		for _, kind := range disturbances[:min(len(disturbances), 8)] {
			load.run(time.Duration(200+int(kind)*8) * time.Millisecond)
			load.disturb(kind)
		}
		load.run(2 * time.Second)
		Expect(load.overLimit()).To(BeEmpty())
	})
}
