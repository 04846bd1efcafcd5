package replica

import "time"

// Doubt keeps a replica whose entry is gone, for a while: the list may lack it
// although it lives. An entry that comes again ends the doubt. It reports whether
// the replica is doubted; one that drains, or is not known, is not.
func (s *Set) Doubt(id ID, until time.Time) bool {
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

// Doubted returns the replicas whose doubt has lasted long enough for them to be
// removed.
func (s *Set) Doubted(now time.Time) (gone []ID) {
	for id, known := range s.unlisted {
		if !now.Before(known.removeAt) {
			gone = append(gone, id)
		}
	}
	return gone
}
