package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// epoch is the start time of simulations.
var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestRetryAfterIsBounded checks that no caller gets a retry delay of 0, or one longer
// than it tolerates, whatever the cause.
func TestRetryAfterIsBounded(t *testing.T) {
	g := NewWithT(t)
	draws := rand.New(rand.NewPCG(1, 2))
	for cause := range causes {
		for range 2000 {
			refusal := &Refusal{
				Cause: cause, Lasted: time.Duration(draws.Int64N(int64(9 * time.Second))), Left: time.Duration(draws.Int64N(int64(4 * time.Second))),
				RecentRefusals: draws.Float64() * 500, ServiceRate: draws.Float64() * 50, Begun: draws.IntN(2) == 0, Urgency: draws.IntN(12), Draw: draws.Float64(),
			}
			after := refusal.RetryAfter()
			g.Expect(after).To(BeNumerically(">", 0), "%+v", refusal)
			g.Expect(after).To(BeNumerically("<=", max(refusal.Left/3, time.Millisecond)), "%+v", refusal)
		}
		g.Expect(cause.String()).NotTo(BeEmpty())
	}
}

// TestRetryAfterGrowsWithOutage checks that callers wait longer the longer an outage has
// lasted, and until its end if that is known.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	g := NewWithT(t)
	early := (&Refusal{Cause: CauseStoreUnavailable, Left: 20 * time.Second}).RetryAfter()
	late := (&Refusal{Cause: CauseStoreUnavailable, Lasted: 2 * time.Second, Left: 20 * time.Second}).RetryAfter()
	endless := (&Refusal{Cause: CauseStoreUnavailable, Lasted: time.Hour, Left: 20 * time.Second}).RetryAfter()
	g.Expect(early).To(BeNumerically(">=", outageBounds.minimum))
	g.Expect(late).To(BeNumerically(">=", 2*time.Second))
	g.Expect(endless).To(BeNumerically("<=", outageBounds.maximum*5/4))
	short := &Refusal{Cause: CauseStoreUnavailable, Lasted: 2 * time.Second, Left: 3 * time.Second}
	g.Expect(short.RetryAfter()).To(BeNumerically(">=", 900*time.Millisecond), "as late as the caller bears")
	known := (&Refusal{Cause: CauseIsolated, EndsIn: 900 * time.Millisecond, Left: 20 * time.Second, Draw: 0.5}).RetryAfter()
	g.Expect(known).To(BeNumerically("~", 1050*time.Millisecond, 150*time.Millisecond))
}

// TestRetryAfterOrder checks that started programs retry before new ones, and more urgent
// ones earlier, whatever the random numbers.
func TestRetryAfterOrder(t *testing.T) {
	g := NewWithT(t)
	draws := rand.New(rand.NewPCG(3, 4))
	refusal := Refusal{Cause: CauseFull, Left: 30 * time.Second, RecentRefusals: 80, ServiceRate: 80}
	mean := func(begun bool, urgency int) (mean, first, last time.Duration) {
		first = time.Hour
		for range 500 {
			one := refusal
			one.Begun, one.Urgency, one.Draw = begun, urgency, draws.Float64()
			after := one.RetryAfter()
			mean += after / 500
			first, last = min(first, after), max(last, after)
		}
		return mean, first, last
	}
	urgent, _, _ := mean(true, 0)
	other, _, lastBegun := mean(true, 9)
	fresh, firstFresh, _ := mean(false, 0)
	g.Expect(urgent).To(BeNumerically("<", other))
	g.Expect(other).To(BeNumerically("<", fresh))
	g.Expect(firstFresh).To(BeNumerically(">=", lastBegun))
}

// TestRetriesAreSpread simulates an outage of five seconds at a node that served 40
// requests per second. It guards against a burst of retries at its end: the refused
// requests retry over more than a second.
func TestRetriesAreSpread(t *testing.T) {
	g := NewWithT(t)
	draws := rand.New(rand.NewPCG(5, 6))
	var returns RefusalTracker
	now := epoch
	for range 40 * 3 {
		returns.ObserveServed(now)
		now = now.Add(25 * time.Millisecond)
	}
	began := now
	comes := map[int64]int{}
	tries := 0
	queue := []time.Time{}
	for step := range 40 * 5 {
		queue = append(queue, began.Add(time.Duration(step)*25*time.Millisecond))
	}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		if at.Sub(began) >= 5*time.Second {
			comes[at.Sub(began).Milliseconds()/100]++
			continue
		}
		refusal := &Refusal{Cause: CauseStoreUnavailable, Left: 6 * time.Second, Begun: draws.IntN(2) == 0, Draw: draws.Float64()}
		returns.ObserveRefusal(at, refusal)
		g.Expect(refusal.ServiceRate).To(BeNumerically("~", 40, 1))
		tries++
		queue = insertTime(queue, at.Add(refusal.RetryAfter()))
	}
	peak, total := 0, 0
	for _, count := range comes {
		peak, total = max(peak, count), total+count
	}
	g.Expect(total).To(Equal(200))
	g.Expect(len(comes)).To(BeNumerically(">=", 12), "tenths of a second over which they come: %v", comes)
	g.Expect(peak).To(BeNumerically("<=", 40), "in a tenth of a second: %v", comes)
	g.Expect(tries).To(BeNumerically("<=", 4*200), "tries used up while it lasted")
}

// insertTime inserts a time into a sorted list.
func insertTime(times []time.Time, at time.Time) []time.Time {
	index := len(times)
	for index > 0 && times[index-1].After(at) {
		index--
	}
	times = append(times, time.Time{})
	copy(times[index+1:], times[index:])
	times[index] = at
	return times
}

// TestRefusalTrackerExpiry checks that the age of a cause starts anew after the cause has
// ended.
func TestRefusalTrackerExpiry(t *testing.T) {
	g := NewWithT(t)
	var returns RefusalTracker
	refuse := func(after time.Duration) Refusal {
		refusal := Refusal{Cause: CauseNoOwner}
		returns.ObserveRefusal(epoch.Add(after), &refusal)
		return refusal
	}
	g.Expect(refuse(0).Lasted).To(BeZero())
	g.Expect(refuse(900 * time.Millisecond).Lasted).To(Equal(900 * time.Millisecond))
	g.Expect(refuse(1800 * time.Millisecond).Lasted).To(Equal(1800 * time.Millisecond))
	again := refuse(4 * time.Second)
	g.Expect(again.Lasted).To(BeZero())
	g.Expect(again.RecentRefusals).To(Equal(1.))
}
