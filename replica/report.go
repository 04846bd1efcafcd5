package replica

import "time"

// Report is what a node tells its peers of one replica.
type Report struct {
	// Requests is how many requests of this node are under way there.
	Requests int
	// TokenTime is the time of a generated token that this node measured lately, as it
	// would be with no request beside, and Samples how many turns it rests on; 0 where
	// there are none.
	TokenTime time.Duration
	Samples   int
}

// Total is what all other nodes together have and measured at one replica.
type Total struct {
	Requests  float64
	TokenTime time.Duration
	Samples   int
}

// Report returns this node's requests under way and the paces it measured lately, by
// replica.
func (s *Set) Report(now time.Time) map[ID]Report {
	reports := make(map[ID]Report, len(s.busy))
	for id, known := range s.busy {
		reports[id] = Report{Requests: known.ownRequests}
	}
	s.addTokenTimes(now, reports)
	return reports
}

// TakePaces takes in what all other nodes together measured.
func (s *Set) TakePaces(now time.Time, totals map[ID]Total) {
	if s.config.Without.Pace {
		return
	}
	for id, total := range totals {
		if known := s.byID[id]; known != nil {
			known.tokenTime.Hear(now, total.TokenTime, total.Samples)
		}
	}
}
