package replica

import (
	"errors"
	"maps"
	"time"

	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/zone"
)

// SetEvacuated tells which zones are to get no requests, and since when.
func (s *Set) SetEvacuated(zones map[zone.Name]time.Time) { s.evacuated = maps.Clone(zones) }

// mayTake returns nil where a replica may get a request, or why it may not: whatever
// its load, and whatever was tried before.
func (s *Set) mayTake(now time.Time, request *Request, one *member) error {
	if !one.mayServe(now) {
		return ErrNoReplica
	}
	place := zone.Name(one.entry.Zone)
	if !request.Homes.Permit(place) {
		return ErrOutside
	}
	since, evacuated := s.evacuated[place]
	if !evacuated || s.mayStay(now, request, one, since) {
		return nil
	}
	return ErrEvacuated
}

// mayStay reports whether a request may still go to a replica of an evacuated zone: a
// line of turns whose prompt it keeps, or a run that only it may go on with, until the
// line's time to leave.
func (s *Set) mayStay(now time.Time, request *Request, one *member, since time.Time) bool {
	if one.entry.ID != request.Preferred && one.entry.ID != request.Only {
		return false
	}
	return now.Before(evacuation.Departure(since, s.config.LeaveWithin, request.Program))
}

// absence returns why no replica may take a request that none was saturated for.
func (s *Set) absence(now time.Time, request *Request) error {
	reason := ErrNoReplica
	for _, one := range s.services[request.Service] {
		err := s.mayTake(now, request, one)
		if errors.Is(err, ErrEvacuated) {
			return err
		}
		if errors.Is(err, ErrOutside) {
			reason = err
		}
	}
	return reason
}

// sameRegion reports whether a replica is in this node's region, as far as is known.
func (s *Set) sameRegion(one *member) bool {
	return s.config.Regions.Together(zone.Name(s.config.Zone), zone.Name(one.entry.Zone))
}

// left reports whether a request may no longer go where its line went before, as that
// zone is evacuated.
func (s *Set) left(now time.Time, request *Request) bool {
	known := s.byID[request.Preferred]
	return known != nil && errors.Is(s.mayTake(now, request, known), ErrEvacuated)
}
