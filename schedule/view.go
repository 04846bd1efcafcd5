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
	// order is every back end, by id.
	order []*backend
	// pools index the live back ends by what they serve and where, so that a
	// decision touches only those that can serve it.
	pools map[poolKey][]*backend
	// scratch is reused from search to search.
	scratch [][]*backend
	// inFlight are this node's placed calls that have not ended.
	inFlight map[program.CallRef]flight
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
	// own counts this node's calls in flight there.
	own int
	// sent are the own calls in flight that the report cannot count yet.
	sent []stamp
	// ended are the own calls that ended since the report counted them.
	ended []stamp
	// released are the prefixes that were dropped there since the report.
	released []stamp
}

// stamp is one placed or ended call, or one released prefix.
type stamp struct {
	call program.CallRef
	at   time.Time
	// tokens is the prefill that a placed call brings; memory is what it adds
	// to the cache, or what a release frees.
	tokens int
	memory int
}

// flight is one placed call.
type flight struct {
	backend machine.ID
	placed  time.Time
	request Request
	// missing is the prefill that the placement expected; peers the sequences
	// beside it.
	missing int
	peers   int
	// memory is what the call adds to the engine's cache, in tokens.
	memory int
}

func newView(staleLoad time.Duration) *view {
	return &view{
		staleLoad: staleLoad,
		byID:      map[machine.ID]*backend{},
		pools:     map[poolKey][]*backend{},
		inFlight:  map[program.CallRef]flight{},
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
	v.index()
	return lost
}

// index rebuilds the order by id, and the pools from the live back ends.
func (v *view) index() {
	v.revision++
	clear(v.pools)
	v.order = v.order[:0]
	for _, entry := range v.byID {
		v.order = append(v.order, entry)
	}
	slices.SortFunc(v.order, func(a, b *backend) int {
		return strings.Compare(string(a.machine.ID), string(b.machine.ID))
	})
	v.assignShards()
	for _, entry := range v.order {
		if entry.machine.Status != machine.StatusLive {
			continue
		}
		for _, model := range entry.machine.Models {
			v.join(poolKey{api.CallModel, model, entry.machine.Zone}, entry)
		}
		for _, tool := range entry.machine.Tools {
			v.join(poolKey{api.CallTool, tool, entry.machine.Zone}, entry)
		}
	}
}

// assignShards deals the back ends into equal shards, in an order that has
// nothing to do with zones or models.
func (v *view) assignShards() {
	dealt := slices.Clone(v.order)
	slices.SortFunc(dealt, func(a, b *backend) int {
		return cmp.Compare(xxhash.Sum64String(string(a.machine.ID)), xxhash.Sum64String(string(b.machine.ID)))
	})
	for i, entry := range dealt {
		entry.shard = i % shardCount
	}
}

// shardCount is the number of shards; a tenant that floods leaves one of them to
// the others.
const shardCount = 4

func (v *view) join(key poolKey, entry *backend) {
	v.pools[key] = append(v.pools[key], entry)
}

// observe takes a load report unless a later one is known.
func (v *view) observe(load Load) {
	entry := v.byID[load.Backend]
	if entry == nil || load.At.Before(entry.load.At) {
		return
	}
	entry.load = load
	counted := func(s stamp) bool { return !s.at.After(load.At) }
	entry.sent = slices.DeleteFunc(entry.sent, counted)
	entry.ended = slices.DeleteFunc(entry.ended, counted)
	entry.released = slices.DeleteFunc(entry.released, counted)
}

// place counts a call that is sent to a back end.
func (v *view) place(now time.Time, entry *backend, sent flight) {
	sent.backend = entry.machine.ID
	sent.placed = now
	v.inFlight[sent.request.Call] = sent
	entry.own++
	entry.sent = append(entry.sent, stamp{call: sent.request.Call, at: now, tokens: sent.missing, memory: sent.memory})
}

// finish counts a call that ended, and returns its placement.
func (v *view) finish(now time.Time, call program.CallRef) (flight, bool) {
	sent, ok := v.inFlight[call]
	if !ok {
		return flight{}, false
	}
	delete(v.inFlight, call)
	entry := v.byID[sent.backend]
	if entry == nil {
		return sent, true
	}
	entry.own = max(entry.own-1, 0)
	position := slices.IndexFunc(entry.sent, func(s stamp) bool { return s.call == call })
	if position >= 0 {
		entry.sent = slices.Delete(entry.sent, position, position+1)
		return sent, true
	}
	if entry.fresh(now, v.staleLoad) {
		entry.ended = append(entry.ended, stamp{call: call, at: now})
	} else {
		entry.ended = entry.ended[:0]
	}
	return sent, true
}

// fresh reports whether the last load report still says anything.
func (b *backend) fresh(now time.Time, staleLoad time.Duration) bool {
	return !b.load.At.IsZero() && now.Sub(b.load.At) < staleLoad
}

// outstanding estimates the sequences at the back end: what it reported, with
// this node's calls since then, and never less than this node's own.
func (b *backend) outstanding(now time.Time, staleLoad time.Duration) int {
	if !b.fresh(now, staleLoad) {
		return b.own
	}
	estimate := b.load.Running + b.load.Queued + len(b.sent) - len(b.ended)
	return max(estimate, b.own)
}

// queuedTokens estimates the prefill that waits at the back end.
func (b *backend) queuedTokens(now time.Time, staleLoad time.Duration) int {
	total := 0
	if b.fresh(now, staleLoad) {
		total = b.load.QueuedTokens
	}
	for _, sent := range b.sent {
		total += sent.tokens
	}
	return total
}

// memory estimates the tokens that the back end's cache holds: what it
// reported, what this node's calls have added since, less what was released.
func (b *backend) memory(now time.Time, staleLoad time.Duration) int {
	total := 0
	if b.fresh(now, staleLoad) {
		total = b.load.CachedTokens
	}
	for _, sent := range b.sent {
		total += sent.memory
	}
	for _, dropped := range b.released {
		total -= dropped.memory
	}
	return max(total, 0)
}

// release notes that a prefix was dropped at a back end.
func (v *view) release(now time.Time, id machine.ID, tokens int) {
	entry := v.byID[id]
	if entry == nil || !entry.fresh(now, v.staleLoad) {
		return
	}
	entry.released = append(entry.released, stamp{at: now, memory: tokens})
}
