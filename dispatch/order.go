package dispatch

import (
	"slices"
	"time"
)

// Standing is what a turn's program has done and needs, when turns compete.
type Standing struct {
	// Begun says that the program is under way.
	Begun bool
	// Left is the time until the program is to be over, and HasLeft whether its client
	// says so.
	Left    time.Duration
	HasLeft bool
	// Need is how much longer the program takes as a rule; 0 where that is not known.
	Need time.Duration
	// Waited is how long the turn has waited for room.
	Waited time.Duration
}

// Tier is the part of the order that a turn belongs to.
type Tier int

// The tiers, the first to be served first.
const (
	// TierInTime: the program is under way and can still be in time.
	TierInTime Tier = iota
	// TierNew: the program has not begun, and can be in time.
	TierNew
	// TierLate: the program is under way and cannot be in time any more. Its caller still
	// waits for it, and what it has done would be lost.
	TierLate
	// TierNewLate: the program has not begun, and cannot be in time.
	TierNewLate
	tiers
)

// String returns the tier as logs and metrics name it.
func (t Tier) String() string { return [tiers]string{"in time", "new", "late", "new and late"}[t] }

// Slack returns the time that the program has beyond what it needs, below zero where it
// cannot be in time. Without the client's word it has slackUnknown.
func (s *Standing) Slack() time.Duration {
	if !s.HasLeft {
		return defaultSlack
	}
	return s.Left - s.Need
}

// Tier returns the tier of the turn.
func (s *Standing) Tier() Tier {
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
	// defaultSlack is the slack of programs whose clients name no time: a few turns'.
	defaultSlack = time.Second
	// maxSlack is the slack beyond which programs are alike: none of them is near its
	// end.
	maxSlack = 4 * time.Second
	// tierAgingTime is the wait by which a turn moves up one tier, so that none waits for ever:
	// a part of what callers bear for one turn.
	tierAgingTime = 400 * time.Millisecond
)

// SortKey returns where the turn stands in the order: the least is served first. Turns of one
// tier go by their slack, and waiting moves a turn up, past every tier in the end.
func (s *Standing) SortKey() float64 {
	within := float64(min(max(s.Slack(), 0), maxSlack)) / float64(maxSlack+1)
	return float64(s.Tier()) + within - float64(s.Waited)/float64(tierAgingTime)
}

// Before orders two turns that compete: the more urgent by priority first, then by their
// keys.
func Before(priority int, standing *Standing, otherPriority int, other *Standing) bool {
	if priority != otherPriority {
		return priority < otherPriority
	}
	return standing.SortKey() < other.SortKey()
}

// Bands maps the priorities of a service's routes and tenants to ranges of the urgency
// that engines know, 0 first to LeastUrgency: each begins at its priority and ends before
// the next less urgent one in use, so that no turn is ever ranked with or before one of a
// more urgent priority.
type Bands struct{ priorities []int }

// NewBands returns the bands for the priorities that are in use.
func NewBands(priorities []int) Bands {
	sorted := slices.Clone(priorities)
	slices.Sort(sorted)
	return Bands{priorities: slices.Compact(sorted)}
}

// Urgency returns the rank of a turn at engines: its priority, unless its program has less
// claim than others of the same priority and the band has room to say so.
func (b Bands) Urgency(priority int, standing *Standing) int {
	first := min(max(0, priority), LeastUrgency)
	if !standing.HasLeft {
		return first
	}
	end := LeastUrgency + 1
	if index, _ := slices.BinarySearch(b.priorities, priority+1); index < len(b.priorities) {
		end = min(end, b.priorities[index])
	}
	share := min(max(standing.SortKey()/float64(tiers), 0), 1)
	return max(first, min(first+int(share*float64(end-first)), end-1))
}
