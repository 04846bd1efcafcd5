package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/schedule"
)

// attendant looks after the back ends that fall to this node: each back end
// has one node that asks for its load and sweeps its memory.
type attendant struct {
	config   Config
	backends map[machine.ID]machine.Machine
	attended map[machine.ID]*attendedBackend
	order    []machine.ID
	nextLoad time.Time
}

// attendedBackend is what this node keeps of one back end that it attends.
type attendedBackend struct {
	// lastEvent is the sequence of the newest cache event that was read.
	lastEvent uint64
	nextSweep time.Time
	// outstanding is set while a query has not been answered.
	outstanding bool
	// spread is the newest load report that peers get or got; unspread is set
	// while it has not been sent.
	spread   schedule.Load
	unspread bool
}

func newAttendant(config Config) attendant {
	return attendant{
		config:   config,
		backends: make(map[machine.ID]machine.Machine),
		attended: make(map[machine.ID]*attendedBackend),
	}
}

// backend returns a back end that the machine list has shown.
func (a *attendant) backend(id machine.ID) (machine.Machine, bool) {
	backend, ok := a.backends[id]
	return backend, ok
}

// setMachines works out anew which back ends this node attends. An entry that
// the list no longer shows is kept for look-ups, so that a call sent to it can
// still be asked about.
func (a *attendant) setMachines(now time.Time, nodes, backends []machine.Machine) {
	a.order = a.order[:0]
	for _, backend := range backends {
		a.backends[backend.ID] = backend
		if attendantOf(backend, nodes) != a.config.Self.ID {
			delete(a.attended, backend.ID)
			continue
		}
		a.order = append(a.order, backend.ID)
		if a.attended[backend.ID] == nil {
			a.attended[backend.ID] = &attendedBackend{nextSweep: now.Add(a.config.SweepPeriod)}
		}
	}
	slices.Sort(a.order)
}

// attendantOf picks the node that attends a back end: one of the same zone if
// there is any, by rendezvous hash. It runs for every back end whenever a node
// comes or goes.
func attendantOf(backend machine.Machine, nodes []machine.Machine) machine.ID {
	near := slices.ContainsFunc(nodes, func(node machine.Machine) bool {
		return node.Zone == backend.Zone && node.Status != machine.StatusLeaving
	})
	var best machine.ID
	var bestScore uint64
	for i := range nodes {
		node := &nodes[i]
		if node.Status == machine.StatusLeaving || near && node.Zone != backend.Zone {
			continue
		}
		if score := attendantScore(backend.ID, node.ID); best == "" || score > bestScore {
			best, bestScore = node.ID, score
		}
	}
	return best
}

// attendantScore ranks a node for a back end. It does not allocate for names
// of the usual length.
func attendantScore(backend, node machine.ID) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], backend...)
	text = append(text, 0)
	return xxhash.Sum64(append(text, node...))
}

func (a *attendant) nextWake() time.Time {
	wake := a.nextLoad
	for id, attended := range a.attended {
		if a.backends[id].Kind == machine.KindEngine {
			earliest(&wake, attended.nextSweep)
		}
	}
	return wake
}

// released notes the answer to a release. One that failed is left to the next
// sweep, which sees the prefix again.
func (a *attendant) released(PrefixReleased) {}

// tickAttendant asks the attended back ends for load and prefixes when due.
func (c *Core) tickAttendant(now time.Time) {
	queryLoad := !now.Before(c.attendant.nextLoad)
	if queryLoad {
		c.attendant.nextLoad = now.Add(c.config.LoadPeriod)
		c.spreadLoads()
	}
	for _, id := range c.attendant.order {
		attended := c.attendant.attended[id]
		backend := c.attendant.backends[id]
		if queryLoad && !attended.outstanding {
			attended.outstanding = true
			c.emit(QueryBackend{Backend: backend, AfterEvent: attended.lastEvent})
		}
		if backend.Kind == machine.KindEngine && !now.Before(attended.nextSweep) {
			attended.nextSweep = now.Add(c.config.SweepPeriod)
			c.emit(ListPrefixes{Backend: backend})
		}
	}
}

// stepBackendObserved takes a back end's load and cache events, and passes
// the load on to a few random peers.
func (c *Core) stepBackendObserved(now time.Time, event BackendObserved) {
	attended, ok := c.attendant.attended[event.Backend]
	if !ok {
		return
	}
	attended.outstanding = false
	if event.Err != nil {
		return
	}
	if event.Load != nil {
		load := *event.Load
		load.At = now
		c.observeLoad(now, load)
		attended.report(now, load)
	}
	c.stepCacheEvents(now, event.Backend, attended, event.Events)
}

// stepCacheEvents forgets the prefixes that an engine evicted. After a gap in
// the events the next sweep is due at once: it lists what is really there.
func (c *Core) stepCacheEvents(now time.Time, backend machine.ID, attended *attendedBackend, events []engine.CacheEvent) {
	for _, event := range events {
		if attended.lastEvent != 0 && event.Sequence > attended.lastEvent+1 {
			attended.nextSweep = now
		}
		attended.lastEvent = max(attended.lastEvent, event.Sequence)
		if event.Evicted {
			c.evicted(now, event.Owner, backend)
		}
	}
}

// evicted notes that an engine no longer holds a program's prefix.
func (c *Core) evicted(now time.Time, owner api.ProgramID, backend machine.ID) {
	c.config.Policy.Evicted(now, owner, backend)
	if owned, ok := c.ownerOf(owner); ok {
		delete(owned.residence[owner], backend)
	}
}

func (c *Core) observeLoad(now time.Time, load schedule.Load) {
	c.config.Policy.ObserveLoad(now, load)
}

// unchangedLoad is how often a load report is spread that says the same as the
// one before.
const unchangedLoad = 4 * time.Second

// report keeps a load report to be spread, unless it says nothing new.
func (a *attendedBackend) report(now time.Time, load schedule.Load) {
	same := a.spread
	same.At = load.At
	if same == load && now.Before(a.spread.At.Add(unchangedLoad)) {
		return
	}
	a.spread = load
	a.unspread = true
}

// spreadLoads sends the load reports of one period, in one message, to a few
// random peers. Nodes learn the loads of the back ends that they use from
// those back ends' answers; this keeps the others from going stale, at a cost
// that does not grow with the fleet.
func (c *Core) spreadLoads() {
	var loads []schedule.Load
	for _, id := range c.attendant.order {
		attended := c.attendant.attended[id]
		if attended.unspread {
			attended.unspread = false
			loads = append(loads, attended.spread)
		}
	}
	if len(loads) == 0 {
		return
	}
	for _, peer := range c.randomPeers(c.config.LoadFanout) {
		c.sendTo(peer, link.Message{Load: &link.LoadMessage{Loads: loads}})
	}
}

func (c *Core) randomPeers(count int) []machine.ID {
	var peers []machine.ID
	for _, node := range c.nodes {
		if node.ID != c.config.Self.ID {
			peers = append(peers, node.ID)
		}
	}
	c.config.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// stepPrefixesListed begins a sweep: it asks the owners of the listed programs
// which of them are gone. Programs of partitions on this node are answered
// here.
func (c *Core) stepPrefixesListed(now time.Time, event PrefixesListed) {
	if event.Err != nil {
		return
	}
	questions := make(map[machine.ID][]api.ProgramID)
	for _, prefix := range event.Prefixes {
		id, err := partition.OfProgram(prefix.Owner)
		if err != nil {
			continue
		}
		if c.branchGone(now, id) {
			c.releaseAt(prefix.Owner, event.Backend)
			continue
		}
		if owner, ok := c.Owner(id); ok {
			questions[owner] = append(questions[owner], prefix.Owner)
		}
	}
	for _, owner := range sortedMachines(questions) {
		sweep := link.SweepMessage{Backend: event.Backend, Queried: questions[owner]}
		if owner == c.config.Self.ID {
			c.releaseGone(event.Backend, c.gone(event.Backend, sweep.Queried))
			continue
		}
		c.sendTo(owner, link.Message{Sweep: &sweep})
	}
}

// stepSweep answers a sweep's question, or releases what an owner says is gone.
func (c *Core) stepSweep(_ time.Time, from machine.ID, sweep link.SweepMessage) {
	if len(sweep.Queried) > 0 {
		if gone := c.gone(sweep.Backend, sweep.Queried); len(gone) > 0 {
			c.sendTo(from, link.Message{Sweep: &link.SweepMessage{Backend: sweep.Backend, Gone: gone}})
		}
	}
	c.releaseGone(sweep.Backend, sweep.Gone)
}

// branchGone reports whether the branch that a partition belongs to was
// removed: nobody owns the partition any more, and no program of it may run.
func (c *Core) branchGone(now time.Time, id partition.ID) bool {
	return c.follower.Freshness(now).MayPlace && c.placement(id) == ""
}

// gone returns the programs that this node is sure to have nothing to keep at
// the back end: it owns their partitions, and they have ended, never were, or
// may no longer have data in the back end's zone. A program's creation is
// durable before its first call, so that no live program can be missing.
func (c *Core) gone(backendID machine.ID, ids []api.ProgramID) []api.ProgramID {
	backend, known := c.attendant.backend(backendID)
	var gone []api.ProgramID
	for _, id := range ids {
		owned, ok := c.ownerOf(id)
		if !ok {
			continue
		}
		terms, _ := owned.store.Terms(id)
		if !owned.store.Live(id) || known && !terms.Placement.Contains(backend.Zone) {
			gone = append(gone, id)
		}
	}
	return gone
}

func (c *Core) releaseGone(backend machine.ID, gone []api.ProgramID) {
	for _, id := range gone {
		c.releaseAt(id, backend)
	}
}
