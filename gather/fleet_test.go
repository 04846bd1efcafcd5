package gather_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/zone"
)

// The periods and delays of the simulation.
const (
	step  = 10 * time.Millisecond
	delay = 2 * time.Millisecond
	// tickPeriod is the time between two calls of a node's Tick.
	tickPeriod = 100 * time.Millisecond
	// envelopeBytes is the size of what encloses a message: the sender's name and the
	// field names.
	envelopeBytes = 110
	// collectors is the number of nodes of a zone that may act as collectors.
	collectors = 3
)

// node is one simulated node.
type node struct {
	self          machine.Machine
	core          *gather.Core
	loads         map[replica.ID]replica.Report
	received      *gather.Totals
	receivedCount int
	// totalAge is the sum of the ages of the totals received.
	totalAge time.Duration
	// offset spreads the nodes' ticks over the period.
	offset         time.Duration
	frozen         bool
	dead           bool
	sent           int
	bytes          int
	lostCollectors []machine.ID
}

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	from    machine.Machine
	to      machine.ID
	message gather.Message
}

// fleetSimulation runs cores in virtual time.
type fleetSimulation struct {
	now      time.Time
	random   *rand.Rand
	zones    int
	nodes    []*node
	byID     map[machine.ID]*node
	inFlight []delivery
	loss     float64
	// isolated is a zone that exchanges no messages with the others.
	isolated zone.Name
	disabled bool
	// deadUnranked is set if rankings omit dead nodes.
	deadUnranked bool
}

func newFleetSimulation(count, zones int) *fleetSimulation {
	w := &fleetSimulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, uint64(count))), zones: zones, byID: make(map[machine.ID]*node)}
	for index := range count {
		self := machine.Machine{
			ID: machine.ID(fmt.Sprintf("n%04d", index)), Kind: machine.KindNode, Zone: zone.Name(fmt.Sprintf("z%d", index%zones)), Address: "a",
		}
		n := &node{
			self: self, core: gather.New(uint64(w.now.UnixMilli())), loads: make(map[replica.ID]replica.Report),
			offset: time.Duration(w.random.Int64N(int64(tickPeriod/step))) * step,
		}
		w.nodes = append(w.nodes, n)
		w.byID[self.ID] = n
	}
	return w
}

// ranked returns the nodes of a zone that may act as collectors, in ranking order, and
// the number of nodes in the zone.
func (w *fleetSimulation) ranked(name zone.Name) (ranked []machine.Machine, zoneNodes int) {
	for _, n := range w.nodes {
		if n.self.Zone != name || (w.deadUnranked && n.dead) {
			continue
		}
		zoneNodes++
		if len(ranked) < collectors {
			ranked = append(ranked, n.self)
		}
	}
	return ranked, zoneNodes
}

func (w *fleetSimulation) fleetOf(n *node) gather.Fleet {
	fleet := gather.Fleet{Self: n.self, Disabled: w.disabled}
	fleet.Collectors, fleet.Near = w.ranked(n.self.Zone)
	for index := range w.zones {
		name := zone.Name(fmt.Sprintf("z%d", index))
		if first, _ := w.ranked(name); name != n.self.Zone && len(first) > 0 {
			fleet.PeerCollectors = append(fleet.PeerCollectors, first[0])
		}
	}
	return fleet
}

// run advances the time, and calls each function after each step.
func (w *fleetSimulation) run(span time.Duration, each ...func()) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, n := range w.nodes {
			if n.dead || n.frozen || (w.now.Sub(time.Unix(1000, 0))+n.offset)%tickPeriod != 0 {
				continue
			}
			n.core.Tick(w.now, w.fleetOf(n), n.loads)
			w.perform(n)
		}
		for _, call := range each {
			call()
		}
	}
}

func (w *fleetSimulation) deliver() {
	inFlight := w.inFlight
	w.inFlight = nil
	for _, sent := range inFlight {
		to := w.byID[sent.to]
		switch {
		case to.dead:
		case to.frozen || sent.at.After(w.now):
			w.inFlight = append(w.inFlight, sent)
		default:
			if err := to.core.Receive(w.now, sent.from, sent.message); err != nil {
				panic(err)
			}
			w.perform(to)
		}
	}
}

func (w *fleetSimulation) perform(n *node) {
	ready := n.core.Ready()
	if ready.Totals != nil {
		n.received = ready.Totals
		n.receivedCount++
		n.totalAge += w.now.Sub(ready.Totals.At)
	}
	for _, change := range ready.Changes {
		if change.Unresponsive != "" {
			n.lostCollectors = append(n.lostCollectors, change.Unresponsive)
		}
	}
	for _, outbound := range ready.Messages {
		body, err := json.Marshal(outbound.Message)
		if err != nil {
			panic(err)
		}
		n.sent++
		n.bytes += len(body) + envelopeBytes
		to := w.byID[outbound.To.ID]
		isolated := w.isolated != "" && (n.self.Zone == w.isolated) != (to.self.Zone == w.isolated)
		if isolated || w.random.Float64() < w.loss {
			continue
		}
		w.inFlight = append(w.inFlight, delivery{at: w.now.Add(delay), from: n.self, to: outbound.To.ID, message: outbound.Message})
	}
}

// setRequests sets a node's number of requests in progress at a replica.
func (w *fleetSimulation) setRequests(index int, id replica.ID, requests int) {
	w.nodes[index].loads[id] = replica.Report{Requests: requests}
}

// receivedRequests returns the number of requests at a replica in the totals that a
// node received last, or -1 if it received none.
func (w *fleetSimulation) receivedRequests(index int, id replica.ID) int {
	if received := w.nodes[index].received; received != nil {
		return received.Counts[gather.KeyOf(id)]
	}
	return -1
}

// live returns the nodes that are running.
func (w *fleetSimulation) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead || n.frozen })
}
