package evacuation

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/zone"
)

// maxReadInterval is the longest time between two answers of a node's reads of the
// operator's stream while all goes well: a read waits two seconds for a change and is
// answered as soon as there is one. What is learned after a longer silence may have been
// asked for long ago.
const maxReadInterval = 2800 * time.Millisecond

// State is what a node knows of evacuated zones. The zero value knows nothing yet. It
// is not safe for concurrent use.
type State struct {
	version uint64
	// currentAt is when the state was last known to be the operator's; zero before.
	currentAt time.Time
	zones     map[zone.Name]time.Time
}

// Change is one zone whose evacuation began or ended.
type Change struct {
	Zone zone.Name
	// Evacuated says that it began.
	Evacuated bool
	// Since is from when on the time to leave counts.
	Since time.Time
}

// Snapshot is a State as nodes pass it on.
type Snapshot struct {
	Version uint64 `json:"version"`
	// CurrentAge is how long ago the state was last known to be the operator's, and
	// Zones for how long each evacuated zone had been known to be; both in
	// milliseconds.
	CurrentAge int64               `json:"current_age_ms"`
	Zones      map[zone.Name]int64 `json:"zones,omitempty"`
}

// Version returns the version of the operator's stream that the state stands for.
func (s *State) Version() uint64 { return s.version }

// Zones returns the evacuated zones, each with the time from which on the time to leave
// counts.
func (s *State) Zones() map[zone.Name]time.Time {
	zones := make(map[zone.Name]time.Time, len(s.zones))
	for name, since := range s.zones {
		zones[name] = since
	}
	return zones
}

// Reset takes over a whole read: the zones that were evacuated at a version.
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

// Note takes over one record of the stream, after which the stream's version is the
// given one.
func (s *State) Note(now time.Time, version uint64, name zone.Name, evacuated bool) []Change {
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

// Advance takes in that the stream went on to a version without a change here.
func (s *State) Advance(version uint64) { s.version = max(s.version, version) }

// Current takes in that all was taken over that the operator's stream held at a time.
func (s *State) Current(at time.Time) {
	if at.After(s.currentAt) {
		s.currentAt = at
	}
}

// Snapshot returns the state for a peer.
func (s *State) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Version: s.version, CurrentAge: now.Sub(s.currentAt).Milliseconds()}
	if len(s.zones) > 0 {
		snapshot.Zones = make(map[zone.Name]int64, len(s.zones))
	}
	for name, since := range s.zones {
		snapshot.Zones[name] = now.Sub(since).Milliseconds()
	}
	return snapshot
}

// Adopt takes over a peer's newer state, which was asked for at a time.
func (s *State) Adopt(requestedAt time.Time, peer Snapshot) []Change {
	if peer.Version <= s.version {
		return nil
	}
	s.version = peer.Version
	var changes []Change
	for name := range s.zones {
		if _, present := peer.Zones[name]; !present {
			changes = append(changes, s.endEvacuation(name))
		}
	}
	for name, age := range peer.Zones {
		changes = append(changes, s.beginEvacuation(name, requestedAt.Add(-time.Duration(age)*time.Millisecond))...)
	}
	s.Current(requestedAt.Add(-time.Duration(peer.CurrentAge) * time.Millisecond))
	return sortChanges(changes)
}

// startOfEvacuation returns from when on the time to leave counts for what is learned now.
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
