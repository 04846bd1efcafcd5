package cluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Cluster is one emulated cluster. It is not safe for concurrent use.
type Cluster struct {
	config Config
	now    time.Time
	random *rand.Rand
	queue  eventQueue
	queued uint64

	log          *platformmodel.Log
	machines     *platformmodel.MachineList
	store        storeFaults
	flapping     bool
	blockedLinks map[zonePair]bool

	nodes     []*node
	engines   []*emulatedEngine
	tools     []*emulatedTool
	operators operators

	agents   []*agent
	requests uint64
	steps    uint64
	events   []history.Event
}

// zonePair is the link between two zones in one direction.
type zonePair struct{ from, to zone.Name }

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a cluster whose nodes have just started and whose settings stream
// holds the initial settings.
func New(config Config) (*Cluster, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := &Cluster{
		config:       config,
		now:          epoch,
		random:       rand.New(rand.NewPCG(config.Seed, 0)),
		log:          platformmodel.NewLog(),
		machines:     platformmodel.NewMachineList(listLag, listExpiry),
		blockedLinks: map[zonePair]bool{},
	}
	c.record(history.Event{Run: &history.Run{Name: "cluster", Seed: config.Seed}})
	if err := c.openSettings(); err != nil {
		return nil, err
	}
	c.addBackends()
	for _, name := range config.Zones {
		for range config.NodesPerZone {
			if err := c.addNode(name); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// addNode adds a node to a zone and starts it.
func (c *Cluster) addNode(name zone.Name) error {
	index := len(c.nodes) + 1
	added := &node{
		cluster: c,
		index:   index,
		self: machine.Machine{
			ID:      machine.ID(fmt.Sprintf("node-%d", index)),
			Kind:    machine.KindNode,
			Zone:    name,
			Address: fmt.Sprintf("10.0.0.%d:7000", index),
			Status:  machine.StatusLive,
		},
	}
	c.nodes = append(c.nodes, added)
	return added.start()
}

// Now returns the virtual time.
func (c *Cluster) Now() time.Time { return c.now }

// Steps returns the number of core steps of all nodes so far, a measure of the
// cost of the control logic.
func (c *Cluster) Steps() uint64 { return c.steps }

// Events returns the events recorded so far.
func (c *Cluster) Events() []history.Event { return c.events }

// record adds an event to the history with the current virtual time.
func (c *Cluster) record(event history.Event) {
	event.At = c.now
	c.events = append(c.events, event)
}

// node returns the node with the id, or nil.
func (c *Cluster) node(id machine.ID) *node {
	for _, each := range c.nodes {
		if each.self.ID == id {
			return each
		}
	}
	return nil
}

// jitter draws a delay: a tenth of the mean plus an exponentially distributed
// time with the given mean.
func (c *Cluster) jitter(mean time.Duration) time.Duration {
	return mean/10 + time.Duration(c.random.ExpFloat64()*float64(mean))
}

// chance returns true with the given probability.
func (c *Cluster) chance(probability float64) bool {
	return c.random.Float64() < probability
}

// transmit sends a message from one zone to another: deliver runs on arrival,
// or lost runs at once if the link is blocked.
func (c *Cluster) transmit(from, to zone.Name, deliver, lost func()) {
	if c.blockedLinks[zonePair{from, to}] {
		lost()
		return
	}
	c.after(c.jitter(c.config.LinkDelay), deliver)
}
