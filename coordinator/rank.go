package coordinator

import (
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// ranking is which node is to own each partition, for one set of candidates.
type ranking struct {
	candidates []ownership.Node
	// heirs are, for each partition, the node that is to own it and those that rank
	// next.
	preferred [][]string
	// places are, for each partition, this node's place among its heirs; -1 where it is
	// none.
	selfRanks []int
	// roles are what nodes do for others.
	roles Roles
	// lost is when a candidate was one last.
	lostAt map[string]time.Time
	// since is when the candidates changed last, and lookedAt when they were looked at
	// last.
	changedAt time.Time
	checkedAt time.Time
	// version, reaches and unreaching are what the candidates followed from: the
	// version of the nodes' view, whether this node reached the store, and whether
	// any peer counted as not reaching it.
	membershipVersion uint64
	storeReachable    bool
	withoutStore      bool
}

const (
	// heirsPerPartition is how many nodes may take a partition over: one that ranks
	// first may have lost the store as well, unknown to the others. With a third of
	// all nodes cut off, three are cut off together once in 27 times.
	preferredPerPartition = 3
	// heirPatience is how long each heir leaves a partition without an owner to
	// those that rank before it, until it asks whether they are taking it over.
	successionDelay = 300 * time.Millisecond
)

// calmFor is how long the candidates must not have changed before the node that ranks
// first takes a partition over from one that serves it: while many come back, who ranks
// first changes, and each change reads anew.
const stableRankingPeriod = time.Second

// mayOwn reports whether this node is to own the partition: it ranks first, or those
// that rank before it have left it without an owner for too long.
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

// current reports whether the candidates are what they were. Who reaches the
// store changes with time alone while any peer counts as not reaching it.
func (r *ranking) upToDate(c *Core) bool {
	if r.preferred == nil || r.withoutStore || len(c.withoutStore) > 0 {
		return false
	}
	return r.membershipVersion == c.membership.Version() && r.storeReachable == c.storeReachable
}

// rank renews the ranking where the candidates have changed.
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

// rankPausePerNode times the nodes is the least time between two looks at who may own
// partitions: a look visits every node, and while many come or go there would be one
// with each tick. At 1,000 nodes it is a fifth of a second, less than an heir waits.
const rankIntervalPerNode = 200 * time.Microsecond

func (c *Core) minRankInterval() time.Duration {
	return time.Duration(len(c.sortedNodes)) * rankIntervalPerNode
}

// rankAnew ranks the candidates for every partition.
func (c *Core) computeRanking(now time.Time, candidates []ownership.Node) ranking {
	preferred := make([][]string, len(c.partitions))
	eligible := ownership.Able(candidates)
	selfRanks := make([]int, len(c.partitions))
	self := string(c.self().ID)
	for index := range preferred {
		preferred[index] = ownership.Heirs(index, eligible, preferredPerPartition)
		selfRanks[index] = slices.Index(preferred[index], self)
	}
	return ranking{
		candidates: candidates, preferred: preferred, selfRanks: selfRanks, roles: c.assignRoles(candidates, selfRanks), lostAt: c.lostCandidates(now, candidates),
		changedAt: now,
	}
}

// lookup returns a node, this one included.
func (c *Core) lookup(id machine.ID) (machine.Machine, bool) {
	if id == c.self().ID {
		return c.self(), true
	}
	return c.membership.Lookup(id)
}

// lostCandidates adds the candidates that are none any more to those that were
// lost lately.
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

// maximumUnable bounds the nodes without the store that a status names. They are
// drawn anew for each, so that all of many are named in time.
const maxStoreUnreachablePerStatus = 4

// unable returns nodes that told this one lately that they do not reach the
// store, or none where this node does not reach it either, or did not lately.
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

// noteUnable takes over what a peer heard of others, unless they were heard
// here as well.
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

// candidates returns the nodes that may own partitions: the live ones that
// reach the store, or all live ones where none does.
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
