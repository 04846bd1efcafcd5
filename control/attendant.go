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

// backendManager tracks the back ends that this node manages. Each back end is
// managed by one node, which queries its load and searches its cache for
// orphaned prefixes.
type backendManager struct {
	config    Config
	backends  map[machine.ID]machine.Machine
	managed   map[machine.ID]*managedBackend
	sortedIDs []machine.ID
	nextLoad  time.Time
}

// managedBackend is the state of one back end that this node manages.
type managedBackend struct {
	// lastEvent is the sequence of the newest cache event that was read.
	lastEvent uint64
	nextSweep time.Time
	// queryOutstanding is set while a query has not been answered.
	queryOutstanding bool
	// lastReport is the newest load report for peers. reportPending is set
	// until it has been sent.
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

// backend returns a back end that the machine list has shown at any time.
func (m *backendManager) backend(id machine.ID) (machine.Machine, bool) {
	backend, ok := m.backends[id]
	return backend, ok
}

// setMachines recomputes which back ends this node manages. Back ends that have
// left the list stay available through backend, so that tool services can still
// be queried about calls that were sent to them.
func (m *backendManager) setMachines(now time.Time, nodes, backends []machine.Machine) {
	m.sortedIDs = m.sortedIDs[:0]
	for _, backend := range backends {
		m.backends[backend.ID] = backend
		if managerOf(backend, nodes) != m.config.Self.ID {
			delete(m.managed, backend.ID)
			continue
		}
		m.sortedIDs = append(m.sortedIDs, backend.ID)
		if m.managed[backend.ID] == nil {
			m.managed[backend.ID] = &managedBackend{nextSweep: now.Add(m.config.SweepPeriod)}
		}
	}
	slices.Sort(m.sortedIDs)
}

// managerOf returns the node that manages a back end, by rendezvous hash: one
// in the same zone if there is any. It runs for every back end whenever a node
// joins or leaves.
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

// managerScore returns the score that ranks a node for a back end. It does not
// allocate for names of typical length.
func managerScore(backend, node machine.ID) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], backend...)
	text = append(text, 0)
	return xxhash.Sum64(append(text, node...))
}

func (m *backendManager) nextWake() time.Time {
	wake := m.nextLoad
	for id, managed := range m.managed {
		if m.backends[id].Kind == machine.KindEngine {
			earliest(&wake, managed.nextSweep)
		}
	}
	return wake
}

// released handles the answer to a release. Nothing is done after a failure:
// the next sweep finds the prefix again.
func (m *backendManager) released(PrefixReleased) {}

// tickBackends queries the managed back ends for their load and prefixes when
// due.
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

// stepBackendObserved processes a back end's load and cache events, and queues
// the load for a few random peers.
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

// stepCacheEvents processes an engine's evictions. After a gap in the events
// the next sweep is due at once, because it lists the prefixes that the engine
// actually holds.
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

// evicted records that an engine no longer holds a program's prefix.
func (c *Core) evicted(now time.Time, owner api.ProgramID, backend machine.ID) {
	c.config.Policy.Evicted(now, owner, backend)
	if owned, ok := c.ownerOf(owner); ok {
		delete(owned.prefixEngines[owner], backend)
	}
}

func (c *Core) observeLoad(now time.Time, load schedule.Load) {
	c.config.Policy.ObserveLoad(now, load)
}

// unchangedLoadPeriod is the shortest time between two shared load reports with
// equal content.
const unchangedLoadPeriod = 4 * time.Second

// queueReport queues a load report for peers, unless it equals the last one and
// unchangedLoadPeriod has not passed.
func (b *managedBackend) queueReport(now time.Time, load schedule.Load) {
	same := b.lastReport
	same.At = load.At
	if same == load && now.Before(b.lastReport.At.Add(unchangedLoadPeriod)) {
		return
	}
	b.lastReport = load
	b.reportPending = true
}

// shareLoads sends the load reports of one period to a few random peers, in one
// message. Nodes get the loads of the back ends that they use from those back
// ends' answers. These messages keep the loads on the other nodes from becoming
// stale, at a cost that does not grow with the fleet.
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

// stepPrefixesListed begins a sweep: it queries the owners of the listed
// programs for the prefixes that may be released. Prefixes of this node's own partitions
// are checked directly.
func (c *Core) stepPrefixesListed(now time.Time, event PrefixesListed) {
	if event.Err != nil {
		return
	}
	queries := make(map[machine.ID][]api.ProgramID)
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
			queries[owner] = append(queries[owner], prefix.Owner)
		}
	}
	for _, owner := range sortedMachines(queries) {
		sweep := link.SweepMessage{Backend: event.Backend, Queried: queries[owner]}
		if owner == c.config.Self.ID {
			c.releaseAll(event.Backend, c.releasable(event.Backend, sweep.Queried))
			continue
		}
		c.sendTo(owner, link.Message{Sweep: &sweep})
	}
}

// stepSweep answers a sweep's query, or releases the prefixes that an owner
// reported as no longer needed.
func (c *Core) stepSweep(_ time.Time, from machine.ID, sweep link.SweepMessage) {
	if len(sweep.Queried) > 0 {
		if releasable := c.releasable(sweep.Backend, sweep.Queried); len(releasable) > 0 {
			c.sendTo(from, link.Message{Sweep: &link.SweepMessage{Backend: sweep.Backend, Gone: releasable}})
		}
	}
	c.releaseAll(sweep.Backend, sweep.Gone)
}

// branchRemoved reports whether a partition's branch was removed from the
// settings. Then nobody owns the partition, and none of its programs may run.
func (c *Core) branchRemoved(now time.Time, id partition.ID) bool {
	return c.follower.Freshness(now).MayPlace && c.placement(id) == ""
}

// releasable returns the programs whose prefixes the back end need not keep:
// this node owns their partitions, and they have ended, never existed, or may
// no longer have data in the back end's zone. A program's creation is durable
// before its first call, so a live program is never mistaken for one that never
// existed.
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
