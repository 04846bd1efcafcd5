package replica

import (
	"maps"
	"slices"
	"time"
)

// DeferRemoval keeps an unlisted replica in the set until the given time, since the list may
// lack it although it is alive. If the replica is listed again, it stays. If DeferRemoval is
// called again, the first deadline remains. It reports whether the removal is deferred; it is
// not for a draining or unknown replica.
func (s *Set) DeferRemoval(id ID, until time.Time) bool {
	known := s.byID[id]
	if known == nil || known.entry.Status != StatusReady {
		return false
	}
	if known.removeAt.IsZero() {
		known.removeAt = until
		s.unlisted[id] = known
	}
	return true
}

// Unlisted returns the replicas whose removal is deferred, in no particular order.
func (s *Set) Unlisted() []ID { return slices.Collect(maps.Keys(s.unlisted)) }

// DueRemovals returns the unlisted replicas whose deadline has passed.
func (s *Set) DueRemovals(now time.Time) (gone []ID) {
	for id, known := range s.unlisted {
		if !now.Before(known.removeAt) {
			gone = append(gone, id)
		}
	}
	return gone
}
