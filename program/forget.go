package program

import (
	"slices"

	"birchwood.example/birchwood/api"
)

// ensureCapacity reports whether one more program may be held. A full store
// forgets the program whose end was complete first.
func (s *Store) ensureCapacity() bool {
	for len(s.programs) >= s.config.MaximumPrograms {
		if len(s.finished) == 0 {
			return false
		}
		oldest := s.finished[0]
		s.finished = s.finished[1:]
		if p, ok := s.programs[oldest]; ok && p.endCompleted {
			s.evict(p)
		}
	}
	return true
}

// evict drops a program from the store.
func (s *Store) evict(p *programState) {
	s.timers.remove(p)
	s.stats.LiveCalls -= len(p.live)
	delete(s.programs, p.id)
}

// sortFinished orders the programs found complete at recovery by their end,
// and drops those that were forgotten since.
func (s *Store) sortFinished() {
	s.finished = slices.DeleteFunc(s.finished, func(id api.ProgramID) bool { return s.programs[id] == nil })
	slices.SortStableFunc(s.finished, func(a, b api.ProgramID) int {
		return s.programs[a].closedAt.Compare(s.programs[b].closedAt)
	})
}
