package coordinator

import (
	"slices"
	"time"

	"birchwood.example/birchwood/ownership"
)

// ranking is which node is to own each partition, for one set of candidates.
type ranking struct {
	candidates []ownership.Node
	first      []string
	// lost is when a candidate was one last.
	lost map[string]time.Time
}

// rank renews the ranking where the candidates have changed.
func (c *Core) rank(now time.Time) {
	candidates := c.candidates(now)
	if c.ranking.first != nil && slices.Equal(candidates, c.ranking.candidates) {
		return
	}
	first := make([]string, len(c.partitions))
	for index := range first {
		first[index] = ownership.Rank(index, candidates)
	}
	c.ranking = ranking{candidates: candidates, first: first, lost: c.lostCandidates(now, candidates)}
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
