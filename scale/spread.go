package scale

import (
	"slices"
	"sync"
	"time"
)

// spread measures how long changes of the settings take to be in force.
type spread struct {
	mutex    sync.Mutex
	appended map[uint64]time.Time
	// early counts the nodes that were quicker than the append's answer.
	early map[uint64]int
	took  []time.Duration
}

func newSpread() *spread {
	return &spread{appended: make(map[uint64]time.Time), early: make(map[uint64]int)}
}

// accepted notes that a change was appended.
func (s *spread) accepted(revision uint64, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appended[revision] = at
	for range s.early[revision] {
		s.took = append(s.took, 0)
	}
	delete(s.early, revision)
}

// inForce notes that a node which runs since started went from one revision to
// a later one. Changes from before its start do not count.
func (s *spread) inForce(from, to uint64, started time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for revision := from + 1; revision <= to; revision++ {
		at, ok := s.appended[revision]
		switch {
		case !ok:
			s.early[revision]++
		case at.After(started):
			s.took = append(s.took, now.Sub(at))
		}
	}
}

func (s *spread) samples() []time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.took)
}
