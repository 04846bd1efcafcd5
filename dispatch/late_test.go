package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRepeat checks that a late call is repeated only if the repeat can bring an answer.
func TestRepeat(t *testing.T) {
	for _, one := range []struct {
		call LateCall
		want RepeatVerdict
	}{
		{LateCall{Utilisation: 0.5, Left: time.Second, TypicalDuration: 30 * time.Millisecond}, RepeatSent},
		{LateCall{Utilisation: 0.99, Left: 30 * time.Millisecond, TypicalDuration: 30 * time.Millisecond}, RepeatSent},
		{LateCall{Utilisation: 0.5, Left: 29 * time.Millisecond, TypicalDuration: 30 * time.Millisecond}, RepeatNoTime},
		{LateCall{Left: 19 * time.Millisecond}, RepeatNoTime},
		{LateCall{Utilisation: 1, Left: time.Second}, RepeatFull},
	} {
		NewWithT(t).Expect(DecideRepeat(&one.call)).To(Equal(one.want), "%+v", one.call)
	}
}

// toolFleet simulates calls to 36 replicas of 6 slots in virtual time. In 15 of 100
// intervals of 0.6 s a replica takes 2.5 times as long. A call goes to the least loaded
// replica, waits there for a slot, and is repeated when it is late. Its work is the same
// however often it is sent.
type toolFleet struct {
	random       *rand.Rand
	limitRepeats bool
	queue        toolEvents
	now          time.Duration
	// free holds the times at which the slots of each replica become free.
	free    [toolReplicas][toolSlots]time.Duration
	times   []time.Duration
	repeats int
	// budget is how many repeats may be sent: a tenth of the calls that were answered.
	budget float64
}

const (
	toolReplicas     = 36
	toolSlots        = 6
	toolLateAfter    = 180 * time.Millisecond
	toolSlowdownTime = 600 * time.Millisecond
	toolSlowdown     = 2.5
)

type toolEvent struct {
	at time.Duration
	do func()
}

type toolEvents []toolEvent

func (e toolEvents) Len() int           { return len(e) }
func (e toolEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e toolEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *toolEvents) Push(x any)        { *e = append(*e, x.(toolEvent)) }
func (e *toolEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// inFlight returns the number of unfinished requests at a replica, at most its slots.
func (f *toolFleet) inFlight(replica int) (count int) {
	for _, free := range f.free[replica] {
		if free > f.now {
			count++
		}
	}
	return count
}

// leastLoaded returns the least loaded replica, searching from a random one.
func (f *toolFleet) leastLoaded() (best int) {
	start := f.random.IntN(toolReplicas)
	best = start
	for step := range toolReplicas {
		if one := (start + step) % toolReplicas; f.inFlight(one) < f.inFlight(best) {
			best = one
		}
	}
	return best
}

// send runs a call at a replica, and returns when it ends.
func (f *toolFleet) send(replica int, work time.Duration) time.Duration {
	slot := 0
	for other, free := range f.free[replica] {
		if free < f.free[replica][slot] {
			slot = other
		}
	}
	begins := max(f.now, f.free[replica][slot])
	slowdown := rand.New(rand.NewPCG(uint64(replica), uint64(begins/toolSlowdownTime)))
	if slowdown.Float64() < 0.15 {
		work = time.Duration(float64(work) * toolSlowdown)
	}
	f.free[replica][slot] = begins + work
	return begins + work
}

func (f *toolFleet) call() {
	arrived := f.now
	work := min(time.Duration(16*math.Exp(f.random.NormFloat64())*float64(time.Millisecond)), 107*time.Millisecond)
	ends := f.send(f.leastLoaded(), work)
	if ends-arrived <= toolLateAfter {
		f.times = append(f.times, ends-arrived)
		f.budget = min(10, f.budget+0.1)
		return
	}
	heap.Push(&f.queue, toolEvent{arrived + toolLateAfter, func() {
		other := f.leastLoaded()
		late := LateCall{Utilisation: float64(f.inFlight(other)) / toolSlots, Left: time.Second}
		if f.budget >= 1 && (!f.limitRepeats || DecideRepeat(&late) == RepeatSent) {
			f.budget--
			f.repeats++
			ends = min(ends, f.send(other, work))
		}
		f.times = append(f.times, ends-arrived)
	}})
}

// simulateTools simulates calls for 10 s, with a burst in the middle.
func simulateTools(limitRepeats bool, usual, burst float64) *toolFleet {
	fleet := &toolFleet{random: rand.New(rand.NewPCG(11, 3)), limitRepeats: limitRepeats}
	var arrive func()
	arrive = func() {
		rate := usual
		if fleet.now > 4*time.Second && fleet.now < 6*time.Second {
			rate = burst
		}
		fleet.call()
		next := fleet.now + time.Duration(fleet.random.ExpFloat64()/rate*float64(time.Second))
		if next < 10*time.Second {
			heap.Push(&fleet.queue, toolEvent{next, arrive})
		}
	}
	heap.Push(&fleet.queue, toolEvent{0, arrive})
	for len(fleet.queue) > 0 {
		next := heap.Pop(&fleet.queue).(toolEvent)
		fleet.now = next.at
		next.do()
	}
	return fleet
}

func meanTime(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, one := range times {
		sum += one
	}
	return sum / time.Duration(len(times))
}

// TestRepeatsDuringOverload checks that repeats do not prolong an overload: while every
// replica is full, late calls are not repeated.
func TestRepeatsDuringOverload(t *testing.T) {
	g := NewWithT(t)
	before, limited := simulateTools(false, 2000, 11000), simulateTools(true, 2000, 11000)
	t.Logf("repeats %d and %d of %d calls, mean %v and %v", before.repeats, limited.repeats, len(before.times), meanTime(before.times), meanTime(limited.times))
	g.Expect(limited.repeats).To(BeNumerically("<", before.repeats/2))
	g.Expect(meanTime(limited.times)).To(BeNumerically("<", meanTime(before.times)*95/100))
	normal, normalLimited := simulateTools(false, 2000, 2000), simulateTools(true, 2000, 2000)
	g.Expect(normalLimited.repeats).To(Equal(normal.repeats))
}
