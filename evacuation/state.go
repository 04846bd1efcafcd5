package evacuation

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/zone"
)

// maxReadInterval is the longest time between two answers to a node's reads of the
// operator's stream in normal operation: a read waits up to two seconds for a change and
// is answered as soon as there is one. A change that is received after a longer interval
// may have been made by the operator long before.
const maxReadInterval = 2800 * time.Millisecond

// State is a node's view of the evacuated zones. Its zero value has seen no version yet.
// It is not safe for concurrent use.
type State struct {
	version uint64
	// currentAt is when the state was last known to match the operator's; zero if never.
	currentAt time.Time
	zones     map[zone.Name]time.Time
}

// Change is one zone whose evacuation began or ended.
type Change struct {
	Zone zone.Name
	// Evacuated is true if the evacuation began, and false if it ended.
	Evacuated bool
	// Since is the time from which the operator's time limit counts.
	Since time.Time
}

// Snapshot is a State as it is sent to other nodes.
type Snapshot struct {
	Version uint64 `json:"version"`
	// CurrentAgeMS is how long ago the state was last known to match the operator's, and
	// EvacuatedForMS how long ago the operator's time limit began to count for each
	// evacuated zone; both in milliseconds.
	CurrentAgeMS   int64               `json:"current_age_ms"`
	EvacuatedForMS map[zone.Name]int64 `json:"zones,omitempty"`
}

// Version returns the version of the operator's stream that the state reflects.
func (s *State) Version() uint64 { return s.version }

// Zones returns the evacuated zones, each with the time from which the operator's limit
// counts.
func (s *State) Zones() map[zone.Name]time.Time {
	zones := make(map[zone.Name]time.Time, len(s.zones))
	for name, since := range s.zones {
		zones[name] = since
	}
	return zones
}

// Reset replaces the state by the zones that were evacuated at a version, as a complete
// read returns them. An older version than that of the state is ignored.
func (s *State) Reset(now time.Time, version uint64, zones []zone.Name) []Change {
	if version < s.version {
		return nil
	}
	s.version = version
	var changes []Change
	for name := range s.zones {
		if !slices.Contains(zones, name) {
			changes = append(changes, s.endEvacuation(name))
		}
	}
	for _, name := range zones {
		changes = append(changes, s.beginEvacuation(name, s.startOfEvacuation(now))...)
	}
	return sortChanges(changes)
}

// Apply applies one record of the stream. The version is that of the stream after the
// record.
func (s *State) Apply(now time.Time, version uint64, name zone.Name, evacuated bool) []Change {
	if version <= s.version {
		return nil
	}
	s.version = version
	if evacuated {
		return s.beginEvacuation(name, s.startOfEvacuation(now))
	}
	if _, known := s.zones[name]; !known {
		return nil
	}
	return []Change{s.endEvacuation(name)}
}

// Advance sets the version after the stream advanced without a change of zones.
func (s *State) Advance(version uint64) { s.version = max(s.version, version) }

// MarkCurrent records that everything in the operator's stream at the given time was
// applied.
func (s *State) MarkCurrent(at time.Time) {
	if at.After(s.currentAt) {
		s.currentAt = at
	}
}

// Snapshot returns the state for a peer.
func (s *State) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Version: s.version, CurrentAgeMS: now.Sub(s.currentAt).Milliseconds()}
	if len(s.zones) > 0 {
		snapshot.EvacuatedForMS = make(map[zone.Name]int64, len(s.zones))
	}
	for name, since := range s.zones {
		snapshot.EvacuatedForMS[name] = now.Sub(since).Milliseconds()
	}
	return snapshot
}

// Adopt replaces the state by that of a peer, if the peer's is newer. requestedAt is when
// it was requested.
func (s *State) Adopt(requestedAt time.Time, peer Snapshot) []Change {
	if peer.Version <= s.version {
		return nil
	}
	s.version = peer.Version
	var changes []Change
	for name := range s.zones {
		if _, present := peer.EvacuatedForMS[name]; !present {
			changes = append(changes, s.endEvacuation(name))
		}
	}
	for name, age := range peer.EvacuatedForMS {
		changes = append(changes, s.beginEvacuation(name, requestedAt.Add(-time.Duration(age)*time.Millisecond))...)
	}
	s.MarkCurrent(requestedAt.Add(-time.Duration(peer.CurrentAgeMS) * time.Millisecond))
	return sortChanges(changes)
}

// startOfEvacuation returns the time from which the operator's limit counts for an
// evacuation that is received now. After a longer interval than maxReadInterval that is
// the last time at which the state was current.
func (s *State) startOfEvacuation(now time.Time) time.Time {
	if now.Sub(s.currentAt) <= maxReadInterval {
		return now
	}
	return s.currentAt
}

func (s *State) beginEvacuation(name zone.Name, since time.Time) []Change {
	if _, known := s.zones[name]; known {
		return nil
	}
	if s.zones == nil {
		s.zones = make(map[zone.Name]time.Time)
	}
	s.zones[name] = since
	return []Change{{Zone: name, Evacuated: true, Since: since}}
}

func (s *State) endEvacuation(name zone.Name) Change {
	change := Change{Zone: name, Since: s.zones[name]}
	delete(s.zones, name)
	return change
}

func sortChanges(changes []Change) []Change {
	slices.SortFunc(changes, func(left, right Change) int { return cmp.Compare(left.Zone, right.Zone) })
	return changes
}
