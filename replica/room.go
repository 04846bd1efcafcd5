package replica

import (
	"time"

	"birchwood.example/birchwood/dispatch"
)

// Room returns how full the replicas are that may take a request: the emptiest of them,
// and all together. A cold one that is at its rate counts as full. Both are 0 where none
// may take it, or how many requests one works on at once is not known. Of a large service a
// window of replicas is looked at, which grows while even the emptiest in it is full.
func (s *Set) Room(now time.Time, request *Request) dispatch.Room {
	least := s.Pressure(now, request)
	candidates := s.selectCandidates(now, request)
	loads := s.estimateFromReports(candidates)
	load, slots := 0., 0.
	for _, m := range candidates {
		if s.checkPlacement(now, request, m) != nil {
			continue
		}
		if m.entry.Slots <= 0 {
			return dispatch.Room{}
		}
		load += s.effectiveLoad(now, &loads, m)
		slots += float64(m.entry.Slots)
	}
	if slots == 0 {
		return dispatch.Room{}
	}
	return dispatch.Room{Least: least, Mean: load / slots}
}
