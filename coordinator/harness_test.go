package coordinator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/zone"
)

// start is the beginning of the virtual time.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// The delays of the simulation.
const (
	step        = 5 * time.Millisecond
	peerDelay   = 2 * time.Millisecond
	appendDelay = 8 * time.Millisecond
)

// fleet runs real cores against one simulated store in virtual time.
type fleet struct {
	now        time.Time
	partitions int
	random     *rand.Rand
	nodes      map[machine.ID]*member
	inTransit  []delivery
	store      map[int]*streamState
	// appendCount is the number of appends that nodes have started.
	appendCount int
	// storeDown makes the store unavailable to all nodes.
	storeDown bool
	// contactTimeout is how long after its last answer the store counts as reached.
	contactTimeout time.Duration
	// storeChangedAt is when setStoreUp last changed storeDown.
	storeChangedAt time.Time
	nextID         uint64
	// pageDelay is how long the store takes to return a page of a takeover.
	pageDelay time.Duration
	// lossRate is the share of the messages between nodes that are lost.
	lossRate float64
	// zoneOf returns the zone of a node; nil puts all nodes into one zone.
	zoneOf func(machine.ID) zone.Name
	// gainedAt holds, for each partition, the times at which a node started to serve it.
	gainedAt map[int][]time.Time
	// handovers counts the clean handovers of each partition.
	handovers map[int]int
	// configure changes the nodes' configuration; nil leaves it unchanged.
	configure func(*coordinator.Config)
	// expect makes assertions for the test that uses the fleet.
	expect func(actual any, extra ...any) types.Assertion
}

// member is one node of the fleet.
type member struct {
	self machine.Machine
	core *coordinator.Core
	// frozen nodes process no events, and cut nodes cannot reach the store.
	frozen bool
	cut    bool
	// alone nodes exchange no messages with others.
	alone bool
	// reachable, if not empty, lists the only nodes with which the node exchanges messages.
	reachable []machine.ID
	// noticeLag is how long after a change of the store the node notices it.
	noticeLag time.Duration
	// lastStoreAnswer is when the store last answered the node.
	lastStoreAnswer time.Time
	replies         map[uint64]coordinator.Reply
	changes         []coordinator.Change
	// charged holds the answers to charges that were not collected yet.
	charged []coordinator.Charged
	// proven is a time at which the node's configuration was the newest, as proven by a
	// peer.
	proven time.Time
	// newer holds peers with a newer configuration that were not collected yet.
	newer []coordinator.PeerVersion
	// totals are the last ones from a collector, and gatherMessages counts messages about
	// loads.
	totals         *gather.Totals
	gatherMessages int
	// unsettled are the turns that the node has not settled, and collected the ended
	// searches for the turns of previous owners.
	unsettled []ledger.Claim
	collected []coordinator.ClaimsCollected
	// marked are the marked requests, announced the reports of runs that all nodes know, and
	// decided the decisions on runs.
	marked map[quarantine.Fingerprint]coordinator.QuarantineChange
	// shared are the requests without a program that replicas answered at the node.
	shared    []quarantine.Fingerprint
	announced map[uint64]coordinator.RunsAnnounced
	decided   map[uint64]coordinator.RunDecided
}

// delivery is an event in transit.
type delivery struct {
	at    time.Time
	to    machine.ID
	event coordinator.Event
	// call is executed at the store instead of delivering an event.
	call func()
}

// streamState is the store's state of one partition.
type streamState struct {
	epoch ownership.Epoch
	// end counts the appends and claims.
	end     uint64
	records map[string]ledger.Record
	order   []string
}

func newFleet(seed uint64, nodes, partitions int) *fleet {
	return newFleetWith(seed, nodes, partitions, nil)
}

func newFleetWith(seed uint64, nodes, partitions int, configure func(*coordinator.Config)) *fleet {
	world := &fleet{
		configure: configure, now: start, partitions: partitions, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[machine.ID]*member{}, store: map[int]*streamState{},
		gainedAt: map[int][]time.Time{}, handovers: map[int]int{}, expect: Expect,
	}
	for index := range partitions {
		world.store[index] = &streamState{records: map[string]ledger.Record{}}
	}
	for index := range nodes {
		world.start(machine.ID(fmt.Sprintf("node-%02d", index)))
	}
	world.list()
	return world
}

// start starts a node, or restarts it.
func (f *fleet) start(id machine.ID) {
	self := machine.Machine{
		ID: id, Kind: machine.KindNode, Zone: "z", Address: "address-of-" + string(id), Status: machine.StatusLive,
		Incarnation: uint64(f.now.UnixNano()),
	}
	if f.zoneOf != nil {
		self.Zone = f.zoneOf(id)
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), 2))
	config := coordinator.DefaultConfig(self, f.partitions, random)
	if f.configure != nil {
		f.configure(&config)
	}
	core, err := coordinator.New(f.now, config)
	f.expect(err).NotTo(HaveOccurred())
	f.nodes[id] = &member{self: config.Membership.Self, core: core, replies: map[uint64]coordinator.Reply{},
		marked: map[quarantine.Fingerprint]coordinator.QuarantineChange{}, announced: map[uint64]coordinator.RunsAnnounced{},
		decided: map[uint64]coordinator.RunDecided{}}
}

// kill ends a node's process.
func (f *fleet) kill(id machine.ID) { delete(f.nodes, id) }

// list has every node read the complete node list from the store.
func (f *fleet) list() {
	var all []machine.Machine
	for _, id := range f.ids() {
		all = append(all, f.nodes[id].self)
	}
	for _, id := range f.ids() {
		f.nodes[id].core.Step(f.now, coordinator.NodeListRead{Nodes: all})
	}
}

func (f *fleet) ids() []machine.ID {
	var ids []machine.ID
	for id := range f.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// run advances the virtual time.
func (f *fleet) run(span time.Duration) {
	end := f.now.Add(span)
	for f.now.Before(end) {
		f.now = f.now.Add(step)
		f.deliver()
		for _, id := range f.ids() {
			if node := f.nodes[id]; !node.frozen {
				if !f.storeDown && !node.cut {
					node.lastStoreAnswer = f.now
				}
				node.core.Step(f.now, f.contactOf(node))
				node.core.Step(f.now, coordinator.Tick{})
				f.perform(id, node)
			}
		}
	}
}

// contactOf returns a node's knowledge of its contact with the store.
func (f *fleet) contactOf(node *member) coordinator.StoreContact {
	reached := f.reaches(node)
	recently := f.now.Sub(node.lastStoreAnswer) < f.contactTimeout
	return coordinator.StoreContact{Reached: reached || recently, Last: node.lastStoreAnswer, Failing: recently && !reached}
}

// setStoreUp makes the store available or unavailable.
func (f *fleet) setStoreUp(up bool) {
	f.storeDown = !up
	f.storeChangedAt = f.now
}

// reaches reports whether a node considers the store reachable.
func (f *fleet) reaches(node *member) bool {
	down := f.storeDown
	if f.now.Sub(f.storeChangedAt) < node.noticeLag {
		down = !down
	}
	return !down && !node.cut
}

// changeCount returns how many times partitions were gained or lost.
func (f *fleet) changeCount() int {
	count := 0
	for _, node := range f.nodes {
		count += len(node.changes)
	}
	return count
}

// deliver delivers the events that have arrived. Events for a frozen node wait.
func (f *fleet) deliver() {
	inTransit := f.inTransit
	f.inTransit = nil
	for _, next := range inTransit {
		target := f.nodes[next.to]
		waits := next.at.After(f.now) || (target != nil && target.frozen)
		switch {
		case waits:
			f.inTransit = append(f.inTransit, next)
		case next.call != nil:
			next.call()
		case target != nil:
			target.core.Step(f.now, next.event)
			f.perform(next.to, target)
		}
	}
}

func (f *fleet) send(to machine.ID, delay time.Duration, event coordinator.Event) {
	f.inTransit = append(f.inTransit, delivery{at: f.now.Add(delay), to: to, event: event})
}

// perform performs the work that a core has ready.
func (f *fleet) perform(id machine.ID, node *member) {
	ready := node.core.Ready()
	node.applyQuarantine(&ready)
	if ready.Totals != nil {
		node.totals = ready.Totals
	}
	for _, message := range ready.Messages {
		if message.Message.Gather != nil {
			node.gatherMessages++
		}
		target := f.nodes[message.To.ID]
		if node.alone || (target != nil && (target.alone || !reachable(node, target))) {
			continue
		}
		if f.lossRate > 0 && f.random.Float64() < f.lossRate {
			continue
		}
		f.send(message.To.ID, peerDelay, coordinator.PeerReceived{Message: message.Message})
	}
	for _, reply := range ready.Replies {
		node.replies[reply.ID] = reply
	}
	for _, takeover := range ready.Takeovers {
		f.callStore(id, func() { f.takeOver(id, takeover) })
	}
	for _, batch := range ready.Appends {
		f.appendCount++
		f.callStore(id, func() { f.append(id, batch) })
	}
	node.changes = append(node.changes, ready.Changes...)
	for _, change := range ready.Changes {
		if change.Reason == "handed over" {
			f.handovers[change.Partition]++
		}
		if change.Owned {
			f.gainedAt[change.Partition] = append(f.gainedAt[change.Partition], f.now)
		}
	}
	node.charged = append(node.charged, ready.Charged...)
	node.newer = append(node.newer, ready.NewerPeers...)
	if ready.FreshAsOf.After(node.proven) {
		node.proven = ready.FreshAsOf
	}
	node.collected = append(node.collected, ready.ClaimsCollected...)
	for _, query := range ready.ClaimQueries {
		node.core.Step(f.now, coordinator.ClaimsListed{Query: query, Claims: node.unsettled})
	}
	for _, query := range ready.QuarantineQueries {
		node.core.Step(f.now, coordinator.RunsListed{Query: query, Shared: node.shared})
	}
	if len(ready.ClaimQueries)+len(ready.QuarantineQueries) > 0 {
		f.perform(id, node)
	}
}

// partitionInHalves lets nodes exchange messages only within their half of the fleet.
func (f *fleet) partitionInHalves() {
	ids := f.ids()
	for index, id := range ids {
		half := ids[:len(ids)/2]
		if index >= len(ids)/2 {
			half = ids[len(ids)/2:]
		}
		f.nodes[id].reachable = half
	}
}

// heal lets all nodes exchange messages again.
func (f *fleet) heal() {
	for _, node := range f.nodes {
		node.reachable = nil
	}
}

// reachable reports whether the limits of both nodes let them exchange messages.
func reachable(left, right *member) bool {
	allows := func(from, to *member) bool {
		return len(from.reachable) == 0 || slices.Contains(from.reachable, to.self.ID)
	}
	return allows(left, right) && allows(right, left)
}

// callStore executes a call once the store can be reached.
func (f *fleet) callStore(from machine.ID, call func()) {
	f.inTransit = append(f.inTransit, delivery{at: f.now.Add(appendDelay / 2), call: func() {
		sender := f.nodes[from]
		switch {
		case f.storeDown && sender == nil:
			// The process is gone, and its unsent calls with it.
		case f.storeDown || (sender != nil && sender.cut):
			f.callStore(from, call)
		default:
			call()
		}
	}})
}

func (f *fleet) takeOver(id machine.ID, takeover coordinator.Takeover) {
	stream := f.store[takeover.Partition]
	taken := coordinator.TakeoverEnded{Partition: takeover.Partition, Epoch: takeover.Epoch}
	if takeover.Epoch < stream.epoch {
		taken.Outcome = coordinator.OutcomeFenced
		f.send(id, appendDelay/2, taken)
		return
	}
	if takeover.Contested && stream.end != takeover.ExpectedEnd {
		taken.Outcome, taken.End = coordinator.OutcomeLogAdvanced, stream.end
		f.send(id, appendDelay/2, taken)
		return
	}
	stream.epoch = takeover.Epoch
	stream.end++
	f.readPages(id, takeover, stream)
}

// readPages answers a takeover page by page after its claim is in the store.
func (f *fleet) readPages(id machine.ID, takeover coordinator.Takeover, stream *streamState) {
	delay := appendDelay / 2
	f.send(id, delay, coordinator.TakeoverRead{Partition: takeover.Partition, Epoch: takeover.Epoch})
	records := stream.sorted()
	for page := range slices.Chunk(records, pageRecords) {
		delay += f.pageDelay
		f.send(id, delay, coordinator.TakeoverRead{Partition: takeover.Partition, Epoch: takeover.Epoch, Records: page})
	}
	f.send(id, delay, coordinator.TakeoverEnded{Partition: takeover.Partition, Epoch: takeover.Epoch})
}

// pageRecords is the number of records in a page of a takeover.
const pageRecords = 50

// sorted returns the newest records in key order.
func (s *streamState) sorted() []ledger.Record {
	var records []ledger.Record
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if record := s.records[key]; len(record.Value) > 0 {
			records = append(records, record)
		}
	}
	return records
}

func (f *fleet) append(id machine.ID, batch coordinator.Append) {
	stream := f.store[batch.Partition]
	answer := coordinator.Appended{Partition: batch.Partition, Epoch: batch.Epoch, Sequence: batch.Sequence}
	if batch.Epoch < stream.epoch {
		answer.Outcome = coordinator.OutcomeFenced
	} else {
		stream.end++
		for _, record := range batch.Records {
			if _, known := stream.records[record.Key]; !known {
				stream.order = append(stream.order, record.Key)
			}
			stream.records[record.Key] = record
		}
	}
	f.send(id, appendDelay/2, answer)
}

// ask sends a request to a node and returns the ID of the reply.
func (f *fleet) ask(to machine.ID, partition int, request coordinator.Request) uint64 {
	f.nextID++
	f.send(to, 0, coordinator.RequestReceived{ID: f.nextID, Partition: partition, Request: request})
	return f.nextID
}

// owners returns the nodes that consider themselves the owner of a partition.
func (f *fleet) owners(partition int) []machine.ID {
	var owners []machine.ID
	for _, id := range f.ids() {
		serving := false
		for _, change := range f.nodes[id].changes {
			if change.Partition == partition {
				serving = change.Owned
			}
		}
		if serving {
			owners = append(owners, id)
		}
	}
	return owners
}

// turn returns a request for a turn of at most 100 tokens from a budget of 300.
func turn(id string) *coordinator.AdmitRequest {
	return &coordinator.AdmitRequest{Turn: ledger.Turn{
		ID: id, Program: "p", Session: "s", MaxTokens: 100, Budget: 300, Timeout: time.Second, Retain: time.Minute,
	}}
}
