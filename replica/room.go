package replica

import (
	"time"

	"birchwood.example/birchwood/dispatch"
)

// Utilisation returns the utilisation (requests in flight per slot) of the replicas that may
// take the request: that of the least loaded one, and the mean. A cold replica that has reached
// its cold rate counts as full. Both are 0 if no replica may take the request or if any such
// replica's number of slots is unknown. For a large service a window of replicas is evaluated,
// and grown while every replica in it is full.
func (s *Set) Utilisation(now time.Time, request *Request) dispatch.Utilisation {
	least := s.MinUtilisation(now, request)
	candidates := s.selectCandidates(now, request)
	loads := s.estimateFromReports(candidates)
	load, slots := 0., 0.
	for _, m := range candidates {
		if s.checkPlacement(now, request, m) != nil {
			continue
		}
		if m.entry.Slots <= 0 {
			return dispatch.Utilisation{}
		}
		load += s.effectiveLoad(now, &loads, m)
		slots += float64(m.entry.Slots)
	}
	if slots == 0 {
		return dispatch.Utilisation{}
	}
	return dispatch.Utilisation{Least: least, Mean: load / slots}
}
