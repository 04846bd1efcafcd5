package dispatch

import "time"

// Progress is how a program stands against its time.
type Progress int

// The values of Progress. A program whose time is not known is even.
const (
	// ProgressLost is past its time: it can't be in time any more.
	ProgressLost Progress = iota
	// ProgressAhead has clearly more time left than programs usually have at its stage.
	ProgressAhead
	// ProgressEven has what they usually have.
	ProgressEven
	// ProgressBehind has clearly less.
	ProgressBehind
)

// String names the progress for the log.
func (s Progress) String() string { return [...]string{"lost", "ahead", "even", "behind"}[s] }

// Slack learns how much time the programs of each route usually have left at each stage,
// and tells how one compares. It is not safe for concurrent use.
type Slack struct {
	// routes are what the programs of each route have left, by stage.
	routes map[string]*[maxStages]stageSlack
	// lastSeen is when a service's requests of each priority came last.
	lastSeen map[string]*[priorityCount]time.Time
}

// stageSlack is what programs have left in the mean, in nanoseconds, and how many they were.
type stageSlack struct {
	left, programs float64
}

const (
	// maxStages bounds the stages of a program that are told apart: its turns.
	maxStages = 24
	// stageMemory is how many programs the mean of a stage holds, and slackLeast how
	// many have to be known.
	stageMemory      = 50
	minStagePrograms = 5
	// aheadFactor and slackBehind are the shares of the usual time left from which on, and
	// up to which, a program is ahead or behind. Between lies what the lengths of programs
	// differ by anyway.
	aheadFactor  = 1.25
	behindFactor = 0.8
	// maxTrackedNames bounds the routes and the services that are followed.
	maxTrackedNames = 200
	// priorityCount is how many priorities there are, and slackRecent for how long one that
	// was seen is taken to have requests.
	priorityCount = 10
	priorityTTL   = 10 * time.Second
)

// NewSlack returns a Slack that knows no route.
func NewSlack() *Slack {
	return &Slack{routes: make(map[string]*[maxStages]stageSlack), lastSeen: make(map[string]*[priorityCount]time.Time)}
}

// Observe takes in a turn of a program at a stage with so much time left, and tells how the
// program compares.
func (s *Slack) Observe(route string, stage int, left time.Duration) Progress {
	entry := s.routes[route]
	if entry == nil {
		if len(s.routes) >= maxTrackedNames {
			clear(s.routes)
		}
		entry = &[maxStages]stageSlack{}
		s.routes[route] = entry
	}
	at := &entry[min(max(0, stage), maxStages-1)]
	progress := at.progress(float64(left))
	if left > 0 {
		// What is lost already says nothing of what programs need.
		at.programs = min(at.programs+1, stageMemory)
		at.left += (float64(left) - at.left) / at.programs
	}
	return progress
}

// progress tells how a program compares that has so much time left.
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

// Haste returns how a program of such progress takes the fast replicas of its service: 1
// before others, 0 as its share, -1 after others. Where the service has requests of several
// priorities, only the most urgent come before their share, and only the least urgent after
// it: none is served better than a more urgent one.
func (s *Slack) Haste(now time.Time, service string, priority int, progress Progress) int {
	entry := s.lastSeen[service]
	if entry == nil {
		if len(s.lastSeen) >= maxTrackedNames {
			clear(s.lastSeen)
		}
		entry = &[priorityCount]time.Time{}
		s.lastSeen[service] = entry
	}
	rank := min(max(0, priority), priorityCount-1)
	entry[rank] = now
	first, last := rank, rank
	for other, at := range entry {
		if !at.IsZero() && now.Sub(at) <= priorityTTL {
			first, last = min(first, other), max(last, other)
		}
	}
	least, most := -1, 1
	if rank > first {
		most = 0
	}
	if rank < last {
		least = 0
	}
	return min(max(least, progress.speedBias()), most)
}

// haste is what a progress calls for.
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
