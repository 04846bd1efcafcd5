package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// virtualStart is the beginning of virtual time.
var virtualStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// summarySet returns a set of replicas of one service that is used by the given number of
// nodes.
func summarySet(replicas, nodes int) *Set {
	set := NewSet(DefaultConfig("z"))
	for index := range replicas {
		set.Put(virtualStart, Entry{ID: ID(fmt.Sprint("r", index)), Service: "s", Zone: "z", Status: StatusReady, Slots: 8})
	}
	set.SetNodes(nodes)
	return set
}

// estimatedLoad returns the estimated load of a replica.
func estimatedLoad(set *Set, now time.Time, id ID) float64 {
	return set.estimateLoads(now, set.services["s"]).load(set.byID[id])
}

// TestLoadSummaryOverridesReports checks that a load summary is used instead of reports while
// it is recent and covers more nodes.
func TestLoadSummaryOverridesReports(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.SetPeer(virtualStart, "peer", map[ID]int{"r0": 1})
	reported := estimatedLoad(set, virtualStart, "r0")
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 20, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 6}}})
	set.Began(virtualStart, "r0", &Request{})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(Equal(7.0))
	g.Expect(estimatedLoad(set, virtualStart, "r1")).To(BeZero())
	// Without a newer load summary, the reports of peers are used.
	later := virtualStart.Add(summaryLifetime + time.Millisecond)
	g.Expect(estimatedLoad(set, later, "r0")).To(BeNumerically("~", reported+1, 0.001))
	// A load summary that covers fewer nodes than the reports is not used.
	set.ApplyLoadSummary(later, LoadSummary{Nodes: 1, At: later, Totals: map[ID]Total{"r0": {Requests: 6}}})
	g.Expect(estimatedLoad(set, later, "r0")).To(BeNumerically("~", reported+1, 0.001))
}

// TestLoadSummaryAges checks that the replicas with less load in an older summary are assumed
// to have been filled since, depending on the duration of the service's requests.
func TestLoadSummaryAges(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 20, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 8}}})
	difference := func(age time.Duration) float64 {
		return estimatedLoad(set, virtualStart.Add(age), "r0") - estimatedLoad(set, virtualStart.Add(age), "r1")
	}
	g.Expect(difference(0)).To(Equal(8.0))
	g.Expect(difference(100 * time.Millisecond)).To(BeNumerically("<", 8))
	old := difference(300 * time.Millisecond)
	g.Expect(old).To(And(BeNumerically(">=", 0), BeNumerically("<", 0.5)))
	g.Expect(estimatedLoad(set, virtualStart.Add(300*time.Millisecond), "r1")).To(BeNumerically("~", 4, 0.5))
	// Requests of two seconds are mostly still in flight.
	now := virtualStart
	for range 3 {
		set.Began(now, "r0", &Request{})
		now = now.Add(2 * time.Second)
		set.Ended(now, "r0", ResultAnswered)
	}
	g.Expect(set.meanDuration("s")).To(Equal(2 * time.Second))
	set.ApplyLoadSummary(now, LoadSummary{Nodes: 20, At: now.Add(-300 * time.Millisecond), Totals: map[ID]Total{"r0": {Requests: 8}}})
	g.Expect(estimatedLoad(set, now, "r0") - estimatedLoad(set, now, "r1")).To(And(BeNumerically(">", 4), BeNumerically("<", 8)))
}

// TestLoadSummaryOfSomeNodes checks that the loads of nodes that the summary does not cover are
// estimated.
func TestLoadSummaryOfSomeNodes(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 10, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 4}, "r1": {Requests: 4}}})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically("~", 8, 1))
}

// TestLoadSummaryOfHalfTheNodes checks that a summary of at least half the nodes is preferred
// to reports of more nodes. The reports are older, and may include nodes of a zone that has
// just been cut off.
func TestLoadSummaryOfHalfTheNodes(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(1, 11)
	for peer := range 7 {
		set.SetPeer(virtualStart, fmt.Sprint("peer-", peer), map[ID]int{"r0": 5})
	}
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 5, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 5}}})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically("~", 10, 1))
	set.SetNodes(21)
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically(">", 35))
}

// TestPartialLoadSummary checks that a replica missing from a partial summary is assumed to
// have the mean load.
func TestPartialLoadSummary(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(3, 21)
	totals := map[ID]Total{"r0": {Requests: 4}, "r1": {Requests: 8}}
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 20, At: virtualStart, Totals: totals, Partial: true})
	g.Expect(estimatedLoad(set, virtualStart, "r2")).To(Equal(6.0))
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 20, At: virtualStart, Totals: totals})
	g.Expect(estimatedLoad(set, virtualStart, "r2")).To(BeZero())
	// The loads of the previous summary no longer apply.
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 20, At: virtualStart})
	g.Expect(estimatedLoad(set, virtualStart, "r1")).To(BeZero())
}

// TestWrongLoadSummaryIsBounded checks that a wrong summary changes a load by a bounded amount.
func TestWrongLoadSummaryIsBounded(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 20, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 1e12}, "r1": {Requests: -1e12}, "gone": {Requests: 3}}})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically("<=", maximumLoadFactor*8))
	g.Expect(estimatedLoad(set, virtualStart, "r1")).To(BeZero())
}

// TestDeviation checks that deviation has mean 0 and variance 1.
func TestDeviation(t *testing.T) {
	g := NewWithT(t)
	sum, squares := 0.0, 0.0
	const draws = 20_000
	for index := range draws {
		value := deviation(float64(index%200)/200, uint64(index/200)*0x12345)
		sum, squares = sum+value, squares+value*value
	}
	g.Expect(sum / draws).To(BeNumerically("~", 0, 0.05))
	g.Expect(squares / draws).To(BeNumerically("~", 1, 0.05))
}

// TestEqualLoadsAreSpread checks that replicas filled to the same level are selected equally
// often, even if each follows full replicas in the list.
func TestEqualLoadsAreSpread(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(24, 73)
	totals := make(map[ID]Total)
	for index := range 24 {
		// The second of two empty replicas directly follows the first. All others are between
		// the pairs.
		if index%12 > 1 {
			totals[ID(fmt.Sprint("r", index))] = Total{Requests: 30}
		}
	}
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 72, At: virtualStart.Add(-10 * time.Millisecond), Totals: totals})
	chosen := make(map[ID]int)
	for draw := range 400 {
		choice, err := set.Select(virtualStart, &Request{Service: "s", Draw: float64(draw) / 400})
		g.Expect(err).NotTo(HaveOccurred())
		chosen[choice.Entry.ID]++
	}
	for _, id := range []ID{"r0", "r1", "r12", "r13"} {
		g.Expect(chosen[id]).To(BeNumerically("~", 100, 40), "%v", chosen)
	}
}

// TestSessionsStayWhenAllAreFull checks that a session stays at the replica that has its prompt
// cached while all replicas are equally full, whatever the draw.
func TestSessionsStayWhenAllAreFull(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(12, 73)
	totals := make(map[ID]Total)
	for id := range set.byID {
		totals[id] = Total{Requests: 10}
	}
	set.ApplyLoadSummary(virtualStart, LoadSummary{Nodes: 72, At: virtualStart.Add(-100 * time.Millisecond), Totals: totals})
	prompt := []Part{{ID: "history", Tokens: 2000}, {ID: "turn", Tokens: 50}}
	for draw := range 100 {
		choice, err := set.Select(virtualStart, &Request{Service: "s", Preferred: "r3", Prompt: prompt, Draw: float64(draw) / 100})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(choice.Entry.ID).To(Equal(ID("r3")))
	}
}
