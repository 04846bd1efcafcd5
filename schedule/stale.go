package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Load reports are late, and every node reads the same ones: if each took the
// engine that looks least loaded, they would all take the same. So the choice
// among cold candidates is by chance, in proportion to the room that the other
// nodes' calls since the report have probably left ("load interpretation",
// Dahlin 2000): with a fresh report the least loaded is certain, and with an
// old one every candidate is about as likely.

// option is one cold candidate.
type option struct {
	prediction prediction
	// load is the candidate's score, in calls more than the best one's.
	load float64
}

// interpret draws one of s.options. Age is that of the oldest report, and
// service how long a call stays in an engine.
func (s *Scheduler) interpret(age, service time.Duration) prediction {
	slices.SortStableFunc(s.options, func(a, b option) int { return cmp.Compare(a.load, b.load) })
	level := s.level(s.arrivals(age, service))
	room := 0.0
	for _, each := range s.options {
		room += max(level-each.load, 0)
	}
	drawn := s.config.Random.Float64() * room
	for _, each := range s.options {
		drawn -= max(level-each.load, 0)
		if drawn < 0 {
			return each.prediction
		}
	}
	return s.options[0].prediction
}

// arrivals is how many calls have probably reached the options since their
// reports: as many as have ended, if their load is steady.
func (s *Scheduler) arrivals(age, service time.Duration) float64 {
	running := 0
	for _, each := range s.options {
		running += each.prediction.peers
	}
	return float64(running) * min(age.Seconds()/max(service.Seconds(), 0.001), 1)
}

// level is the load that the options reach when so many calls fill up the
// least loaded ones evenly. The options are sorted by load.
func (s *Scheduler) level(arrivals float64) float64 {
	sum, level := arrivals, 0.0
	for i, each := range s.options {
		sum += each.load
		level = sum / float64(i+1)
		if i+1 < len(s.options) && level <= s.options[i+1].load {
			break
		}
	}
	return level
}
