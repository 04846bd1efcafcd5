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

// view is what this node knows of the back ends: the machine list, their late
// load reports, and its own calls since each report.
type view struct {
	staleLoad time.Duration
	byID      map[machine.ID]*backend
	// sorted is every back end, by id.
	sorted []*backend
	// pools index the live back ends by what they serve and where, so that a
	// decision touches only those that can serve it.
	pools map[poolKey][]*backend
	// scratch is reused from search to search.
	scratch [][]*backend
	// inFlight are this node's placed calls that have not ended.
	inFlight map[program.CallRef]placedCall
	// revision grows when the set of back ends changes.
	revision uint64
}

// poolKey names the back ends of one zone that serve one model or tool.
type poolKey struct {
	kind api.CallKind
	name string
	zone zone.Name
}

// backend is one back end as this node sees it.
type backend struct {
	machine machine.Machine
	// shard is the group of engines that this one belongs to.
	shard int
	load  Load
	// ownInFlight counts this node's calls in flight there.
	ownInFlight int
	// sent are the own calls in flight that the report cannot count yet.
	sent []loadChange
	// ended are the own calls that ended since the report counted them.
	ended []loadChange
	// released are the prefixes that were dropped there since the report.
	released []loadChange
}

// loadChange is one placed or ended call, or one released prefix.
type loadChange struct {
	call program.CallRef
	at   time.Time
	// prefillTokens is the prefill that a placed call brings; memory is what it adds
	// to the cache, or what a release frees.
	prefillTokens int
	cachedTokens  int
}

// placedCall is one placed call.
type placedCall struct {
	backend  machine.ID
	placedAt time.Time
	request  Request
	// missingTokens is the prefill that the placement expected; peers the sequences
	// beside it.
	missingTokens int
	peers         int
	// cachedTokens is what the call adds to the engine's cache, in tokens.
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

// setBackends replaces the machine list. It returns the back ends that are
// gone or were started anew, whose caches are lost.
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

// rebuildIndex rebuilds the order by id, and the pools from the live back ends.
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

// assignShards deals the back ends into equal shards, in an order that has
// nothing to do with zones or models.
func (v *view) assignShards() {
	byHash := slices.Clone(v.sorted)
	slices.SortFunc(byHash, func(a, b *backend) int {
		return cmp.Compare(xxhash.Sum64String(string(a.machine.ID)), xxhash.Sum64String(string(b.machine.ID)))
	})
	for i, entry := range byHash {
		entry.shard = i % shardCount
	}
}

// shardCount is the number of shards; a tenant that floods leaves one of them to
// the others.
const shardCount = 4

func (v *view) addToPool(key poolKey, entry *backend) {
	v.pools[key] = append(v.pools[key], entry)
}

// observeLoad takes a load report unless a later one is known.
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

// recordPlaced counts a call that is sent to a back end.
func (v *view) recordPlaced(now time.Time, entry *backend, sent placedCall) {
	sent.backend = entry.machine.ID
	sent.placedAt = now
	v.inFlight[sent.request.Call] = sent
	entry.ownInFlight++
	entry.sent = append(entry.sent, loadChange{call: sent.request.Call, at: now, prefillTokens: sent.missingTokens, cachedTokens: sent.cachedTokens})
}

// recordEnded counts a call that ended, and returns its placement.
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

// hasFreshLoad reports whether the last load report still says anything.
func (b *backend) hasFreshLoad(now time.Time, staleLoad time.Duration) bool {
	return !b.load.At.IsZero() && now.Sub(b.load.At) < staleLoad
}

// outstanding estimates the sequences at the back end: what it reported, with
// this node's calls since then, and never less than this node's own.
func (b *backend) outstanding(now time.Time, staleLoad time.Duration) int {
	if !b.hasFreshLoad(now, staleLoad) {
		return b.ownInFlight
	}
	estimate := b.load.Running + b.load.Queued + len(b.sent) - len(b.ended)
	return max(estimate, b.ownInFlight)
}

// queuedTokens estimates the prefill that waits at the back end.
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

// cachedTokens estimates the tokens that the back end's cache holds: what it
// reported, what this node's calls have added since, less what was released.
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

// recordDropped notes that a prefix was dropped at a back end.
func (v *view) recordDropped(now time.Time, id machine.ID, tokens int) {
	entry := v.byID[id]
	if entry == nil || !entry.hasFreshLoad(now, v.staleLoad) {
		return
	}
	entry.released = append(entry.released, loadChange{at: now, cachedTokens: tokens})
}
