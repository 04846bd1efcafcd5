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

// backendManager looks after the back ends that fall to this node: each back end
// has one node that asks for its load and sweeps its memory.
type backendManager struct {
	config    Config
	backends  map[machine.ID]machine.Machine
	managed   map[machine.ID]*managedBackend
	sortedIDs []machine.ID
	nextLoad  time.Time
}

// managedBackend is what this node keeps of one back end that it attends.
type managedBackend struct {
	// lastEvent is the sequence of the newest cache event that was read.
	lastEvent uint64
	nextSweep time.Time
	// queryOutstanding is set while a query has not been answered.
	queryOutstanding bool
	// lastReport is the newest load report that peers get or got; unspread is set
	// while it has not been sent.
	lastReport    schedule.Load
	reportPending bool
}

func newBackendManager(config Config) backendManager {
	return backendManager{
		config:   config,
		backends: make(map[machine.ID]machine.Machine),
		managed:  make(map[machine.ID]*managedBackend),
	}
}

// backend returns a back end that the machine list has shown.
func (a *backendManager) backend(id machine.ID) (machine.Machine, bool) {
	backend, ok := a.backends[id]
	return backend, ok
}

// setMachines works out anew which back ends this node attends. An entry that
// the list no longer shows is kept for look-ups, so that a call sent to it can
// still be asked about.
func (a *backendManager) setMachines(now time.Time, nodes, backends []machine.Machine) {
	a.sortedIDs = a.sortedIDs[:0]
	for _, backend := range backends {
		a.backends[backend.ID] = backend
		if managerOf(backend, nodes) != a.config.Self.ID {
			delete(a.managed, backend.ID)
			continue
		}
		a.sortedIDs = append(a.sortedIDs, backend.ID)
		if a.managed[backend.ID] == nil {
			a.managed[backend.ID] = &managedBackend{nextSweep: now.Add(a.config.SweepPeriod)}
		}
	}
	slices.Sort(a.sortedIDs)
}

// managerOf picks the node that attends a back end: one of the same zone if
// there is any, by rendezvous hash. It runs for every back end whenever a node
// comes or goes.
func managerOf(backend machine.Machine, nodes []machine.Machine) machine.ID {
	sameZone := slices.ContainsFunc(nodes, func(node machine.Machine) bool {
		return node.Zone == backend.Zone && node.Status != machine.StatusLeaving
	})
	var best machine.ID
	var bestScore uint64
	for i := range nodes {
		node := &nodes[i]
		if node.Status == machine.StatusLeaving || sameZone && node.Zone != backend.Zone {
			continue
		}
		if score := managerScore(backend.ID, node.ID); best == "" || score > bestScore {
			best, bestScore = node.ID, score
		}
	}
	return best
}

// managerScore ranks a node for a back end. It does not allocate for names
// of the usual length.
func managerScore(backend, node machine.ID) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], backend...)
	text = append(text, 0)
	return xxhash.Sum64(append(text, node...))
}

func (a *backendManager) nextWake() time.Time {
	wake := a.nextLoad
	for id, managed := range a.managed {
		if a.backends[id].Kind == machine.KindEngine {
			earliest(&wake, managed.nextSweep)
		}
	}
	return wake
}

// released notes the answer to a release. One that failed is left to the next
// sweep, which sees the prefix again.
func (a *backendManager) released(PrefixReleased) {}

// tickBackends asks the attended back ends for load and prefixes when due.
func (c *Core) tickBackends(now time.Time) {
	queryLoad := !now.Before(c.backendManager.nextLoad)
	if queryLoad {
		c.backendManager.nextLoad = now.Add(c.config.LoadPeriod)
		c.shareLoads()
	}
	for _, id := range c.backendManager.sortedIDs {
		managed := c.backendManager.managed[id]
		backend := c.backendManager.backends[id]
		if queryLoad && !managed.queryOutstanding {
			managed.queryOutstanding = true
			c.emit(QueryBackend{Backend: backend, AfterEvent: managed.lastEvent})
		}
		if backend.Kind == machine.KindEngine && !now.Before(managed.nextSweep) {
			managed.nextSweep = now.Add(c.config.SweepPeriod)
			c.emit(ListPrefixes{Backend: backend})
		}
	}
}

// stepBackendObserved takes a back end's load and cache events, and passes
// the load on to a few random peers.
func (c *Core) stepBackendObserved(now time.Time, event BackendObserved) {
	managed, ok := c.backendManager.managed[event.Backend]
	if !ok {
		return
	}
	managed.queryOutstanding = false
	if event.Err != nil {
		return
	}
	if event.Load != nil {
		load := *event.Load
		load.At = now
		c.observeLoad(now, load)
		managed.queueReport(now, load)
	}
	c.stepCacheEvents(now, event.Backend, managed, event.Events)
}

// stepCacheEvents forgets the prefixes that an engine evicted. After a gap in
// the events the next sweep is due at once: it lists what is really there.
func (c *Core) stepCacheEvents(now time.Time, backend machine.ID, managed *managedBackend, events []engine.CacheEvent) {
	for _, event := range events {
		if managed.lastEvent != 0 && event.Sequence > managed.lastEvent+1 {
			managed.nextSweep = now
		}
		managed.lastEvent = max(managed.lastEvent, event.Sequence)
		if event.Evicted {
			c.evicted(now, event.Owner, backend)
		}
	}
}

// evicted notes that an engine no longer holds a program's prefix.
func (c *Core) evicted(now time.Time, owner api.ProgramID, backend machine.ID) {
	c.config.Policy.Evicted(now, owner, backend)
	if owned, ok := c.ownerOf(owner); ok {
		delete(owned.prefixEngines[owner], backend)
	}
}

func (c *Core) observeLoad(now time.Time, load schedule.Load) {
	c.config.Policy.ObserveLoad(now, load)
}

// unchangedLoadPeriod is how often a load report is spread that says the same as the
// one before.
const unchangedLoadPeriod = 4 * time.Second

// queueReport keeps a load queueReport to be spread, unless it says nothing new.
func (a *managedBackend) queueReport(now time.Time, load schedule.Load) {
	same := a.lastReport
	same.At = load.At
	if same == load && now.Before(a.lastReport.At.Add(unchangedLoadPeriod)) {
		return
	}
	a.lastReport = load
	a.reportPending = true
}

// shareLoads sends the load reports of one period, in one message, to a few
// random peers. Nodes learn the loads of the back ends that they use from
// those back ends' answers; this keeps the others from going stale, at a cost
// that does not grow with the fleet.
func (c *Core) shareLoads() {
	var loads []schedule.Load
	for _, id := range c.backendManager.sortedIDs {
		managed := c.backendManager.managed[id]
		if managed.reportPending {
			managed.reportPending = false
			loads = append(loads, managed.lastReport)
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
		if c.branchRemoved(now, id) {
			c.releaseAt(prefix.Owner, event.Backend)
			continue
		}
		if owner, ok := c.Owner(id); ok {
			questions[owner] = append(questions[owner], prefix.Owner)
		}
	}
	for _, owner := range sortedMachines(questions) {
		sweep := link.SweepMessage{Backend: event.Backend, Question: questions[owner]}
		if owner == c.config.Self.ID {
			c.releaseAll(event.Backend, c.releasable(event.Backend, sweep.Question))
			continue
		}
		c.sendTo(owner, link.Message{Sweep: &sweep})
	}
}

// stepSweep answers a sweep's question, or releases what an owner says is gone.
func (c *Core) stepSweep(_ time.Time, from machine.ID, sweep link.SweepMessage) {
	if len(sweep.Question) > 0 {
		if releasable := c.releasable(sweep.Backend, sweep.Question); len(releasable) > 0 {
			c.sendTo(from, link.Message{Sweep: &link.SweepMessage{Backend: sweep.Backend, Gone: releasable}})
		}
	}
	c.releaseAll(sweep.Backend, sweep.Gone)
}

// branchRemoved reports whether the branch that a partition belongs to was
// removed: nobody owns the partition any more, and no program of it may run.
func (c *Core) branchRemoved(now time.Time, id partition.ID) bool {
	return c.follower.Freshness(now).MayPlace && c.placement(id) == ""
}

// releasable returns the programs that this node is sure to have nothing to keep at
// the back end: it owns their partitions, and they have ended, never were, or
// may no longer have data in the back end's zone. A program's creation is
// durable before its first call, so that no live program can be missing.
func (c *Core) releasable(backendID machine.ID, ids []api.ProgramID) []api.ProgramID {
	backend, known := c.backendManager.backend(backendID)
	var releasable []api.ProgramID
	for _, id := range ids {
		owned, ok := c.ownerOf(id)
		if !ok {
			continue
		}
		terms, _ := owned.store.Terms(id)
		if !owned.store.Live(id) || known && !terms.Placement.Contains(backend.Zone) {
			releasable = append(releasable, id)
		}
	}
	return releasable
}

func (c *Core) releaseAll(backend machine.ID, gone []api.ProgramID) {
	for _, id := range gone {
		c.releaseAt(id, backend)
	}
}
