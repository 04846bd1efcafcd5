package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startedWithSlack returns the state of a started program with the given slack.
func startedWithSlack(slack time.Duration) *SchedulingState {
	return &SchedulingState{Begun: true, HasFinish: true, Left: 2*time.Second + slack, ExpectedRemaining: 2 * time.Second}
}

// TestOrderByTier checks the order: started programs that can finish in time by slack, new
// ones that can, late started ones, and new ones that are late already.
func TestOrderByTier(t *testing.T) {
	g := NewWithT(t)
	ranked := []*SchedulingState{
		startedWithSlack(10 * time.Millisecond), startedWithSlack(400 * time.Millisecond), {Begun: true}, startedWithSlack(3 * time.Second),
		{HasFinish: true, Left: 2100 * time.Millisecond, ExpectedRemaining: 2 * time.Second}, {}, startedWithSlack(-time.Second), {HasFinish: true, ExpectedRemaining: time.Second},
	}
	tiersOf := []Tier{TierInTime, TierInTime, TierInTime, TierInTime, TierNew, TierNew, TierLate, TierNewLate}
	for index, one := range ranked {
		g.Expect(one.Tier()).To(Equal(tiersOf[index]))
		g.Expect(one.Tier().String()).NotTo(BeEmpty())
		if index > 0 {
			g.Expect(Before(1, ranked[index-1], 1, one)).To(BeTrue(), "%d before %d", index-1, index)
		}
	}
	g.Expect(Before(0, ranked[7], 1, ranked[0])).To(BeTrue(), "the more urgent priority goes first")
}

// TestOrderStarvesNobody checks that a new program goes before any other of its priority
// once it has waited through all tiers.
func TestOrderStarvesNobody(t *testing.T) {
	g := NewWithT(t)
	waiting := &SchedulingState{HasFinish: true, Left: time.Hour, Waited: time.Duration(tiers)*tierAgingTime + time.Millisecond}
	g.Expect(Before(1, waiting, 1, startedWithSlack(0))).To(BeTrue())
}

// TestBandsKeepPriorities checks that no turn ranks equal to or before one of a more
// urgent priority, whatever their state.
func TestBandsKeepPriorities(t *testing.T) {
	g := NewWithT(t)
	draws := rand.New(rand.NewPCG(9, 10))
	for _, priorities := range [][]int{{0, 1}, {0, 2}, {5}, {0, 1, 2, 3, 4}, {0, 1, 2, 3, 4, 5, 6, 7}, {2, 0, 2}} {
		bands := NewBands(priorities)
		sorted := slices.Compact(slices.Sorted(slices.Values(priorities)))
		for range 2000 {
			end := -1
			for _, priority := range sorted {
				one := startedWithSlack(time.Duration(draws.Int64N(int64(8*time.Second))) - 4*time.Second)
				one.Begun, one.Waited = draws.IntN(2) == 0, time.Duration(draws.Int64N(int64(2*time.Second)))
				one.HasFinish = draws.IntN(4) > 0
				urgency := bands.Urgency(priority, one)
				g.Expect(urgency).To(BeNumerically(">", end), "%v", priorities)
				g.Expect(urgency).To(BeNumerically(">=", priority))
				g.Expect(urgency).To(BeNumerically("<=", LeastUrgency))
				end = urgency
			}
		}
	}
}

// TestBandsDistinguishSlack checks that started programs with little slack rank before new
// and late ones of the same priority, and that turns without a finish time rank at their
// priority.
func TestBandsDistinguishSlack(t *testing.T) {
	g := NewWithT(t)
	bands := NewBands([]int{0, 1})
	fresh := &SchedulingState{HasFinish: true, Left: time.Second}
	lateAndNew := &SchedulingState{HasFinish: true, ExpectedRemaining: time.Second}
	g.Expect(bands.Urgency(1, startedWithSlack(0))).To(Equal(1))
	g.Expect(bands.Urgency(1, startedWithSlack(0))).To(BeNumerically("<", bands.Urgency(1, fresh)))
	g.Expect(bands.Urgency(1, fresh)).To(BeNumerically("<", bands.Urgency(1, startedWithSlack(-time.Second))))
	g.Expect(bands.Urgency(1, startedWithSlack(-time.Second))).To(BeNumerically("<", bands.Urgency(1, lateAndNew)))
	g.Expect(bands.Urgency(0, lateAndNew)).To(BeZero(), "there is no rank between the two priorities")
	g.Expect(bands.Urgency(1, &SchedulingState{})).To(Equal(1))
	g.Expect(bands.Urgency(12, &SchedulingState{})).To(Equal(LeastUrgency))
}
