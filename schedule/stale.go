package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Load reports arrive late and every node reads the same ones. If each node
// chose the engine that looks least loaded, all would choose the same engine.
// So a cold candidate is drawn at random, with a probability proportional to
// the room that the other nodes' calls since the report have probably left
// ("load interpretation", Dahlin 2000). With a fresh report the least loaded
// candidate is certain; with an old one all are about equally likely.

// coldOption is one cold candidate.
type coldOption struct {
	prediction prediction
	// relativeLoad is the difference between the candidate's score and the
	// lowest score, in calls.
	relativeLoad float64
}

// drawByLoad draws one of s.coldOptions at random. age is the age of the oldest
// load report that is not stale, and service the mean time of a call in an
// engine.
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

// expectedArrivals estimates how many calls have reached the candidates since
// their load reports. Under steady load that equals the number of calls that
// have ended.
func (s *Scheduler) expectedArrivals(age, service time.Duration) float64 {
	running := 0
	for _, each := range s.coldOptions {
		running += each.prediction.peers
	}
	return float64(running) * min(age.Seconds()/max(service.Seconds(), 0.001), 1)
}

// waterLevel returns the load that the candidates reach if the arrivals are
// spread over the least loaded ones until their loads are equal
// ("water-filling"). s.coldOptions must be sorted by load.
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
