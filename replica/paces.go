package replica

import "time"

// paceReported is for how long a turn's pace is told to other nodes: what is older says
// nothing of now.
const paceReported = 2 * time.Second

// reportPaces adds what this node measured lately.
func (s *Set) reportPaces(now time.Time, reports map[ID]Report) {
	for id, known := range s.paced {
		token, samples := known.pace.Lately(now, paceReported)
		if samples == 0 {
			delete(s.paced, id)
			continue
		}
		report := reports[id]
		report.TokenTime, report.Samples = token, samples
		reports[id] = report
	}
}

// takePace takes in what the other nodes measured at a replica.
func (s *Set) takePace(now time.Time, known *member, total Total) {
	known.pace.Hear(now, total.TokenTime, total.Samples)
}
