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
	weighed := s.weighable(now, request)
	view := s.viewOf(weighed)
	load, slots := 0., 0.
	for _, one := range weighed {
		if s.mayTake(now, request, one) != nil {
			continue
		}
		if one.entry.Slots <= 0 {
			return dispatch.Room{}
		}
		load += s.occupied(now, &view, one)
		slots += float64(one.entry.Slots)
	}
	if slots == 0 {
		return dispatch.Room{}
	}
	return dispatch.Room{Least: least, Mean: load / slots}
}
