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
	heirs [][]string
	// places are, for each partition, this node's place among its heirs; -1 where it is
	// none.
	places []int
	// roles are what nodes do for others.
	roles Roles
	// lost is when a candidate was one last.
	lost map[string]time.Time
	// since is when the candidates changed last, and lookedAt when they were looked at
	// last.
	since    time.Time
	lookedAt time.Time
	// version, reaches and unreaching are what the candidates followed from: the
	// version of the nodes' view, whether this node reached the store, and whether
	// any peer counted as not reaching it.
	version    uint64
	reaches    bool
	unreaching bool
}

const (
	// heirsPerPartition is how many nodes may take a partition over: one that ranks
	// first may have lost the store as well, unknown to the others. With a third of
	// all nodes cut off, three are cut off together once in 27 times.
	heirsPerPartition = 3
	// heirPatience is how long each heir leaves a partition without an owner to
	// those that rank before it, until it asks whether they are taking it over.
	heirPatience = 300 * time.Millisecond
)

// calmFor is how long the candidates must not have changed before the node that ranks
// first takes a partition over from one that serves it: while many come back, who ranks
// first changes, and each change reads anew.
const calmFor = time.Second

// mayOwn reports whether this node is to own the partition: it ranks first, or those
// that rank before it have left it without an owner for too long.
func (c *Core) mayOwn(now time.Time, one *partition) bool {
	place := c.ranking.places[one.index]
	if place < 0 {
		one.vacantSince = time.Time{}
		return false
	}
	_, served := c.servingPeer(now, one.index)
	served = served && !c.stuck(now, one.index)
	if place == 0 {
		one.vacantSince = time.Time{}
		return !served || now.Sub(c.ranking.since) >= calmFor
	}
	if served {
		one.vacantSince = time.Time{}
		return false
	}
	if one.vacantSince.IsZero() {
		one.vacantSince = now
	}
	return now.Sub(one.vacantSince) >= time.Duration(place)*heirPatience
}

// current reports whether the candidates are what they were. Who reaches the
// store changes with time alone while any peer counts as not reaching it.
func (r *ranking) current(c *Core) bool {
	if r.heirs == nil || r.unreaching || len(c.unreaching) > 0 {
		return false
	}
	return r.version == c.membership.Version() && r.reaches == c.reaches
}

// rank renews the ranking where the candidates have changed.
func (c *Core) rank(now time.Time) {
	c.forgetUnreaching(now)
	if c.ranking.current(c) || now.Sub(c.ranking.lookedAt) < c.rankPause() {
		return
	}
	candidates := c.candidates(now)
	if c.ranking.heirs == nil || !slices.Equal(candidates, c.ranking.candidates) {
		c.ranking = c.rankAnew(now, candidates)
	}
	c.ranking.lookedAt = now
	c.ranking.version, c.ranking.reaches = c.membership.Version(), c.reaches
	c.ranking.unreaching = len(c.unreaching) > 0
}

// rankPausePerNode times the nodes is the least time between two looks at who may own
// partitions: a look visits every node, and while many come or go there would be one
// with each tick. At 1,000 nodes it is a fifth of a second, less than an heir waits.
const rankPausePerNode = 200 * time.Microsecond

func (c *Core) rankPause() time.Duration {
	return time.Duration(len(c.listing)) * rankPausePerNode
}

// rankAnew ranks the candidates for every partition.
func (c *Core) rankAnew(now time.Time, candidates []ownership.Node) ranking {
	heirs := make([][]string, len(c.partitions))
	able := ownership.Able(candidates)
	places := make([]int, len(c.partitions))
	self := string(c.self().ID)
	for index := range heirs {
		heirs[index] = ownership.Heirs(index, able, heirsPerPartition)
		places[index] = slices.Index(heirs[index], self)
	}
	return ranking{
		candidates: candidates, heirs: heirs, places: places, roles: c.rankRoles(candidates, places), lost: c.lostCandidates(now, candidates),
		since: now,
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
	lost := make(map[string]time.Time)
	for id, when := range c.ranking.lost {
		if now.Sub(when) < contestedFor {
			lost[id] = when
		}
	}
	for _, before := range c.ranking.candidates {
		lost[before.ID] = now
	}
	for _, candidate := range candidates {
		delete(lost, candidate.ID)
	}
	return lost
}

// maximumUnable bounds the nodes without the store that a status names. They are
// drawn anew for each, so that all of many are named in time.
const maximumUnable = 4

// unable returns nodes that told this one lately that they do not reach the
// store, or none where this node does not reach it either, or did not lately.
func (c *Core) unable(now time.Time) []machine.ID {
	if !c.reaches || now.Sub(c.reachedSince) < regainFor {
		return nil
	}
	var found []machine.ID
	for id := range c.unreaching {
		if state := c.peers[id]; state.heard && state.counts(now) {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	c.config.Random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(len(found), maximumUnable)]
}

// noteUnable takes over what a peer heard of others, unless they were heard
// here as well.
func (c *Core) noteUnable(now time.Time, nodes []machine.ID) {
	for _, id := range nodes {
		state := c.peers[id]
		if id == c.self().ID || (state.heard && state.counts(now)) {
			continue
		}
		if state.unableSince.IsZero() || !state.counts(now) {
			state.unableSince = now
		}
		state.at = now
		state.heard = false
		state.status.ReachesStore = false
		c.setPeer(id, state)
	}
}

// candidates returns the nodes that may own partitions: the live ones that
// reach the store, or all live ones where none does.
func (c *Core) candidates(now time.Time) []ownership.Node {
	var live, able []ownership.Node
	for _, node := range c.membership.Nodes() {
		candidate := ownership.Node{ID: string(node.ID), Weight: node.Weight, Zone: string(node.Zone)}
		live = append(live, candidate)
		if c.reachesStore(now, node.ID) {
			able = append(able, candidate)
		}
	}
	if len(able) > 0 {
		return able
	}
	return live
}
