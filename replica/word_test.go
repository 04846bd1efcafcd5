package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// wordStart is the beginning of the virtual time.
var wordStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// wordSet returns a set of replicas of one service, before as many nodes.
func wordSet(replicas, nodes int) *Set {
	set := NewSet(DefaultConfig("z"))
	for index := range replicas {
		set.Put(wordStart, Entry{ID: ID(fmt.Sprint("r", index)), Service: "s", Zone: "z", Status: StatusReady, Slots: 8})
	}
	set.SetNodes(nodes)
	return set
}

// knownLoad returns what a set takes a replica's load for.
func knownLoad(set *Set, now time.Time, id ID) float64 {
	return set.estimateLoads(now, set.services["s"]).load(set.byID[id])
}

// TestWordGoesBeforeReports while it is recent and tells of more nodes.
func TestWordGoesBeforeReports(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(2, 21)
	set.SetPeer(wordStart, "peer", map[ID]int{"r0": 1})
	reported := knownLoad(set, wordStart, "r0")
	set.TakeWord(wordStart, Word{Nodes: 20, At: wordStart, Totals: map[ID]Total{"r0": {Requests: 6}}})
	set.Began(wordStart, "r0", &Request{})
	g.Expect(knownLoad(set, wordStart, "r0")).To(Equal(7.0))
	g.Expect(knownLoad(set, wordStart, "r1")).To(BeZero())
	// Without a newer word the reports of peers tell the loads again.
	later := wordStart.Add(summaryLifetime + time.Millisecond)
	g.Expect(knownLoad(set, later, "r0")).To(BeNumerically("~", reported+1, 0.001))
	// A word of fewer nodes than peers told of themselves is none.
	set.TakeWord(later, Word{Nodes: 1, At: later, Totals: map[ID]Total{"r0": {Requests: 6}}})
	g.Expect(knownLoad(set, later, "r0")).To(BeNumerically("~", reported+1, 0.001))
}

// TestWordAges has the replicas that were emptier at an old word filled since, by how long
// the service's requests take.
func TestWordAges(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(2, 21)
	set.TakeWord(wordStart, Word{Nodes: 20, At: wordStart, Totals: map[ID]Total{"r0": {Requests: 8}}})
	differs := func(age time.Duration) float64 {
		return knownLoad(set, wordStart.Add(age), "r0") - knownLoad(set, wordStart.Add(age), "r1")
	}
	g.Expect(differs(0)).To(Equal(8.0))
	g.Expect(differs(100 * time.Millisecond)).To(BeNumerically("<", 8))
	short := differs(300 * time.Millisecond)
	g.Expect(short).To(And(BeNumerically(">=", 0), BeNumerically("<", 0.5)))
	g.Expect(knownLoad(set, wordStart.Add(300*time.Millisecond), "r1")).To(BeNumerically("~", 4, 0.5))
	// Requests of two seconds are mostly still there.
	now := wordStart
	for range 3 {
		set.Began(now, "r0", &Request{})
		now = now.Add(2 * time.Second)
		set.Ended(now, "r0", ResultAnswered)
	}
	g.Expect(set.meanDuration("s")).To(Equal(2 * time.Second))
	set.TakeWord(now, Word{Nodes: 20, At: now.Add(-300 * time.Millisecond), Totals: map[ID]Total{"r0": {Requests: 8}}})
	g.Expect(knownLoad(set, now, "r0") - knownLoad(set, now, "r1")).To(And(BeNumerically(">", 4), BeNumerically("<", 8)))
}

// TestWordOfSome has the nodes that a word does not tell of estimated.
func TestWordOfSome(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(2, 21)
	set.TakeWord(wordStart, Word{Nodes: 10, At: wordStart, Totals: map[ID]Total{"r0": {Requests: 4}, "r1": {Requests: 4}}})
	g.Expect(knownLoad(set, wordStart, "r0")).To(BeNumerically("~", 8, 1))
}

// TestWordOfHalf goes before older reports of more nodes: those of a zone that was cut off
// just now are among them.
func TestWordOfHalf(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(1, 11)
	for peer := range 7 {
		set.SetPeer(wordStart, fmt.Sprint("peer-", peer), map[ID]int{"r0": 5})
	}
	set.TakeWord(wordStart, Word{Nodes: 5, At: wordStart, Totals: map[ID]Total{"r0": {Requests: 5}}})
	g.Expect(knownLoad(set, wordStart, "r0")).To(BeNumerically("~", 10, 1))
	set.SetNodes(21)
	g.Expect(knownLoad(set, wordStart, "r0")).To(BeNumerically(">", 35))
}

// TestPartialWord has a replica that it does not name taken for one like the others.
func TestPartialWord(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(3, 21)
	totals := map[ID]Total{"r0": {Requests: 4}, "r1": {Requests: 8}}
	set.TakeWord(wordStart, Word{Nodes: 20, At: wordStart, Totals: totals, Partial: true})
	g.Expect(knownLoad(set, wordStart, "r2")).To(Equal(6.0))
	set.TakeWord(wordStart, Word{Nodes: 20, At: wordStart, Totals: totals})
	g.Expect(knownLoad(set, wordStart, "r2")).To(BeZero())
	// What a former word named counts no longer.
	set.TakeWord(wordStart, Word{Nodes: 20, At: wordStart})
	g.Expect(knownLoad(set, wordStart, "r1")).To(BeZero())
}

// TestFalseWord changes a load by a bounded amount.
func TestFalseWord(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(2, 21)
	set.TakeWord(wordStart, Word{Nodes: 20, At: wordStart, Totals: map[ID]Total{"r0": {Requests: 1e12}, "r1": {Requests: -1e12}, "gone": {Requests: 3}}})
	g.Expect(knownLoad(set, wordStart, "r0")).To(BeNumerically("<=", maximumLoadFactor*8))
	g.Expect(knownLoad(set, wordStart, "r1")).To(BeZero())
}

// TestDeviation has a mean of 0 and a variance of 1.
func TestDeviation(t *testing.T) {
	g := NewWithT(t)
	sum, squares := 0.0, 0.0
	const draws = 20_000
	for index := range draws {
		deviates := deviation(float64(index%200)/200, uint64(index/200)*0x12345)
		sum, squares = sum+deviates, squares+deviates*deviates
	}
	g.Expect(sum / draws).To(BeNumerically("~", 0, 0.05))
	g.Expect(squares / draws).To(BeNumerically("~", 1, 0.05))
}

// TestTiesAreSpread has replicas that were filled to one level chosen alike often, also
// where each stands behind others that are full.
func TestTiesAreSpread(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(24, 73)
	totals := make(map[ID]Total)
	for index := range 24 {
		// The second of two empty ones follows the first; the others stand between.
		if index%12 > 1 {
			totals[ID(fmt.Sprint("r", index))] = Total{Requests: 30}
		}
	}
	set.TakeWord(wordStart, Word{Nodes: 72, At: wordStart.Add(-10 * time.Millisecond), Totals: totals})
	chosen := make(map[ID]int)
	for draw := range 400 {
		choice, err := set.Select(wordStart, &Request{Service: "s", Draw: float64(draw) / 400})
		g.Expect(err).NotTo(HaveOccurred())
		chosen[choice.Entry.ID]++
	}
	for _, id := range []ID{"r0", "r1", "r12", "r13"} {
		g.Expect(chosen[id]).To(BeNumerically("~", 100, 40), "%v", chosen)
	}
}

// TestLinesStayWhereAllAreFull has a line of turns stay at the replica that keeps its prompt
// while all are as full, whatever is drawn.
func TestLinesStayWhereAllAreFull(t *testing.T) {
	g := NewWithT(t)
	set := wordSet(12, 73)
	totals := make(map[ID]Total)
	for id := range set.byID {
		totals[id] = Total{Requests: 10}
	}
	set.TakeWord(wordStart, Word{Nodes: 72, At: wordStart.Add(-100 * time.Millisecond), Totals: totals})
	prompt := []Part{{ID: "history", Tokens: 2000}, {ID: "turn", Tokens: 50}}
	for draw := range 100 {
		choice, err := set.Select(wordStart, &Request{Service: "s", Preferred: "r3", Prompt: prompt, Draw: float64(draw) / 100})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(choice.Entry.ID).To(Equal(ID("r3")))
	}
}
