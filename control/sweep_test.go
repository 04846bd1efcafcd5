package control_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// testNode is a node that manages one engine.
type testNode struct {
	core   *control.Core
	now    time.Time
	sweeps int
	// listed is the machine list, and settingsRead the last settings read that
	// the core requested.
	listed       []machine.Machine
	settingsRead contract.FollowerRead
}

// newTestNode starts the node; the machine list also contains the peers.
func newTestNode(peers ...machine.Machine) *testNode {
	random := rand.New(rand.NewPCG(1, 1))
	self := machine.Machine{ID: "node-1", Kind: machine.KindNode, Zone: "isando", Address: "10.0.0.1:1", Status: machine.StatusLive, Incarnation: 1}
	settings := schedule.DefaultConfig()
	settings.Self = self.Zone
	settings.Random = random
	settings.LinkDelay = func(zone.Name) time.Duration { return time.Millisecond }
	policy, err := schedule.New(settings)
	Expect(err).NotTo(HaveOccurred())
	config := control.DefaultConfig(self, recordlog.WriterName(self.ID, self.Incarnation), random, policy)
	config.Follower.Zones = []zone.Name{self.Zone}
	core, err := control.New(config)
	Expect(err).NotTo(HaveOccurred())
	started := &testNode{core: core, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	started.listed = append([]machine.Machine{self, {
		ID: "engine-1", Kind: machine.KindEngine, Zone: self.Zone, Address: "10.0.1.1:1",
		Status: machine.StatusLive, Models: []string{"birch-8b"}, Slots: 1, CacheTokens: 1,
	}}, peers...)
	started.step(control.MachinesListed{Machines: started.listed})
	return started
}

// step passes an event to the core and records the actions that the specs
// check.
func (n *testNode) step(event control.Event) {
	n.core.Step(n.now, event)
	for _, action := range n.core.Ready() {
		switch action := action.(type) {
		case control.ListPrefixes:
			n.sweeps++
		case control.ReadSettings:
			n.settingsRead = action.Read
		}
	}
}

// observe delivers cache events and advances the time by 10 ms, much less than
// the sweep period.
func (n *testNode) observe(sequences ...uint64) {
	observed := control.BackendObserved{Backend: "engine-1"}
	for _, sequence := range sequences {
		observed.Events = append(observed.Events, engine.CacheEvent{Sequence: sequence, Owner: "cold.0.0000000000000001"})
	}
	n.step(observed)
	n.now = n.now.Add(10 * time.Millisecond)
	n.step(control.Tick{})
}

var _ = Describe("The memory of an engine", func() {
	It("is looked through at once after a gap in its cache events, and not before", func() {
		node := newTestNode()
		node.observe(5, 6)
		node.observe(7)
		Expect(node.sweeps).To(BeZero())
		node.observe(9)
		Expect(node.sweeps).To(Equal(1))
		node.observe(10, 12)
		Expect(node.sweeps).To(Equal(2))
	})

	It("is looked through in every period, though events never come", func() {
		node := newTestNode()
		for range 60 {
			node.now = node.now.Add(time.Second)
			node.step(control.Tick{})
		}
		Expect(node.sweeps).To(BeNumerically(">=", 5))
	})
})
