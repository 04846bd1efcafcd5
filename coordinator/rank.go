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
	first      []string
	// readers are the candidates of this node's zone that rank first.
	readers []machine.Machine
	// lost is when a candidate was one last.
	lost map[string]time.Time
	// version, reaches and unreaching are what the candidates followed from: the
	// version of the nodes' view, whether this node reached the store, and whether
	// any peer counted as not reaching it.
	version    uint64
	reaches    bool
	unreaching bool
}

// current reports whether the candidates are what they were. Who reaches the
// store changes with time alone while any peer counts as not reaching it.
func (r *ranking) current(c *Core) bool {
	if r.first == nil || r.unreaching || len(c.unreaching) > 0 {
		return false
	}
	return r.version == c.membership.Version() && r.reaches == c.reaches
}

// rank renews the ranking where the candidates have changed.
func (c *Core) rank(now time.Time) {
	c.forgetUnreaching(now)
	if c.ranking.current(c) {
		return
	}
	candidates := c.candidates(now)
	if c.ranking.first == nil || !slices.Equal(candidates, c.ranking.candidates) {
		c.ranking = c.rankAnew(now, candidates)
	}
	c.ranking.version, c.ranking.reaches = c.membership.Version(), c.reaches
	c.ranking.unreaching = len(c.unreaching) > 0
}

// rankAnew ranks the candidates for every partition.
func (c *Core) rankAnew(now time.Time, candidates []ownership.Node) ranking {
	first := make([]string, len(c.partitions))
	for index := range first {
		first[index] = ownership.Rank(index, candidates)
	}
	return ranking{
		candidates: candidates, first: first, readers: c.rankReaders(candidates), lost: c.lostCandidates(now, candidates),
	}
}

// Readers returns the nodes of this node's zone that follow in the store what
// the others can follow through them. The caller must not change the slice.
func (c *Core) Readers() []machine.Machine { return c.ranking.readers }

const (
	// readerRank stands for a partition in the ranking of readers.
	readerRank = -1
	// readersPerZone is how many there are, so that one may fail.
	readersPerZone = 2
)

func (c *Core) rankReaders(candidates []ownership.Node) (readers []machine.Machine) {
	zone := c.self().Zone
	var near []ownership.Node
	for _, candidate := range candidates {
		if node, known := c.lookup(machine.ID(candidate.ID)); known && node.Zone == zone {
			near = append(near, candidate)
		}
	}
	for len(readers) < readersPerZone && len(near) > 0 {
		best := ownership.Rank(readerRank, near)
		node, _ := c.lookup(machine.ID(best))
		readers = append(readers, node)
		near = slices.DeleteFunc(near, func(one ownership.Node) bool { return one.ID == best })
	}
	return readers
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
		if now.Sub(when) < lostFor {
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

// maximumUnable bounds the nodes without the store that a status names.
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
		candidate := ownership.Node{ID: string(node.ID), Weight: node.Weight}
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
