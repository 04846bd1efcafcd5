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

// tenantUsage is what a tenant's programs hold, as far as this node knows.
type tenantUsage struct {
	tenant string
	// cachedTokens is the cache that its prefixes take.
	cachedTokens int
	// runningCalls counts its model calls in engines.
	runningCalls int
	// unstartedPrograms counts its programs that wait to start.
	unstartedPrograms int
	// lastCall is when it last made a call.
	lastCall time.Time
	// reservedShard is the shard that it leaves to others while it floods.
	reservedShard int
}

// tenants keeps the sums over the tenants that were seen lately.
type tenants struct {
	byName       map[string]*tenantUsage
	cachedTokens int
	runningCalls int
	// backlogged are the tenants that have a backlog, in the order in which
	// they got it; heaviest is the largest part of the shares that one holds.
	backlogged   []*tenantUsage
	largestShare float64
}

// backlogThreshold is how many programs of a tenant wait to start on one node when the
// tenant has a backlog.
const backlogThreshold = 8

// usage returns a request's tenant.
func (t *tenants) usage(request *Request) *tenantUsage {
	known := t.byName[request.Tenant]
	if known == nil {
		known = &tenantUsage{
			tenant:        request.Tenant,
			reservedShard: int(xxhash.Sum64String(request.Tenant) % shardCount),
		}
		t.byName[request.Tenant] = known
	}
	return known
}

// removeIdle drops the tenants that hold nothing and were not seen lately: they
// have no share any more.
func (t *tenants) removeIdle(now time.Time) {
	for name, usage := range t.byName {
		if usage.cachedTokens == 0 && usage.runningCalls == 0 && usage.unstartedPrograms == 0 && now.Sub(usage.lastCall) > tenantIdleTimeout {
			delete(t.byName, name)
		}
	}
}

// tenantIdleTimeout is how long a tenant has a share after its last call.
const tenantIdleTimeout = 10 * time.Minute

// addCachedTokens adjusts the cache that a tenant's prefixes take.
func (t *tenants) addCachedTokens(usage *tenantUsage, cachedTokens int) {
	usage.cachedTokens += cachedTokens
	t.cachedTokens += cachedTokens
}

// addRunningCalls adjusts the number of a tenant's calls in engines.
func (t *tenants) addRunningCalls(usage *tenantUsage, calls int) {
	usage.runningCalls += calls
	t.runningCalls += calls
}

// addUnstarted adjusts the number of a tenant's programs that wait to start.
func (t *tenants) addUnstarted(usage *tenantUsage, programs int) {
	wasBacklogged := usage.unstartedPrograms >= backlogThreshold
	usage.unstartedPrograms += programs
	switch {
	case usage.unstartedPrograms >= backlogThreshold && !wasBacklogged:
		t.backlogged = append(t.backlogged, usage)
	case usage.unstartedPrograms < backlogThreshold && wasBacklogged:
		t.backlogged = slices.DeleteFunc(t.backlogged, func(other *tenantUsage) bool { return other == usage })
	}
}

// dominantShare is how many fair shares a tenant holds, of what it uses most of: cache
// or running calls (dominant resource fairness).
func (t *tenants) dominantShare(usage *tenantUsage) float64 {
	cache := float64(usage.cachedTokens) / float64(max(t.cachedTokens, 1))
	calls := float64(usage.runningCalls) / float64(max(t.runningCalls, 1))
	return max(cache, calls) * float64(len(t.byName))
}

// updateLargestShare finds the heaviest of the tenants that have a backlog.
func (t *tenants) updateLargestShare() {
	t.largestShare = 0
	for _, usage := range t.backlogged {
		t.largestShare = max(t.largestShare, t.dominantShare(usage))
	}
}

// isFlooding reports whether a tenant has a backlog though it holds more than its
// share, and not much less than the heaviest such tenant: those that wait
// because of a flood do not count as floods.
func (t *tenants) isFlooding(usage *tenantUsage) bool {
	if usage.unstartedPrograms < backlogThreshold {
		return false
	}
	dominantShare := t.dominantShare(usage)
	return dominantShare > 1 && dominantShare >= floodingShareRatio*t.largestShare
}

// floodingShareRatio is the part of the heaviest tenant's from which another floods
// as well.
const floodingShareRatio = 0.5

// fitsCache reports whether an engine has room for what a call adds to its cache.
// A call that continues a prefix there always fits: it brings little, and
// waiting would waste the prefix.
func (s *Scheduler) fitsCache(now time.Time, call *heldCall, candidate *backend) bool {
	request := &call.request
	capacity := candidate.machine.CacheTokens
	if request.Kind != api.CallModel || capacity == 0 {
		return true
	}
	heldTokens := tokensAt(s.tracker.prefixes(request.Call.Program), candidate.machine.ID)
	if 2*heldTokens >= request.PromptTokens {
		return true
	}
	usage := call.subqueue.share.usage
	isFlooding := s.tenants.isFlooding(usage)
	if isFlooding && candidate.shard == usage.reservedShard {
		return false
	}
	added := request.PromptTokens - heldTokens + request.OutputCap
	small := float64(added) <= s.config.Cache.SmallShare*float64(capacity)
	limit := s.cacheFillLimit(isFlooding, small) * float64(capacity)
	used := candidate.cachedTokens(now, s.config.StaleLoad)
	return used == 0 || float64(used+added) <= limit
}

// cacheFillLimit is the share of a cache that a call may fill: as a rule all but the
// reserve for prefixes that grow. A small call, or one that comes during
// another tenant's flood, may fill it whole.
func (s *Scheduler) cacheFillLimit(flooding, small bool) float64 {
	switch {
	case flooding:
		return s.config.Cache.FloodFill
	case small, s.tenants.largestShare > 1:
		return 1
	}
	return s.config.Cache.MemoryFill
}
