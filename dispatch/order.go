package dispatch

import (
	"slices"
	"time"
)

// SchedulingState is what decides the order of competing turns: what the turn's program
// has done and still needs.
type SchedulingState struct {
	// Begun reports that the program has started.
	Begun bool
	// Left is the time until the program should finish, and HasFinish reports whether its
	// client gave such a time.
	Left      time.Duration
	HasFinish bool
	// ExpectedRemaining is how much longer programs of this kind usually take; 0 if
	// unknown.
	ExpectedRemaining time.Duration
	// Waited is how long the turn has waited for a slot.
	Waited time.Duration
}

// Tier is the coarse rank of a turn in the order.
type Tier int

// The tiers, in the order in which they are served.
const (
	// TierInTime: the program has started and can still finish in time.
	TierInTime Tier = iota
	// TierNew: the program has not started, and can finish in time.
	TierNew
	// TierLate: the program has started and can no longer finish in time. Its caller still
	// waits for it, and its work so far would be lost.
	TierLate
	// TierNewLate: the program has not started, and cannot finish in time.
	TierNewLate
	tiers
)

// String returns the label of the tier in logs and metrics.
func (t Tier) String() string { return [tiers]string{"in time", "new", "late", "new and late"}[t] }

// Slack returns the time that the program has beyond its expected remaining time, negative
// if it cannot finish in time. It is defaultSlack if the client gave no finish time.
func (s *SchedulingState) Slack() time.Duration {
	if !s.HasFinish {
		return defaultSlack
	}
	return s.Left - s.ExpectedRemaining
}

func (s *SchedulingState) Tier() Tier {
	inTime := s.Slack() >= 0
	switch {
	case s.Begun && inTime:
		return TierInTime
	case s.Begun:
		return TierLate
	case inTime:
		return TierNew
	default:
		return TierNewLate
	}
}

const (
	// defaultSlack is the slack of programs whose clients give no finish time: the time of
	// a few turns.
	defaultSlack = time.Second
	// maxSlack is the slack above which programs rank equally: none of them is at risk of
	// finishing late.
	maxSlack = 4 * time.Second
	// tierAgingTime is the wait after which a turn moves up one tier, so that no turn
	// starves: a fraction of the time that callers wait for one turn.
	tierAgingTime = 400 * time.Millisecond
)

// SortKey returns the turn's rank in the order; the lowest is served first. Turns of one
// tier are ordered by slack. Waiting moves a turn up, finally past every tier.
func (s *SchedulingState) SortKey() float64 {
	within := float64(min(max(s.Slack(), 0), maxSlack)) / float64(maxSlack+1)
	return float64(s.Tier()) + within - float64(s.Waited)/float64(tierAgingTime)
}

// Before reports whether a turn is served before another: by priority, then by sort key.
func Before(priority int, state *SchedulingState, otherPriority int, other *SchedulingState) bool {
	if priority != otherPriority {
		return priority < otherPriority
	}
	return state.SortKey() < other.SortKey()
}

// Bands maps the priorities of a service's routes and tenants to ranges of the urgency
// rank that engines use, from 0 (first) to LeastUrgency. Each range begins at its priority
// and ends before the next less urgent priority in use, so that a turn never ranks equal
// to or before one of a more urgent priority.
type Bands struct{ priorities []int }

// NewBands returns the bands for the priorities in use.
func NewBands(priorities []int) Bands {
	sorted := slices.Clone(priorities)
	slices.Sort(sorted)
	return Bands{priorities: slices.Compact(sorted)}
}

// Urgency returns the rank of a turn at engines: its priority, or a less urgent rank of
// the same band if turns of that priority are to be served before it.
func (b Bands) Urgency(priority int, state *SchedulingState) int {
	first := min(max(0, priority), LeastUrgency)
	if !state.HasFinish {
		return first
	}
	end := LeastUrgency + 1
	if index, _ := slices.BinarySearch(b.priorities, priority+1); index < len(b.priorities) {
		end = min(end, b.priorities[index])
	}
	position := min(max(state.SortKey()/float64(tiers), 0), 1)
	return max(first, min(first+int(position*float64(end-first)), end-1))
}
