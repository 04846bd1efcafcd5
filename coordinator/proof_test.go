package coordinator_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

// freshnessRun simulates the nodes' reads of the configuration, and checks their freshness
// proofs.
type freshnessRun struct {
	world *fleet
	// version is the newest configuration in the store, and changed when it was stored.
	version uint64
	changed time.Time
	held    map[machine.ID]uint64
	proven  map[machine.ID]time.Time
	nextAt  map[machine.ID]time.Time
	sentAt  map[machine.ID]time.Time
	// wait is how long a node's read takes, and readersWait how long that of a zone's
	// readers takes.
	wait, readersWait time.Duration
	reads             int
	// tooFresh lists nodes whose proof is dated after the last change although they hold an
	// older configuration.
	tooFresh []machine.ID
}

func newFreshnessRun(world *fleet, wait, readersWait time.Duration) *freshnessRun {
	simulated := &freshnessRun{
		world: world, version: 1, held: map[machine.ID]uint64{}, proven: map[machine.ID]time.Time{},
		nextAt: map[machine.ID]time.Time{}, sentAt: map[machine.ID]time.Time{}, wait: wait, readersWait: readersWait,
	}
	for _, id := range world.ids() {
		simulated.sentAt[id] = world.now
		simulated.nextAt[id] = world.now.Add(time.Duration(world.random.Int64N(int64(wait))))
	}
	return simulated
}

func (p *freshnessRun) run(span time.Duration) {
	for end := p.world.now.Add(span); p.world.now.Before(end); {
		for _, id := range p.world.ids() {
			p.read(id)
		}
		p.world.run(step)
		p.collect()
	}
}

// read completes a node's read of the configuration if it is due.
func (p *freshnessRun) read(id machine.ID) {
	node := p.world.nodes[id]
	if node.frozen || p.world.now.Before(p.nextAt[id]) {
		return
	}
	if p.world.reaches(node) {
		p.held[id] = p.version
		p.recordProof(id, p.sentAt[id])
		node.core.Step(p.world.now, coordinator.FreshnessProven{At: p.sentAt[id], Version: p.version})
		node.core.Step(p.world.now, coordinator.Loads{Version: p.version})
	}
	p.reads++
	wait := p.wait
	if slices.ContainsFunc(node.core.Readers(), func(reader machine.Machine) bool { return reader.ID == id }) {
		wait = p.readersWait
	}
	p.sentAt[id] = p.world.now
	p.nextAt[id] = p.world.now.Add(wait)
}

// recordProof records a proof, and checks it against the configuration that the node holds.
func (p *freshnessRun) recordProof(id machine.ID, at time.Time) {
	if at.After(p.proven[id]) {
		p.proven[id] = at
	}
	if p.held[id] < p.version && p.proven[id].After(p.changed) {
		p.tooFresh = append(p.tooFresh, id)
	}
}

// collect records the proofs from peers, and has nodes fetch newer configurations from
// peers.
func (p *freshnessRun) collect() {
	for _, id := range p.world.ids() {
		node := p.world.nodes[id]
		if !node.proven.IsZero() {
			p.recordProof(id, node.proven)
		}
		for _, newer := range node.newer {
			p.held[id] = max(p.held[id], newer.Version)
			node.core.Step(p.world.now, coordinator.Loads{Version: p.held[id]})
		}
		node.newer = nil
	}
}

// ages returns the ages of the nodes' proofs in ascending order.
func (p *freshnessRun) ages() (ages []time.Duration) {
	for _, id := range p.world.ids() {
		ages = append(ages, p.world.now.Sub(p.proven[id]))
	}
	slices.Sort(ages)
	return ages
}

var _ = Describe("The freshness proof of a configuration", func() {
	It("is recent on all nodes, including those that do not reach the store", func() {
		for _, nodes := range []int{11, 65, 295} {
			world := newFleet(5, nodes, 2)
			world.run(2 * time.Second)
			freshness := newFreshnessRun(world, 2*time.Second, 300*time.Millisecond)
			freshness.run(5 * time.Second)
			calm := freshness.ages()
			for index, id := range world.ids() {
				world.nodes[id].cut = index%3 == 0
			}
			freshness.run(6 * time.Second)
			cut := freshness.ages()
			GinkgoWriter.Printf("%d nodes: calm median %v p99 %v; a third cut off: median %v p99 %v\n",
				nodes, calm[nodes/2], calm[nodes*99/100], cut[nodes/2], cut[nodes*99/100])
			Expect(calm[nodes-1]).To(BeNumerically("<", 2500*time.Millisecond))
			Expect(cut[nodes-1]).To(BeNumerically("<", 3*time.Second))
		}
	})

	It("is never dated too late, whichever nodes are paused, cut off or restarted", func() {
		world := newFleet(6, 20, 2)
		world.run(2 * time.Second)
		freshness := newFreshnessRun(world, 2*time.Second, 300*time.Millisecond)
		freshness.run(5 * time.Second)
		for round := range 12 {
			for _, id := range world.ids() {
				world.nodes[id].frozen = world.random.IntN(6) == 0
				world.nodes[id].cut = world.random.IntN(3) == 0
			}
			freshness.run(time.Duration(200+world.random.IntN(1500)) * time.Millisecond)
			freshness.version, freshness.changed = freshness.version+1, world.now
			freshness.run(time.Duration(200+world.random.IntN(1500)) * time.Millisecond)
			if round%4 == 3 {
				id := world.ids()[world.random.IntN(20)]
				world.kill(id)
				delete(freshness.held, id)
				delete(freshness.proven, id)
				freshness.sentAt[id], freshness.nextAt[id] = world.now, world.now.Add(time.Second)
				world.start(id)
				world.list()
			}
		}
		Expect(freshness.tooFresh).To(BeEmpty())
	})

	It("is dated from its request, however late the answer is read", func() {
		world := newFleet(8, 2, 1)
		world.run(time.Second)
		ids := world.ids()
		asking, queried := world.nodes[ids[0]], world.nodes[ids[1]]
		asking.core.Step(world.now, coordinator.FreshnessProven{At: world.now.Add(-5 * time.Second), Version: 1})
		asking.core.Ready()
		asking.core.Step(world.now, coordinator.Tick{})
		var query *coordinator.FreshnessMessage
		for _, message := range asking.core.Ready().Messages {
			if message.Message.Proof != nil {
				query = message.Message.Proof
			}
		}
		Expect(query).NotTo(BeNil())
		Expect(query.Ask).To(BeTrue())
		proof := &coordinator.FreshnessMessage{Number: query.Number, Version: 1, Age: 100 * time.Millisecond}
		answer := coordinator.PeerReceived{Message: coordinator.PeerMessage{From: queried.self, Proof: proof}}
		asking.core.Step(world.now.Add(4*time.Second), answer)
		Expect(asking.core.Ready().FreshAsOf).To(Equal(world.now.Add(-100 * time.Millisecond)))
		unsolicited := *proof
		unsolicited.Number++
		answer.Message.Proof = &unsolicited
		asking.core.Step(world.now.Add(5*time.Second), answer)
		Expect(asking.core.Ready().FreshAsOf).To(BeZero())
	})

	It("uses request numbers that differ from those of earlier processes", func() {
		numbers := map[uint64]bool{}
		for range 3 {
			world := newFleet(uint64(len(numbers)+1), 2, 1)
			world.run(time.Second)
			asking := world.nodes[world.ids()[0]]
			asking.core.Step(world.now, coordinator.FreshnessProven{At: world.now.Add(-5 * time.Second), Version: 1})
			asking.core.Step(world.now, coordinator.Tick{})
			for _, message := range asking.core.Ready().Messages {
				if message.Message.Proof != nil {
					numbers[message.Message.Proof.Number] = true
				}
			}
		}
		Expect(numbers).To(HaveLen(3))
	})

	It("ages if no node reaches the store", func() {
		world := newFleet(7, 20, 2)
		world.run(2 * time.Second)
		freshness := newFreshnessRun(world, 2*time.Second, 300*time.Millisecond)
		freshness.run(5 * time.Second)
		world.setStoreUp(false)
		freshness.run(5 * time.Second)
		Expect(freshness.ages()[0]).To(BeNumerically(">=", 5*time.Second))
	})
})
