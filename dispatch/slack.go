package dispatch

import "time"

// Progress is how a program's time left compares with what is usual for its route.
type Progress int

// The values of Progress. A program without a finish time is ProgressEven.
const (
	// ProgressLost: the finish time has passed.
	ProgressLost Progress = iota
	// ProgressAhead: clearly more time is left than usual at this stage.
	ProgressAhead
	// ProgressEven: about the usual time is left.
	ProgressEven
	// ProgressBehind: clearly less time is left than usual.
	ProgressBehind
)

// String returns the name of the progress in logs.
func (s Progress) String() string { return [...]string{"lost", "ahead", "even", "behind"}[s] }

// Slack tracks how much time programs of each route usually have left at each stage, and
// compares programs with it. It is not safe for concurrent use.
type Slack struct {
	// routes holds the usual time left of each route, by stage.
	routes map[string]*[maxStages]stageSlack
	// lastSeen holds when requests of each priority last arrived, by service.
	lastSeen map[string]*[priorityCount]time.Time
}

// stageSlack is the mean time left at one stage, in nanoseconds, and the number of
// programs in the mean.
type stageSlack struct {
	left, programs float64
}

const (
	// maxStages bounds the stages of a program, which are its turns; later turns count as
	// the last stage.
	maxStages = 24
	// stageMemory is how many programs the mean of a stage covers, and minStagePrograms
	// how many it needs before it is used.
	stageMemory      = 50
	minStagePrograms = 5
	// aheadFactor and behindFactor are the multiples of the usual time left above and
	// below which a program is ahead or behind. The range between them covers the usual
	// variation of program lengths.
	aheadFactor  = 1.25
	behindFactor = 0.8
	// maxTrackedNames bounds the routes, and the services, that are tracked.
	maxTrackedNames = 200
	// priorityCount is the number of priorities, and priorityTTL how long after its last
	// request a priority counts as in use.
	priorityCount = 10
	priorityTTL   = 10 * time.Second
)

// NewSlack returns a Slack without observations.
func NewSlack() *Slack {
	return &Slack{routes: make(map[string]*[maxStages]stageSlack), lastSeen: make(map[string]*[priorityCount]time.Time)}
}

// Observe records the time left of a program at a stage, and returns its progress.
func (s *Slack) Observe(route string, stage int, left time.Duration) Progress {
	stages := s.routes[route]
	if stages == nil {
		if len(s.routes) >= maxTrackedNames {
			clear(s.routes)
		}
		stages = &[maxStages]stageSlack{}
		s.routes[route] = stages
	}
	mean := &stages[min(max(0, stage), maxStages-1)]
	progress := mean.progress(float64(left))
	if left > 0 {
		// Programs past their finish time do not show how much time programs need.
		mean.programs = min(mean.programs+1, stageMemory)
		mean.left += (float64(left) - mean.left) / mean.programs
	}
	return progress
}

// progress compares the given time left with the mean of the stage.
func (s *stageSlack) progress(left float64) Progress {
	switch {
	case left <= 0:
		return ProgressLost
	case s.programs < minStagePrograms:
		return ProgressEven
	case left < behindFactor*s.left:
		return ProgressBehind
	case left > aheadFactor*s.left:
		return ProgressAhead
	default:
		return ProgressEven
	}
}

// SpeedBias returns how strongly a program with the given progress prefers the fast
// replicas of its service: 1 before others, 0 by its share, -1 after others. If the
// service has requests of several priorities, only the most urgent may go before their
// share and only the least urgent after it, so that no program is preferred to a more
// urgent one.
func (s *Slack) SpeedBias(now time.Time, service string, priority int, progress Progress) int {
	seen := s.lastSeen[service]
	if seen == nil {
		if len(s.lastSeen) >= maxTrackedNames {
			clear(s.lastSeen)
		}
		seen = &[priorityCount]time.Time{}
		s.lastSeen[service] = seen
	}
	rank := min(max(0, priority), priorityCount-1)
	seen[rank] = now
	first, last := rank, rank
	for other, at := range seen {
		if !at.IsZero() && now.Sub(at) <= priorityTTL {
			first, last = min(first, other), max(last, other)
		}
	}
	lowest, highest := -1, 1
	if rank > first {
		highest = 0
	}
	if rank < last {
		lowest = 0
	}
	return min(max(lowest, progress.speedBias()), highest)
}

// speedBias returns the bias for a progress, regardless of priorities.
func (s Progress) speedBias() int {
	switch s {
	case ProgressBehind:
		return 1
	case ProgressAhead, ProgressLost:
		return -1
	default:
		return 0
	}
}
