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
	routes map[string]*[slackStages]slackStage
	// ranks is when a service's requests of each priority came last.
	ranks map[string]*[slackRanks]time.Time
}

// slackStage is what programs have left in the mean, in nanoseconds, and how many they were.
type slackStage struct {
	left, programs float64
}

const (
	// slackStages bounds the stages of a program that are told apart: its turns.
	slackStages = 24
	// slackPrograms is how many programs the mean of a stage holds, and slackLeast how
	// many have to be known.
	slackPrograms = 50
	slackLeast    = 5
	// slackAhead and slackBehind are the shares of the usual time left from which on, and
	// up to which, a program is ahead or behind. Between lies what the lengths of programs
	// differ by anyway.
	slackAhead  = 1.25
	slackBehind = 0.8
	// slackNames bounds the routes and the services that are followed.
	slackNames = 200
	// slackRanks is how many priorities there are, and slackRecent for how long one that
	// was seen is taken to have requests.
	slackRanks  = 10
	slackRecent = 10 * time.Second
)

// NewSlack returns a Slack that knows no route.
func NewSlack() *Slack {
	return &Slack{routes: make(map[string]*[slackStages]slackStage), ranks: make(map[string]*[slackRanks]time.Time)}
}

// Observe takes in a turn of a program at a stage with so much time left, and tells how the
// program compares.
func (s *Slack) Observe(route string, stage int, left time.Duration) Progress {
	known := s.routes[route]
	if known == nil {
		if len(s.routes) >= slackNames {
			clear(s.routes)
		}
		known = &[slackStages]slackStage{}
		s.routes[route] = known
	}
	at := &known[min(max(0, stage), slackStages-1)]
	progress := at.progress(float64(left))
	if left > 0 {
		// What is lost already says nothing of what programs need.
		at.programs = min(at.programs+1, slackPrograms)
		at.left += (float64(left) - at.left) / at.programs
	}
	return progress
}

// progress tells how a program compares that has so much time left.
func (s *slackStage) progress(left float64) Progress {
	switch {
	case left <= 0:
		return ProgressLost
	case s.programs < slackLeast:
		return ProgressEven
	case left < slackBehind*s.left:
		return ProgressBehind
	case left > slackAhead*s.left:
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
	known := s.ranks[service]
	if known == nil {
		if len(s.ranks) >= slackNames {
			clear(s.ranks)
		}
		known = &[slackRanks]time.Time{}
		s.ranks[service] = known
	}
	rank := min(max(0, priority), slackRanks-1)
	known[rank] = now
	first, last := rank, rank
	for other, at := range known {
		if !at.IsZero() && now.Sub(at) <= slackRecent {
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
	return min(max(least, progress.haste()), most)
}

// haste is what a progress calls for.
func (s Progress) haste() int {
	switch s {
	case ProgressBehind:
		return 1
	case ProgressAhead, ProgressLost:
		return -1
	default:
		return 0
	}
}
