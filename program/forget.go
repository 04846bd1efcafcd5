package program

import (
	"slices"

	"birchwood.example/birchwood/api"
)

// ensureCapacity reports whether the store has space for one more program. If it
// is full, it evicts programs that have ended completely, oldest first.
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

// evict removes a program from the store.
func (s *Store) evict(p *programState) {
	s.timers.remove(p)
	s.stats.LiveCalls -= len(p.live)
	delete(s.programs, p.id)
}

// sortFinished sorts the finished programs by the time they were closed, as
// recovery finds them in another order, and drops those evicted since.
func (s *Store) sortFinished() {
	s.finished = slices.DeleteFunc(s.finished, func(id api.ProgramID) bool { return s.programs[id] == nil })
	slices.SortStableFunc(s.finished, func(a, b api.ProgramID) int {
		return s.programs[a].closedAt.Compare(s.programs[b].closedAt)
	})
}
