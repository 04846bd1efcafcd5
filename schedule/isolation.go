package schedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
)

// One tenant's flood must not slow down the others. Fair queueing alone does
// not see to that: it orders the calls that wait, but what a tenant already
// holds, in cache and in running batches, stays taken. So a tenant that floods
// (it holds more than its share, and has a backlog of programs that wait to
// start) starts no program in one shard of the engines, and leaves a reserve
// of the cache elsewhere. Meanwhile a tenant that holds less than its share
// may fill the caches whole; what that evicts is, least recently used first,
// mostly the flood's.

// tenantUse is what a tenant's programs hold, as far as this node knows.
type tenantUse struct {
	tenant string
	// tokens is the cache that its prefixes take.
	tokens int
	// running counts its model calls in engines.
	running int
	// waiting counts its programs that wait to start.
	waiting int
	// seen is when it last made a call.
	seen time.Time
	// leaves is the shard that it leaves to others while it floods.
	leaves int
}

// tenants keeps the sums over the tenants that were seen lately.
type tenants struct {
	byName  map[string]*tenantUse
	tokens  int
	running int
	// backlogged are the tenants that have a backlog, in the order in which
	// they got it; heaviest is the largest part of the shares that one holds.
	backlogged []*tenantUse
	heaviest   float64
}

// backlog is how many programs of a tenant wait to start on one node when the
// tenant has a backlog.
const backlog = 8

// use returns a request's tenant.
func (t *tenants) use(request *Request) *tenantUse {
	known := t.byName[request.Tenant]
	if known == nil {
		known = &tenantUse{
			tenant: request.Tenant,
			leaves: int(xxhash.Sum64String(request.Tenant) % shardCount),
		}
		t.byName[request.Tenant] = known
	}
	return known
}

// forget drops the tenants that hold nothing and were not seen lately: they
// have no share any more.
func (t *tenants) forget(now time.Time) {
	for name, use := range t.byName {
		if use.tokens == 0 && use.running == 0 && use.waiting == 0 && now.Sub(use.seen) > tenantMemory {
			delete(t.byName, name)
		}
	}
}

// tenantMemory is how long a tenant has a share after its last call.
const tenantMemory = 10 * time.Minute

// hold adjusts the cache that a tenant's prefixes take.
func (t *tenants) hold(use *tenantUse, tokens int) {
	use.tokens += tokens
	t.tokens += tokens
}

// run adjusts the number of a tenant's calls in engines.
func (t *tenants) run(use *tenantUse, calls int) {
	use.running += calls
	t.running += calls
}

// wait adjusts the number of a tenant's programs that wait to start.
func (t *tenants) wait(use *tenantUse, programs int) {
	wasBacklogged := use.waiting >= backlog
	use.waiting += programs
	switch {
	case use.waiting >= backlog && !wasBacklogged:
		t.backlogged = append(t.backlogged, use)
	case use.waiting < backlog && wasBacklogged:
		t.backlogged = slices.DeleteFunc(t.backlogged, func(other *tenantUse) bool { return other == use })
	}
}

// part is how many fair shares a tenant holds, of what it uses most of: cache
// or running calls (dominant resource fairness).
func (t *tenants) part(use *tenantUse) float64 {
	cache := float64(use.tokens) / float64(max(t.tokens, 1))
	calls := float64(use.running) / float64(max(t.running, 1))
	return max(cache, calls) * float64(len(t.byName))
}

// compare finds the heaviest of the tenants that have a backlog.
func (t *tenants) compare() {
	t.heaviest = 0
	for _, use := range t.backlogged {
		t.heaviest = max(t.heaviest, t.part(use))
	}
}

// floods reports whether a tenant has a backlog though it holds more than its
// share, and not much less than the heaviest such tenant: those that wait
// because of a flood do not count as floods.
func (t *tenants) floods(use *tenantUse) bool {
	if use.waiting < backlog {
		return false
	}
	part := t.part(use)
	return part > 1 && part >= floodRatio*t.heaviest
}

// floodRatio is the part of the heaviest tenant's from which another floods
// as well.
const floodRatio = 0.5

// fits reports whether an engine has room for what a call adds to its cache.
// A call that continues a prefix there always fits: it brings little, and
// waiting would waste the prefix.
func (s *Scheduler) fits(now time.Time, call *heldCall, candidate *backend) bool {
	request := &call.request
	capacity := candidate.machine.CacheTokens
	if request.Kind != api.CallModel || capacity == 0 {
		return true
	}
	held := tokensAt(s.tracker.residents(request.Call.Program), candidate.machine.ID)
	if 2*held >= request.PromptTokens {
		return true
	}
	use := call.line.share.use
	floods := s.tenants.floods(use)
	if floods && candidate.shard == use.leaves {
		return false
	}
	added := request.PromptTokens - held + request.OutputCap
	small := float64(added) <= s.config.Cache.SmallShare*float64(capacity)
	limit := s.fill(floods, small) * float64(capacity)
	used := candidate.memory(now, s.config.StaleLoad)
	return used == 0 || float64(used+added) <= limit
}

// fill is the share of a cache that a call may fill: as a rule all but the
// reserve for prefixes that grow. A small call, or one that comes during
// another tenant's flood, may fill it whole.
func (s *Scheduler) fill(floods, small bool) float64 {
	switch {
	case floods:
		return s.config.Cache.FloodFill
	case small, s.tenants.heaviest > 1:
		return 1
	}
	return s.config.Cache.MemoryFill
}
