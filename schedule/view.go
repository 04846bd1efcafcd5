package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/zone"
)

// view is this node's state of the back ends: the machine list, the latest load
// report of each, and the node's own calls since that report.
type view struct {
	staleLoad time.Duration
	byID      map[machine.ID]*backend
	// sorted lists all back ends, by id.
	sorted []*backend
	// pools indexes the live back ends by model or tool and zone, so that a
	// decision reads only those that may serve the call.
	pools map[poolKey][]*backend
	// scratch is a buffer that feasible reuses.
	scratch [][]*backend
	// inFlight holds this node's placed calls that have not ended.
	inFlight map[program.CallRef]placedCall
	// revision is incremented whenever the list of back ends is replaced.
	revision uint64
}

// poolKey identifies the back ends of one zone that serve one model or tool.
type poolKey struct {
	kind api.CallKind
	name string
	zone zone.Name
}

// backend is this node's state of one back end.
type backend struct {
	machine machine.Machine
	// shard is the number of the back end's shard; see assignShards.
	shard int
	load  Load
	// ownInFlight is the number of this node's calls in flight at the back end.
	ownInFlight int
	// sent lists this node's calls in flight that were placed after the load
	// report, which therefore does not count them.
	sent []loadChange
	// ended lists this node's calls that the load report counts and that have
	// ended since.
	ended []loadChange
	// released lists the prefixes dropped from the cache since the load report.
	released []loadChange
}

// loadChange is a change of a back end's load since its report: a placed call,
// an ended call or a dropped prefix.
type loadChange struct {
	call program.CallRef
	at   time.Time
	// prefillTokens is the prefill of a placed call. cachedTokens is what the
	// call adds to the cache, or what dropping the prefix frees.
	prefillTokens int
	cachedTokens  int
}

// placedCall is a call in flight at a back end.
type placedCall struct {
	backend  machine.ID
	placedAt time.Time
	request  Request
	// missingTokens is the prefill expected at placement; peers is the expected
	// number of concurrent sequences.
	missingTokens int
	peers         int
	// cachedTokens is the number of tokens that the call adds to the cache.
	cachedTokens int
}

func newView(staleLoad time.Duration) *view {
	return &view{
		staleLoad: staleLoad,
		byID:      map[machine.ID]*backend{},
		pools:     map[poolKey][]*backend{},
		inFlight:  map[program.CallRef]placedCall{},
	}
}

// setBackends replaces the machine list. It returns the back ends that are no
// longer listed or have restarted, and whose caches are therefore lost.
func (v *view) setBackends(machines []machine.Machine) (lost []machine.ID) {
	listed := make(map[machine.ID]bool, len(machines))
	for _, entry := range machines {
		if entry.Kind == machine.KindNode {
			continue
		}
		listed[entry.ID] = true
		known := v.byID[entry.ID]
		if known == nil {
			v.byID[entry.ID] = &backend{machine: entry}
			continue
		}
		if known.machine.Incarnation != entry.Incarnation {
			lost = append(lost, entry.ID)
			known.load = Load{}
			known.ended = nil
			known.released = nil
		}
		known.machine = entry
	}
	for id := range v.byID {
		if !listed[id] {
			lost = append(lost, id)
			delete(v.byID, id)
		}
	}
	slices.Sort(lost)
	v.rebuildIndex()
	return lost
}

// rebuildIndex rebuilds sorted, the shards, and the pools of live back ends.
func (v *view) rebuildIndex() {
	v.revision++
	clear(v.pools)
	v.sorted = v.sorted[:0]
	for _, entry := range v.byID {
		v.sorted = append(v.sorted, entry)
	}
	slices.SortFunc(v.sorted, func(a, b *backend) int {
		return strings.Compare(string(a.machine.ID), string(b.machine.ID))
	})
	v.assignShards()
	for _, entry := range v.sorted {
		if entry.machine.Status != machine.StatusLive {
			continue
		}
		for _, model := range entry.machine.Models {
			v.addToPool(poolKey{api.CallModel, model, entry.machine.Zone}, entry)
		}
		for _, tool := range entry.machine.Tools {
			v.addToPool(poolKey{api.CallTool, tool, entry.machine.Zone}, entry)
		}
	}
}

// assignShards distributes the back ends over shards of equal size, in the
// order of a hash of their ids, which is independent of zones and models.
func (v *view) assignShards() {
	byHash := slices.Clone(v.sorted)
	slices.SortFunc(byHash, func(a, b *backend) int {
		return cmp.Compare(xxhash.Sum64String(string(a.machine.ID)), xxhash.Sum64String(string(b.machine.ID)))
	})
	for i, entry := range byHash {
		entry.shard = i % shardCount
	}
}

// shardCount is the number of shards. A flooding tenant starts no program in
// one of them.
const shardCount = 4

func (v *view) addToPool(key poolKey, entry *backend) {
	v.pools[key] = append(v.pools[key], entry)
}

// observeLoad stores a load report unless a later one is known, and discards
// the changes that the report already counts.
func (v *view) observeLoad(load Load) {
	entry := v.byID[load.Backend]
	if entry == nil || load.At.Before(entry.load.At) {
		return
	}
	entry.load = load
	inReport := func(s loadChange) bool { return !s.at.After(load.At) }
	entry.sent = slices.DeleteFunc(entry.sent, inReport)
	entry.ended = slices.DeleteFunc(entry.ended, inReport)
	entry.released = slices.DeleteFunc(entry.released, inReport)
}

// recordPlaced records a call that is placed on a back end.
func (v *view) recordPlaced(now time.Time, entry *backend, sent placedCall) {
	sent.backend = entry.machine.ID
	sent.placedAt = now
	v.inFlight[sent.request.Call] = sent
	entry.ownInFlight++
	entry.sent = append(entry.sent, loadChange{call: sent.request.Call, at: now, prefillTokens: sent.missingTokens, cachedTokens: sent.cachedTokens})
}

// recordEnded records the end of a call and returns the placed call, or false
// if the call is not in flight.
func (v *view) recordEnded(now time.Time, call program.CallRef) (placedCall, bool) {
	sent, ok := v.inFlight[call]
	if !ok {
		return placedCall{}, false
	}
	delete(v.inFlight, call)
	entry := v.byID[sent.backend]
	if entry == nil {
		return sent, true
	}
	entry.ownInFlight = max(entry.ownInFlight-1, 0)
	position := slices.IndexFunc(entry.sent, func(s loadChange) bool { return s.call == call })
	if position >= 0 {
		entry.sent = slices.Delete(entry.sent, position, position+1)
		return sent, true
	}
	if entry.hasFreshLoad(now, v.staleLoad) {
		entry.ended = append(entry.ended, loadChange{call: call, at: now})
	} else {
		entry.ended = entry.ended[:0]
	}
	return sent, true
}

// hasFreshLoad reports whether there is a load report that is not stale.
func (b *backend) hasFreshLoad(now time.Time, staleLoad time.Duration) bool {
	return !b.load.At.IsZero() && now.Sub(b.load.At) < staleLoad
}

// outstanding estimates the number of sequences at the back end: the reported
// ones, adjusted by this node's calls since the report, and at least this
// node's own calls in flight.
func (b *backend) outstanding(now time.Time, staleLoad time.Duration) int {
	if !b.hasFreshLoad(now, staleLoad) {
		return b.ownInFlight
	}
	estimate := b.load.Running + b.load.Queued + len(b.sent) - len(b.ended)
	return max(estimate, b.ownInFlight)
}

// queuedTokens estimates the number of prompt tokens that wait for prefill at
// the back end.
func (b *backend) queuedTokens(now time.Time, staleLoad time.Duration) int {
	total := 0
	if b.hasFreshLoad(now, staleLoad) {
		total = b.load.QueuedTokens
	}
	for _, sent := range b.sent {
		total += sent.prefillTokens
	}
	return total
}

// cachedTokens estimates the number of tokens in the back end's cache: the
// reported number, plus what this node's calls have added since, minus the
// prefixes dropped since.
func (b *backend) cachedTokens(now time.Time, staleLoad time.Duration) int {
	total := 0
	if b.hasFreshLoad(now, staleLoad) {
		total = b.load.CachedTokens
	}
	for _, sent := range b.sent {
		total += sent.cachedTokens
	}
	for _, dropped := range b.released {
		total -= dropped.cachedTokens
	}
	return max(total, 0)
}

// recordDropped records that a prefix of some tokens was dropped from a back
// end's cache.
func (v *view) recordDropped(now time.Time, id machine.ID, tokens int) {
	entry := v.byID[id]
	if entry == nil || !entry.hasFreshLoad(now, v.staleLoad) {
		return
	}
	entry.released = append(entry.released, loadChange{at: now, cachedTokens: tokens})
}
