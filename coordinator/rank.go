package coordinator

import (
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// ranking holds which nodes should own each partition, for one set of candidates.
type ranking struct {
	candidates []ownership.Node
	// preferred holds the preference list of each partition: the node that should own it
	// and those that rank next.
	preferred [][]string
	// selfRanks holds this node's index in the preference list of each partition, or -1.
	selfRanks []int
	// roles are the roles of nodes that follow from the candidates.
	roles Roles
	// lostAt holds, for recently lost candidates, the time of the loss.
	lostAt map[string]time.Time
	// changedAt is when the candidates last changed, and checkedAt when they were last
	// checked.
	changedAt time.Time
	checkedAt time.Time
	// membershipVersion, storeReachable and withoutStore are the inputs of the candidates:
	// the version of the membership, whether this node reached the store, and whether any
	// peer was unable to reach it.
	membershipVersion uint64
	storeReachable    bool
	withoutStore      bool
}

const (
	// preferredPerPartition is how many nodes may take a partition over. The first one may
	// have lost the store as well before the others are notified. If a third of all nodes
	// are partitioned off, so are all three of one partition in 27.
	preferredPerPartition = 3
	// successionDelay times its rank is how long a preferred node waits while a partition
	// has no owner, before it sends handover requests to the nodes that rank before it.
	successionDelay = 300 * time.Millisecond
)

// stableRankingPeriod is how long the candidates must be unchanged before the node that
// ranks first takes over a partition that another one serves. While many nodes return, the
// first rank changes often, and each takeover reads the partition again.
const stableRankingPeriod = time.Second

// shouldOwn reports whether this node should own the partition: it ranks first, or the
// nodes that rank before it have left it without an owner for too long.
func (c *Core) shouldOwn(now time.Time, p *partition) bool {
	rank := c.ranking.selfRanks[p.index]
	if rank < 0 {
		p.vacantSince = time.Time{}
		return false
	}
	_, serving := c.servingPeer(now, p.index)
	serving = serving && !c.takeoverStalled(now, p.index)
	if rank == 0 {
		p.vacantSince = time.Time{}
		return !serving || now.Sub(c.ranking.changedAt) >= stableRankingPeriod
	}
	if serving {
		p.vacantSince = time.Time{}
		return false
	}
	if p.vacantSince.IsZero() {
		p.vacantSince = now
	}
	return now.Sub(p.vacantSince) >= time.Duration(rank)*successionDelay
}

// upToDate reports whether the candidates are unchanged. While any peer is considered
// unable to reach the store, they may change with time alone.
func (r *ranking) upToDate(c *Core) bool {
	if r.preferred == nil || r.withoutStore || len(c.withoutStore) > 0 {
		return false
	}
	return r.membershipVersion == c.membership.Version() && r.storeReachable == c.storeReachable
}

// updateRanking recomputes the ranking if the candidates have changed.
func (c *Core) updateRanking(now time.Time) {
	c.expireWithoutStore(now)
	if c.ranking.upToDate(c) || now.Sub(c.ranking.checkedAt) < c.minRankInterval() {
		return
	}
	candidates := c.candidates(now)
	if c.ranking.preferred == nil || !slices.Equal(candidates, c.ranking.candidates) {
		c.ranking = c.computeRanking(now, candidates)
	}
	c.ranking.checkedAt = now
	c.ranking.membershipVersion, c.ranking.storeReachable = c.membership.Version(), c.storeReachable
	c.ranking.withoutStore = len(c.withoutStore) > 0
}

// rankIntervalPerNode times the number of nodes is the least time between two checks of the
// candidates. A check visits every node, and while many nodes join or leave, each tick
// would trigger one. At 1,000 nodes the interval is 200 ms, less than successionDelay.
const rankIntervalPerNode = 200 * time.Microsecond

func (c *Core) minRankInterval() time.Duration {
	return time.Duration(len(c.sortedNodes)) * rankIntervalPerNode
}

// computeRanking ranks the candidates for every partition.
func (c *Core) computeRanking(now time.Time, candidates []ownership.Node) ranking {
	preferred := make([][]string, len(c.partitions))
	eligible := ownership.Eligible(candidates)
	selfRanks := make([]int, len(c.partitions))
	self := string(c.self().ID)
	for index := range preferred {
		preferred[index] = ownership.PreferenceList(index, eligible, preferredPerPartition)
		selfRanks[index] = slices.Index(preferred[index], self)
	}
	return ranking{
		candidates: candidates, preferred: preferred, selfRanks: selfRanks, roles: c.assignRoles(candidates, selfRanks), lostAt: c.lostCandidates(now, candidates),
		changedAt: now,
	}
}

// lookup returns the entry of a node, which may be this one.
func (c *Core) lookup(id machine.ID) (machine.Machine, bool) {
	if id == c.self().ID {
		return c.self(), true
	}
	return c.membership.Lookup(id)
}

// lostCandidates returns the recently lost nodes, including the candidates that are missing
// from the new ones.
func (c *Core) lostCandidates(now time.Time, candidates []ownership.Node) map[string]time.Time {
	lostAt := make(map[string]time.Time)
	for id, when := range c.ranking.lostAt {
		if now.Sub(when) < recentLossWindow {
			lostAt[id] = when
		}
	}
	for _, before := range c.ranking.candidates {
		lostAt[before.ID] = now
	}
	for _, candidate := range candidates {
		delete(lostAt, candidate.ID)
	}
	return lostAt
}

// maxStoreUnreachablePerStatus bounds the nodes without the store in a status. Each status
// has a new random sample, so that all of them are soon reported even if there are many.
const maxStoreUnreachablePerStatus = 4

// sampleWithoutStore returns a random sample of the nodes that recently reported to this
// one that they cannot reach the store. It returns none if this node cannot reach the store
// either, or has reached it for less than storeRecoveryGrace.
func (c *Core) sampleWithoutStore(now time.Time) []machine.ID {
	if !c.storeReachable || now.Sub(c.storeReachableSince) < storeRecoveryGrace {
		return nil
	}
	var ids []machine.ID
	for id := range c.withoutStore {
		if state := c.peers[id]; state.direct && state.fresh(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	c.config.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), maxStoreUnreachablePerStatus)]
}

// mergeStoreUnreachable stores which nodes cannot reach the store by a peer's report. A
// valid status from a node itself takes precedence.
func (c *Core) mergeStoreUnreachable(now time.Time, nodes []machine.ID) {
	for _, id := range nodes {
		state := c.peers[id]
		if id == c.self().ID || (state.direct && state.fresh(now)) {
			continue
		}
		if state.storeUnreachableSince.IsZero() || !state.fresh(now) {
			state.storeUnreachableSince = now
		}
		state.receivedAt = now
		state.direct = false
		state.status.ReachesStore = false
		c.setPeer(id, state)
	}
}

// candidates returns the nodes that may own partitions: the live ones that reach the store,
// or all live ones if none does.
func (c *Core) candidates(now time.Time) []ownership.Node {
	var live, reachable []ownership.Node
	for _, node := range c.membership.Nodes() {
		candidate := ownership.Node{ID: string(node.ID), Weight: node.Weight, Zone: string(node.Zone)}
		live = append(live, candidate)
		if c.reachesStore(now, node.ID) {
			reachable = append(reachable, candidate)
		}
	}
	if len(reachable) > 0 {
		return reachable
	}
	return live
}
