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

// checkPlacement returns nil where a replica may get a request, or why it may not: whatever
// its load, and whatever was tried before.
func (s *Set) checkPlacement(now time.Time, request *Request, m *member) error {
	if !m.isServing(now) {
		return ErrNoReplica
	}
	zoneName := zone.Name(m.entry.Zone)
	if !request.Homes.Permit(zoneName) {
		return ErrOutside
	}
	since, evacuated := s.evacuated[zoneName]
	if !evacuated || s.mayRemain(now, request, m, since) {
		return nil
	}
	return ErrEvacuated
}

// mayRemain reports whether a request may still go to a replica of an evacuated zone: a
// line of turns whose prompt it keeps, or a run that only it may go on with, until the
// line's time to leave.
func (s *Set) mayRemain(now time.Time, request *Request, m *member, since time.Time) bool {
	if m.entry.ID != request.Preferred && m.entry.ID != request.Only {
		return false
	}
	return now.Before(evacuation.Departure(since, s.config.LeaveWithin, request.Program))
}

// absence returns why no replica may take a request that none was saturated for.
func (s *Set) unavailableReason(now time.Time, request *Request) error {
	reason := ErrNoReplica
	for _, m := range s.services[request.Service] {
		err := s.checkPlacement(now, request, m)
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
func (s *Set) sameRegion(m *member) bool {
	return s.config.Regions.Together(zone.Name(s.config.Zone), zone.Name(m.entry.Zone))
}

// left reports whether a request may no longer go where its line went before, as that
// zone is evacuated.
func (s *Set) leftEvacuatedZone(now time.Time, request *Request) bool {
	known := s.byID[request.Preferred]
	return known != nil && errors.Is(s.checkPlacement(now, request, known), ErrEvacuated)
}
