package schedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
)

// A tenant that floods the system must not slow down the others. Fair queueing
// alone does not ensure that: it orders the waiting calls, but does not free
// the cache and batch slots that a tenant already uses. A tenant is flooding if
// it uses more than its fair share and has a backlog of unstarted programs. It
// then starts no program in one shard of the engines and leaves part of the
// slots and the cache of the other engines free. Meanwhile tenants that are not
// flooding may fill the caches completely: engines evict the least recently
// used prefixes, which are mostly those of the flooding tenant.

// tenantUsage is the resource usage of a tenant's programs, as observed by this
// node.
type tenantUsage struct {
	tenant string
	// cachedTokens is the number of tokens in its prefixes.
	cachedTokens int
	// runningCalls is the number of its model calls in engines.
	runningCalls int
	// unstartedPrograms is the number of its programs that wait to start.
	unstartedPrograms int
	// lastCall is when its last call was enqueued.
	lastCall time.Time
	// reservedShard is the shard in which it starts no programs while it is
	// flooding.
	reservedShard int
}

// tenants holds the usage of the recently active tenants, and its sums.
type tenants struct {
	byName       map[string]*tenantUsage
	cachedTokens int
	runningCalls int
	// backlogged lists the tenants that have a backlog, in the order in which
	// they reached it. largestShare is the largest dominant share among them.
	backlogged   []*tenantUsage
	largestShare float64
}

// backlogThreshold is the number of unstarted programs on one node from which a
// tenant has a backlog.
const backlogThreshold = 8

// usage returns the usage of a request's tenant.
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

// removeIdle removes the tenants that use nothing and have made no call within
// tenantIdleTimeout. They no longer count when fair shares are computed.
func (t *tenants) removeIdle(now time.Time) {
	for name, usage := range t.byName {
		if usage.cachedTokens == 0 && usage.runningCalls == 0 && usage.unstartedPrograms == 0 && now.Sub(usage.lastCall) > tenantIdleTimeout {
			delete(t.byName, name)
		}
	}
}

// tenantIdleTimeout is how long a tenant that uses nothing counts as active
// after its last call.
const tenantIdleTimeout = 10 * time.Minute

// addCachedTokens adjusts the number of tokens in a tenant's prefixes.
func (t *tenants) addCachedTokens(usage *tenantUsage, cachedTokens int) {
	usage.cachedTokens += cachedTokens
	t.cachedTokens += cachedTokens
}

// addRunningCalls adjusts the number of a tenant's model calls in engines.
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

// dominantShare returns the tenant's share of the cache or of the running calls,
// whichever is larger, in multiples of the fair share (dominant resource
// fairness).
func (t *tenants) dominantShare(usage *tenantUsage) float64 {
	cache := float64(usage.cachedTokens) / float64(max(t.cachedTokens, 1))
	calls := float64(usage.runningCalls) / float64(max(t.runningCalls, 1))
	return max(cache, calls) * float64(len(t.byName))
}

// updateLargestShare recomputes the largest dominant share of the tenants that
// have a backlog.
func (t *tenants) updateLargestShare() {
	t.largestShare = 0
	for _, usage := range t.backlogged {
		t.largestShare = max(t.largestShare, t.dominantShare(usage))
	}
}

// isFlooding reports whether a tenant has a backlog and uses more than its fair
// share. Its share must also be at least floodingShareRatio of the largest such
// share, so that tenants that wait because of another one's flood do not count
// as flooding themselves.
func (t *tenants) isFlooding(usage *tenantUsage) bool {
	if usage.unstartedPrograms < backlogThreshold {
		return false
	}
	dominantShare := t.dominantShare(usage)
	return dominantShare > 1 && dominantShare >= floodingShareRatio*t.largestShare
}

// floodingShareRatio is the fraction of the largest dominant share from which
// another backlogged tenant counts as flooding too.
const floodingShareRatio = 0.5

// fitsCache reports whether an engine's cache has room for what a call adds to
// it. A call always fits if at least half of its prompt is cached there: it
// adds little, and waiting would waste the prefix.
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

// cacheFillLimit returns the share of a cache that a call may fill. Normally
// that leaves the reserve for prefixes that grow. A small call, or any call
// while another tenant is flooding, may fill the cache completely.
func (s *Scheduler) cacheFillLimit(flooding, small bool) float64 {
	switch {
	case flooding:
		return s.config.Cache.FloodFill
	case small, s.tenants.largestShare > 1:
		return 1
	}
	return s.config.Cache.MemoryFill
}
