package partition

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/zone"
)

// Delays of the simulated cluster: logDelay is the time of a whole request to
// the log, linkDelay that of a message between nodes.
const (
	logDelay  = 5 * time.Millisecond
	linkDelay = 2 * time.Millisecond
)

// simulatedEvent is an event at a virtual time.
type simulatedEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulatedNode is one node: its replica, its mirror store, and the state that
// a state machine on it would hold.
type simulatedNode struct {
	id       machine.ID
	zone     zone.Name
	replica  *Replica
	store    *MirrorStore
	starts   uint64
	alive    bool
	paused   bool
	deferred []func() // events to run after the pause
	wake     time.Time
	state    []string // payloads of records, in order
	owning   bool
	proposed map[recordlog.Token]string
	lost     int
	acquired int
}

// cluster runs the replicas of one partition in virtual time.
type cluster struct {
	now                 time.Time
	events              eventQueue
	order               int
	random              *rand.Rand
	id                  ID
	placement           zone.Placement
	log                 *simulatedLog
	nodes               []*simulatedNode
	blocked             map[[2]machine.ID]bool
	hidden              map[machine.ID]bool // missing from the machine list
	stopping            map[machine.ID]bool
	deferring           map[machine.ID]bool
	adjust              func(*Config)
	mirrorConfirmations int
	// confirmed lists the values that were confirmed to a caller, in order of
	// confirmation.
	confirmed []string
	// proposedEpoch maps each value to the epoch in which it was proposed.
	proposedEpoch map[string]uint64
	failures      []string
	// skipChecks disables the checks of values for benchmarks, which count
	// confirmations and the bytes sent to mirrors instead.
	skipChecks    bool
	confirmations int
	mirrorBytes   int
	nextValue     int
}

func newCluster(seed uint64, zones []zone.Name, adjust func(*Config)) *cluster {
	c := &cluster{
		now:           time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:        rand.New(rand.NewPCG(seed, seed)),
		id:            ID{Group: "koudeketting~triage", Index: 0},
		placement:     zone.NewPlacement(zones...),
		log:           &simulatedLog{},
		blocked:       map[[2]machine.ID]bool{},
		hidden:        map[machine.ID]bool{},
		stopping:      map[machine.ID]bool{},
		deferring:     map[machine.ID]bool{},
		adjust:        adjust,
		proposedEpoch: map[string]uint64{},
	}
	for index, name := range zones {
		node := &simulatedNode{id: machine.ID(fmt.Sprintf("node-%d", index)), zone: name}
		c.nodes = append(c.nodes, node)
		c.start(node)
	}
	c.viewChanged()
	return c
}

// start starts a new process on the node, with empty memory.
func (c *cluster) start(node *simulatedNode) {
	node.starts++
	writer := recordlog.WriterName(node.id, node.starts)
	config := DefaultConfig(c.id, node.id, writer, c.random)
	if c.adjust != nil {
		c.adjust(&config)
	}
	store, err := NewMirrorStore(MirrorStoreConfig{
		Instance:            writer,
		MaximumBytes:        config.MaximumUnconfirmedBytes,
		MaximumMessageBytes: config.MaximumBatchBytes,
	})
	if err != nil {
		panic(err)
	}
	config.Mirrors = store
	replica, err := NewReplica(config)
	if err != nil {
		panic(err)
	}
	*node = simulatedNode{
		id: node.id, zone: node.zone, starts: node.starts, alive: true,
		replica: replica, store: store, proposed: map[recordlog.Token]string{},
		lost: node.lost, acquired: node.acquired,
	}
}

func (c *cluster) after(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, simulatedEvent{at: c.now.Add(delay), order: c.order, run: run})
}

// deliver runs an event on the node's current process after the delay: later if
// the process is paused, and never if it has died.
func (c *cluster) deliver(node *simulatedNode, delay time.Duration, run func()) {
	process := node.starts
	c.after(delay, func() {
		c.runOn(node, process, run)
	})
}

func (c *cluster) runOn(node *simulatedNode, process uint64, run func()) {
	if !node.alive || node.starts != process {
		return
	}
	if node.paused {
		node.deferred = append(node.deferred, func() { c.runOn(node, process, run) })
		return
	}
	run()
	c.settle(node)
}

// run advances virtual time.
func (c *cluster) run(duration time.Duration) {
	end := c.now.Add(duration)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		event := heap.Pop(&c.events).(simulatedEvent)
		c.now = event.at
		event.run()
	}
	c.now = end
}

// runUntil advances virtual time until the condition holds.
func (c *cluster) runUntil(limit time.Duration, condition func() bool) bool {
	end := c.now.Add(limit)
	for !condition() {
		if len(c.events) == 0 || c.events[0].at.After(end) {
			c.now = end
			return condition()
		}
		event := heap.Pop(&c.events).(simulatedEvent)
		c.now = event.at
		event.run()
	}
	return true
}

// settle performs all pending output of a node's replica.
func (c *cluster) settle(node *simulatedNode) {
	for node.replica.HasReady() {
		c.perform(node, node.replica.Ready())
	}
	c.schedule(node)
}

func (c *cluster) schedule(node *simulatedNode) {
	wake := node.replica.NextWake()
	if wake.IsZero() || wake.Equal(node.wake) {
		return
	}
	node.wake = wake
	c.deliver(node, max(wake.Sub(c.now), 0), func() {
		if node.wake.Equal(wake) {
			node.wake = time.Time{}
		}
		node.replica.Tick(c.now)
	})
}

func (c *cluster) perform(node *simulatedNode, ready Ready) {
	for _, recovered := range ready.Recovered {
		node.recover(recovered)
	}
	for _, confirmed := range ready.Confirmed {
		c.confirm(node, confirmed)
	}
	if ready.Lost {
		node.lost++
		node.owning = false
		node.state = nil
		clear(node.proposed)
	}
	if ready.Acquired {
		node.acquired++
		node.owning = true
		c.checkRecovered(node)
	}
	for _, request := range ready.Appends {
		c.append(node, request)
	}
	for _, request := range ready.Reads {
		c.read(node, request)
	}
	for _, outbound := range ready.Messages {
		c.send(node, outbound)
	}
}

func (n *simulatedNode) recover(recovered Recovered) {
	if !recovered.Snapshot {
		n.state = append(n.state, text(recovered.Payload))
		return
	}
	var part []string
	if err := json.Unmarshal(recovered.Payload, &part); err != nil {
		panic(err)
	}
	n.state = append(n.state, part...)
}

func text(payload json.RawMessage) string {
	var value string
	if err := json.Unmarshal(payload, &value); err != nil {
		panic(err)
	}
	return value
}

// confirm records that a caller's record was confirmed as durable.
func (c *cluster) confirm(node *simulatedNode, confirmed Confirmed) {
	c.confirmations++
	if c.skipChecks {
		return
	}
	value, known := node.proposed[confirmed.Token]
	if !known {
		c.fail("%s: confirmed unknown token %d", node.id, confirmed.Token)
		return
	}
	if confirmed.Offset == NoOffset {
		c.mirrorConfirmations++
	} else {
		delete(node.proposed, confirmed.Token)
	}
	if slices.Contains(c.confirmed, value) {
		return
	}
	c.confirmed = append(c.confirmed, value)
	for _, later := range c.nodes {
		if later.owning && later.replica.Epoch() > c.proposedEpoch[value] && !slices.Contains(later.state, value) {
			c.fail("%s confirmed %s after %s had opened a later epoch without it", node.id, value, later.id)
		}
	}
}

func (c *cluster) fail(format string, values ...any) {
	c.failures = append(c.failures, fmt.Sprintf(format, values...))
}

// checkRecovered compares a new owner's state with the values confirmed before:
// it must have every confirmed value once, and those of one epoch in order.
func (c *cluster) checkRecovered(node *simulatedNode) {
	if c.skipChecks {
		return
	}
	position := map[string]int{}
	for index, value := range node.state {
		if _, repeated := position[value]; repeated {
			c.fail("%s: %s recovered twice", node.id, value)
		}
		position[value] = index
	}
	last := map[uint64]int{}
	for _, value := range c.confirmed {
		index, found := position[value]
		if !found {
			c.fail("%s: confirmed %s is not recovered", node.id, value)
			continue
		}
		epoch := c.proposedEpoch[value]
		if index < last[epoch] {
			c.fail("%s: confirmed %s is out of order", node.id, value)
		}
		last[epoch] = index
	}
}

func (c *cluster) send(from *simulatedNode, outbound Outbound) {
	to := c.node(outbound.To)
	if to == nil || c.blocked[[2]machine.ID{from.id, to.id}] {
		return
	}
	if c.skipChecks && outbound.Message.Mirror != nil {
		encoded, _ := json.Marshal(outbound.Message)
		c.mirrorBytes += len(encoded)
	}
	process := to.starts
	c.after(linkDelay, func() {
		if !to.alive || to.starts != process {
			return
		}
		c.runOn(to, process, func() { c.receive(to, from.id, outbound.Message) })
	})
}

// receive passes a message to the replica or the mirror store.
func (c *cluster) receive(node *simulatedNode, from machine.ID, message Message) {
	if !message.ForMirror() {
		node.replica.StepMessage(c.now, from, message)
		return
	}
	for _, outbound := range node.store.Step(from, message) {
		c.send(node, outbound)
	}
}

func (c *cluster) node(id machine.ID) *simulatedNode {
	for _, node := range c.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// viewChanged sends the machine list to every node.
func (c *cluster) viewChanged() {
	var nodes []machine.Machine
	for _, node := range c.nodes {
		status := machine.StatusLive
		if c.stopping[node.id] {
			status = machine.StatusLeaving
		}
		if node.alive && !node.paused && !c.hidden[node.id] {
			nodes = append(nodes, machine.Machine{ID: node.id, Zone: node.zone, Status: status})
		}
	}
	for _, node := range c.nodes {
		view := View{Placement: c.placement, Nodes: nodes, Stopping: c.stopping[node.id], DeferHandover: c.deferring[node.id], Excluded: !c.placement.Contains(node.zone)}
		c.deliver(node, linkDelay, func() { node.replica.SetView(c.now, view) })
	}
}

func (c *cluster) crash(node *simulatedNode) {
	node.alive = false
	node.owning = false
	node.state = nil
	c.viewChanged()
}

func (c *cluster) restart(node *simulatedNode) {
	c.start(node)
	c.viewChanged()
}

func (c *cluster) pause(node *simulatedNode) {
	node.paused = true
	c.viewChanged()
}

func (c *cluster) resume(node *simulatedNode) {
	node.paused = false
	deferred := node.deferred
	node.deferred = nil
	for _, run := range deferred {
		run()
	}
	c.viewChanged()
}

// owner returns the node with the newest epoch that may propose.
func (c *cluster) owner() *simulatedNode {
	var newest *simulatedNode
	for _, node := range c.nodes {
		if node.alive && !node.paused && node.owning && node.replica.State() == StateOwning &&
			(newest == nil || node.replica.Epoch() > newest.replica.Epoch()) {
			newest = node
		}
	}
	return newest
}

func (c *cluster) hasOwner() bool {
	return c.owner() != nil
}

// propose proposes the next value on a node.
func (c *cluster) propose(node *simulatedNode) (string, error) {
	c.nextValue++
	value := fmt.Sprintf("v%d", c.nextValue)
	payload, _ := json.Marshal(value)
	token, err := node.replica.Propose(c.now, payload)
	if err != nil {
		c.settle(node)
		return "", err
	}
	node.proposed[token] = value
	c.proposedEpoch[value] = node.replica.Epoch()
	node.state = append(node.state, value)
	c.settle(node)
	return value, nil
}

// snapshot proposes a snapshot of a node's state in two parts.
func (c *cluster) snapshot(node *simulatedNode) {
	half := len(node.state) / 2
	first, _ := json.Marshal(node.state[:half])
	second, _ := json.Marshal(node.state[half:])
	if err := node.replica.ProposeSnapshot(c.now, []json.RawMessage{first, second}); err != nil {
		c.fail("%s: snapshot: %v", node.id, err)
	}
	c.settle(node)
}

// isConfirmed reports whether a value was confirmed.
func (c *cluster) isConfirmed(value string) bool {
	return slices.Contains(c.confirmed, value)
}
