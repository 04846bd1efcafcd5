package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSharedParts checks that parts shared by many programs are distinguished from the
// histories of single programs, and that both expire.
func TestSharedParts(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	shared := newSharedParts()
	for program := range 8 {
		history := Part{ID: fmt.Sprint("history-", program), Tokens: 100}
		for range 5 {
			shared.add(now, fmt.Sprint("program-", program), []Part{{ID: "system", Tokens: 1000}, history})
		}
	}
	g.Expect(shared.cachedProbability(now, "system", 1)).To(BeNumerically(">", 0.99))
	g.Expect(shared.cachedProbability(now, "system", 0.1)).To(BeNumerically("~", 0.5, 0.05))
	g.Expect(shared.cachedProbability(now, "history-3", 1)).To(BeZero())
	g.Expect(shared.cachedProbability(now, "another", 1)).To(BeZero())
	g.Expect(shared.tokens(now)).To(Equal(1000))
	later := now.Add(time.Minute)
	g.Expect(shared.cachedProbability(later, "system", 1)).To(BeNumerically("<", 0.01))
	g.Expect(shared.tokens(later)).To(BeZero())
	for program := range 2 * maximumSharedParts {
		shared.add(later, "p", []Part{{ID: fmt.Sprint("more-", program), Tokens: 1}})
		g.Expect(len(shared.parts)).To(BeNumerically("<=", maximumSharedParts+1))
	}
}

// TestProgramScale checks that a new replica is assumed to have nothing cached.
func TestProgramScale(t *testing.T) {
	g := NewWithT(t)
	g.Expect(programScale(300, 100, time.Hour)).To(Equal(3.0))
	g.Expect(programScale(300, 100, 0)).To(BeZero())
	g.Expect(programScale(300, 100, sharedWindow/2)).To(BeNumerically("~", 1.5, 0.01))
	g.Expect(programScale(1, 0, time.Hour)).To(Equal(1.0))
}

// TestLoadEstimate checks that the loads of peers without a report are estimated, and that
// nothing is added if all peers reported.
func TestLoadEstimate(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	loads := func(nodes int) []float64 {
		set := NewSet(DefaultConfig("z"))
		for _, id := range []ID{"a", "b"} {
			set.Put(now, Entry{ID: id, Service: "s", Zone: "z", Status: StatusReady, Slots: 4})
		}
		set.SetNodes(nodes)
		set.SetPeer(now, "peer-1", map[ID]int{"a": 3})
		set.SetPeer(now, "peer-2", nil)
		set.Began(now, "b", &Request{})
		view := set.estimateFromReports(set.services["s"])
		return []float64{view.load(set.byID["a"]), view.load(set.byID["b"])}
	}
	g.Expect(loads(3)).To(Equal([]float64{3, 1}))
	estimated := loads(21)
	// Two of twenty peers reported. The estimated mean is 15 per replica, and more is likely at
	// the replica for which more was reported.
	g.Expect(estimated[0]).To(BeNumerically(">", 15))
	g.Expect(estimated[1]).To(And(BeNumerically(">", 1), BeNumerically("<", 15)))
}
