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

// The delays of the virtual world.
const (
	tick  = 10 * time.Millisecond
	delay = 2 * time.Millisecond
	// reported is the time between two looks of a node at its own loads.
	reported = 100 * time.Millisecond
	// envelope is what a message takes besides: the names of its sender and fields.
	envelope = 110
	// collectors is how many nodes of a zone may collect.
	collectors = 3
)

// node is one node of the world.
type node struct {
	self   machine.Machine
	core   *gather.Core
	has    map[replica.ID]replica.Report
	heard  *gather.Totals
	heardN int
	// ages is the sum of the ages of what was heard.
	ages time.Duration
	// offset spreads the nodes' looks at their loads.
	offset time.Duration
	frozen bool
	dead   bool
	sent   int
	bytes  int
	lost   []machine.ID
}

// letter is a message on its way.
type letter struct {
	at   time.Time
	from machine.Machine
	to   machine.ID
	said gather.Message
}

// world runs cores in virtual time.
type world struct {
	now    time.Time
	random *rand.Rand
	zones  int
	nodes  []*node
	byID   map[machine.ID]*node
	mail   []letter
	loss   float64
	// cut is a zone that hears no other.
	cut zone.Name
	off bool
	// listed says that rankings leave dead nodes out.
	listed bool
}

func newWorld(count, zones int) *world {
	w := &world{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, uint64(count))), zones: zones, byID: make(map[machine.ID]*node)}
	for index := range count {
		self := machine.Machine{
			ID: machine.ID(fmt.Sprintf("n%04d", index)), Kind: machine.KindNode, Zone: zone.Name(fmt.Sprintf("z%d", index%zones)), Address: "a",
		}
		one := &node{
			self: self, core: gather.New(uint64(w.now.UnixMilli())), has: make(map[replica.ID]replica.Report),
			offset: time.Duration(w.random.Int64N(int64(reported/tick))) * tick,
		}
		w.nodes = append(w.nodes, one)
		w.byID[self.ID] = one
	}
	return w
}

// ranked returns the nodes of a zone that may collect, in the order of the ranking.
func (w *world) ranked(name zone.Name) (ranked []machine.Machine, near int) {
	for _, one := range w.nodes {
		if one.self.Zone != name || (w.listed && one.dead) {
			continue
		}
		near++
		if len(ranked) < collectors {
			ranked = append(ranked, one.self)
		}
	}
	return ranked, near
}

func (w *world) fleetOf(one *node) gather.Fleet {
	fleet := gather.Fleet{Self: one.self, Off: w.off}
	fleet.Collectors, fleet.Near = w.ranked(one.self.Zone)
	for index := range w.zones {
		name := zone.Name(fmt.Sprintf("z%d", index))
		if first, _ := w.ranked(name); name != one.self.Zone && len(first) > 0 {
			fleet.Remote = append(fleet.Remote, first[0])
		}
	}
	return fleet
}

// run lets the time pass, and calls each with every step.
func (w *world) run(span time.Duration, each ...func()) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		for _, one := range w.nodes {
			if one.dead || one.frozen || (w.now.Sub(time.Unix(1000, 0))+one.offset)%reported != 0 {
				continue
			}
			one.core.Tick(w.now, w.fleetOf(one), one.has)
			w.perform(one)
		}
		for _, call := range each {
			call()
		}
	}
}

func (w *world) deliver() {
	mail := w.mail
	w.mail = nil
	for _, one := range mail {
		to := w.byID[one.to]
		switch {
		case to.dead:
		case to.frozen || one.at.After(w.now):
			w.mail = append(w.mail, one)
		default:
			if err := to.core.Receive(w.now, one.from, one.said); err != nil {
				panic(err)
			}
			w.perform(to)
		}
	}
}

func (w *world) perform(one *node) {
	ready := one.core.Ready()
	if ready.Totals != nil {
		one.heard = ready.Totals
		one.heardN++
		one.ages += w.now.Sub(ready.Totals.At)
	}
	for _, change := range ready.Changes {
		if change.Silent != "" {
			one.lost = append(one.lost, change.Silent)
		}
	}
	for _, outbound := range ready.Messages {
		body, err := json.Marshal(outbound.Message)
		if err != nil {
			panic(err)
		}
		one.sent++
		one.bytes += len(body) + envelope
		to := w.byID[outbound.To.ID]
		cut := w.cut != "" && (one.self.Zone == w.cut) != (to.self.Zone == w.cut)
		if cut || w.random.Float64() < w.loss {
			continue
		}
		w.mail = append(w.mail, letter{at: w.now.Add(delay), from: one.self, to: outbound.To.ID, said: outbound.Message})
	}
}

// give has a node have so many requests at a replica.
func (w *world) give(index int, id replica.ID, requests int) {
	w.nodes[index].has[id] = replica.Report{Requests: requests}
}

// hears returns what a node heard last of a replica.
func (w *world) hears(index int, id replica.ID) int {
	if heard := w.nodes[index].heard; heard != nil {
		return heard.Counts[gather.KeyOf(id)]
	}
	return -1
}

// live returns the nodes that are up.
func (w *world) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(one *node) bool { return one.dead || one.frozen })
}
