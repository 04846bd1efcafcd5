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

// coldOption is one cold candidate.
type coldOption struct {
	prediction prediction
	// relativeLoad is the candidate's score, in calls more than the best one's.
	relativeLoad float64
}

// drawByLoad draws one of s.options. Age is that of the oldest report, and
// service how long a call stays in an engine.
func (s *Scheduler) drawByLoad(age, service time.Duration) prediction {
	slices.SortStableFunc(s.coldOptions, func(a, b coldOption) int { return cmp.Compare(a.relativeLoad, b.relativeLoad) })
	waterLevel := s.waterLevel(s.expectedArrivals(age, service))
	room := 0.0
	for _, each := range s.coldOptions {
		room += max(waterLevel-each.relativeLoad, 0)
	}
	drawn := s.config.Random.Float64() * room
	for _, each := range s.coldOptions {
		drawn -= max(waterLevel-each.relativeLoad, 0)
		if drawn < 0 {
			return each.prediction
		}
	}
	return s.coldOptions[0].prediction
}

// expectedArrivals is how many calls have probably reached the options since their
// reports: as many as have ended, if their load is steady.
func (s *Scheduler) expectedArrivals(age, service time.Duration) float64 {
	running := 0
	for _, each := range s.coldOptions {
		running += each.prediction.peers
	}
	return float64(running) * min(age.Seconds()/max(service.Seconds(), 0.001), 1)
}

// waterLevel is the load that the options reach when so many calls fill up the
// least loaded ones evenly. The options are sorted by load.
func (s *Scheduler) waterLevel(arrivals float64) float64 {
	sum, waterLevel := arrivals, 0.0
	for i, each := range s.coldOptions {
		sum += each.relativeLoad
		waterLevel = sum / float64(i+1)
		if i+1 < len(s.coldOptions) && waterLevel <= s.coldOptions[i+1].relativeLoad {
			break
		}
	}
	return waterLevel
}
