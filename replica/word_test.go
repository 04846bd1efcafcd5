package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// virtualStart is the beginning of the virtual time.
var virtualStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// summarySet returns a set of replicas of one service, before as many nodes.
func summarySet(replicas, nodes int) *Set {
	set := NewSet(DefaultConfig("z"))
	for index := range replicas {
		set.Put(virtualStart, Entry{ID: ID(fmt.Sprint("r", index)), Service: "s", Zone: "z", Status: StatusReady, Slots: 8})
	}
	set.SetNodes(nodes)
	return set
}

// estimatedLoad returns what a set takes a replica's load for.
func estimatedLoad(set *Set, now time.Time, id ID) float64 {
	return set.estimateLoads(now, set.services["s"]).load(set.byID[id])
}

// TestLoadSummaryOverridesReports while it is recent and tells of more nodes.
func TestLoadSummaryOverridesReports(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.SetPeer(virtualStart, "peer", map[ID]int{"r0": 1})
	reported := estimatedLoad(set, virtualStart, "r0")
	set.TakeWord(virtualStart, Word{Nodes: 20, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 6}}})
	set.Began(virtualStart, "r0", &Request{})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(Equal(7.0))
	g.Expect(estimatedLoad(set, virtualStart, "r1")).To(BeZero())
	// Without a newer word the reports of peers tell the loads again.
	later := virtualStart.Add(summaryLifetime + time.Millisecond)
	g.Expect(estimatedLoad(set, later, "r0")).To(BeNumerically("~", reported+1, 0.001))
	// A word of fewer nodes than peers told of themselves is none.
	set.TakeWord(later, Word{Nodes: 1, At: later, Totals: map[ID]Total{"r0": {Requests: 6}}})
	g.Expect(estimatedLoad(set, later, "r0")).To(BeNumerically("~", reported+1, 0.001))
}

// TestLoadSummaryAges has the replicas that were emptier at an old word filled since, by how long
// the service's requests take.
func TestLoadSummaryAges(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.TakeWord(virtualStart, Word{Nodes: 20, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 8}}})
	difference := func(age time.Duration) float64 {
		return estimatedLoad(set, virtualStart.Add(age), "r0") - estimatedLoad(set, virtualStart.Add(age), "r1")
	}
	g.Expect(difference(0)).To(Equal(8.0))
	g.Expect(difference(100 * time.Millisecond)).To(BeNumerically("<", 8))
	old := difference(300 * time.Millisecond)
	g.Expect(old).To(And(BeNumerically(">=", 0), BeNumerically("<", 0.5)))
	g.Expect(estimatedLoad(set, virtualStart.Add(300*time.Millisecond), "r1")).To(BeNumerically("~", 4, 0.5))
	// Requests of two seconds are mostly still there.
	now := virtualStart
	for range 3 {
		set.Began(now, "r0", &Request{})
		now = now.Add(2 * time.Second)
		set.Ended(now, "r0", ResultAnswered)
	}
	g.Expect(set.meanDuration("s")).To(Equal(2 * time.Second))
	set.TakeWord(now, Word{Nodes: 20, At: now.Add(-300 * time.Millisecond), Totals: map[ID]Total{"r0": {Requests: 8}}})
	g.Expect(estimatedLoad(set, now, "r0") - estimatedLoad(set, now, "r1")).To(And(BeNumerically(">", 4), BeNumerically("<", 8)))
}

// TestLoadSummaryOfSomeNodes has the nodes that a word does not tell of estimated.
func TestLoadSummaryOfSomeNodes(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.TakeWord(virtualStart, Word{Nodes: 10, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 4}, "r1": {Requests: 4}}})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically("~", 8, 1))
}

// TestLoadSummaryOfHalfTheNodes goes before older reports of more nodes: those of a zone that was cut off
// just now are among them.
func TestLoadSummaryOfHalfTheNodes(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(1, 11)
	for peer := range 7 {
		set.SetPeer(virtualStart, fmt.Sprint("peer-", peer), map[ID]int{"r0": 5})
	}
	set.TakeWord(virtualStart, Word{Nodes: 5, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 5}}})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically("~", 10, 1))
	set.SetNodes(21)
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically(">", 35))
}

// TestPartialLoadSummary has a replica that it does not name taken for one like the others.
func TestPartialLoadSummary(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(3, 21)
	totals := map[ID]Total{"r0": {Requests: 4}, "r1": {Requests: 8}}
	set.TakeWord(virtualStart, Word{Nodes: 20, At: virtualStart, Totals: totals, Partial: true})
	g.Expect(estimatedLoad(set, virtualStart, "r2")).To(Equal(6.0))
	set.TakeWord(virtualStart, Word{Nodes: 20, At: virtualStart, Totals: totals})
	g.Expect(estimatedLoad(set, virtualStart, "r2")).To(BeZero())
	// What a former word named counts no longer.
	set.TakeWord(virtualStart, Word{Nodes: 20, At: virtualStart})
	g.Expect(estimatedLoad(set, virtualStart, "r1")).To(BeZero())
}

// TestWrongLoadSummaryIsBounded changes a load by a bounded amount.
func TestWrongLoadSummaryIsBounded(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(2, 21)
	set.TakeWord(virtualStart, Word{Nodes: 20, At: virtualStart, Totals: map[ID]Total{"r0": {Requests: 1e12}, "r1": {Requests: -1e12}, "gone": {Requests: 3}}})
	g.Expect(estimatedLoad(set, virtualStart, "r0")).To(BeNumerically("<=", maximumLoadFactor*8))
	g.Expect(estimatedLoad(set, virtualStart, "r1")).To(BeZero())
}

// TestDeviation has a mean of 0 and a variance of 1.
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

// TestEqualLoadsAreSpread has replicas that were filled to one level chosen alike often, also
// where each stands behind others that are full.
func TestEqualLoadsAreSpread(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(24, 73)
	totals := make(map[ID]Total)
	for index := range 24 {
		// The second of two empty ones follows the first; the others stand between.
		if index%12 > 1 {
			totals[ID(fmt.Sprint("r", index))] = Total{Requests: 30}
		}
	}
	set.TakeWord(virtualStart, Word{Nodes: 72, At: virtualStart.Add(-10 * time.Millisecond), Totals: totals})
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

// TestSessionsStayWhenAllAreFull has a line of turns stay at the replica that keeps its prompt
// while all are as full, whatever is drawn.
func TestSessionsStayWhenAllAreFull(t *testing.T) {
	g := NewWithT(t)
	set := summarySet(12, 73)
	totals := make(map[ID]Total)
	for id := range set.byID {
		totals[id] = Total{Requests: 10}
	}
	set.TakeWord(virtualStart, Word{Nodes: 72, At: virtualStart.Add(-100 * time.Millisecond), Totals: totals})
	prompt := []Part{{ID: "history", Tokens: 2000}, {ID: "turn", Tokens: 50}}
	for draw := range 100 {
		choice, err := set.Select(virtualStart, &Request{Service: "s", Preferred: "r3", Prompt: prompt, Draw: float64(draw) / 100})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(choice.Entry.ID).To(Equal(ID("r3")))
	}
}
