package replica

import "time"

// Report is what a node reports to its peers about one replica.
type Report struct {
	// Requests is the number of this node's requests in flight at the replica.
	Requests int
	// TokenTime is the time per generated token that this node measured recently, corrected to
	// a replica without concurrent requests, and Samples the number of turns it is based on.
	// Both are 0 without recent turns.
	TokenTime time.Duration
	Samples   int
}

// Total aggregates the reports of all other nodes about one replica.
type Total struct {
	Requests  float64
	TokenTime time.Duration
	Samples   int
}

// Report returns this node's requests in flight and recently measured token times, by replica.
func (s *Set) Report(now time.Time) map[ID]Report {
	reports := make(map[ID]Report, len(s.busy))
	for id, known := range s.busy {
		reports[id] = Report{Requests: known.ownRequests}
	}
	s.addTokenTimes(now, reports)
	return reports
}

// ApplyTokenTimes applies the token times that all other nodes measured.
func (s *Set) ApplyTokenTimes(now time.Time, totals map[ID]Total) {
	if s.config.Disabled.TokenTimes {
		return
	}
	for id, total := range totals {
		if known := s.byID[id]; known != nil {
			known.tokenTime.ObserveReport(now, total.TokenTime, total.Samples)
		}
	}
}
