package replica

import (
	"errors"
	"maps"
	"time"

	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/zone"
)

// SetEvacuated sets the evacuated zones, each with the start of its evacuation.
func (s *Set) SetEvacuated(zones map[zone.Name]time.Time) { s.evacuated = maps.Clone(zones) }

// checkPlacement returns nil if a replica may receive the request, else the reason why not. It
// ignores the replica's load and previous attempts.
func (s *Set) checkPlacement(now time.Time, request *Request, m *member) error {
	if !m.isServing(now) {
		return ErrNoReplica
	}
	if request.FixedVersion && m.entry.Version != request.Version {
		return ErrNoVersion
	}
	zoneName := zone.Name(m.entry.Zone)
	if !request.Constraint.Permits(zoneName) {
		return ErrOutsideRegions
	}
	since, evacuated := s.evacuated[zoneName]
	if !evacuated || s.mayRemain(now, request, m, since) {
		return nil
	}
	return ErrEvacuated
}

// mayRemain reports whether a request may still go to a replica in an evacuated zone. Until its
// departure time, that holds for a request that continues a session cached there, and for one
// that only this replica may run.
func (s *Set) mayRemain(now time.Time, request *Request, m *member, since time.Time) bool {
	if m.entry.ID != request.Preferred && m.entry.ID != request.Only {
		return false
	}
	return now.Before(evacuation.DepartureTime(since, s.config.LeaveWithin, request.Program))
}

// unavailableReason returns why no replica may receive a request, if none was excluded by a
// limit.
func (s *Set) unavailableReason(now time.Time, request *Request) error {
	reason := ErrNoReplica
	for _, m := range s.services[request.Service] {
		err := s.checkPlacement(now, request, m)
		if errors.Is(err, ErrEvacuated) {
			return err
		}
		if errors.Is(err, ErrOutsideRegions) || errors.Is(err, ErrNoVersion) && reason == ErrNoReplica {
			reason = err
		}
	}
	return reason
}

// sameRegion reports whether a replica is in this node's region, as far as the topology is
// known.
func (s *Set) sameRegion(m *member) bool {
	return s.config.Regions.SameRegion(zone.Name(s.config.Zone), zone.Name(m.entry.Zone))
}

// leftEvacuatedZone reports whether a request may no longer go to its session's previous
// replica because that replica's zone is evacuated.
func (s *Set) leftEvacuatedZone(now time.Time, request *Request) bool {
	known := s.byID[request.Preferred]
	return known != nil && errors.Is(s.checkPlacement(now, request, known), ErrEvacuated)
}
