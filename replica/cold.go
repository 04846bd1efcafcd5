package replica

import "time"

// ColdWord is what is said of how long a replica stays cold: for some seconds after its
// start, or again at any moment, it bears only so many requests a second.
type ColdWord struct {
	// Left is how much longer it stays cold from when that was said; 0 where it is
	// warm.
	Left time.Duration `json:"left,omitempty"`
	// Sequence numbers the entries of a replica; 0 where they are not numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// Passed says that another node passes on what it believes now.
	Passed bool `json:"passed,omitempty"`
}

// The sources of a belief that a replica is cold.
const (
	coldFromEntry  = "entry"
	coldFromPeer   = "peer"
	coldFromAnswer = "answer"
)

const (
	// coldTokens is what a cold replica costs beyond a warm one, in tokens of prefill:
	// a warm one gets the request until it has about as many places taken.
	coldTokens = 1500
	// coldAnnounceThreshold is by how much a belief is extended at least for other nodes to be
	// told: a cold time that runs down is told with each entry, a little later or
	// earlier.
	coldAnnounceThreshold = 400 * time.Millisecond
	// utilisationAtColdRate is how full a cold replica counts that is at its rate: above
	// every limit from which on new programs wait.
	utilisationAtColdRate = 2
)

// coldness is what a node believes of whether one replica is cold.
type coldState struct {
	until  time.Time
	source string
	// word is the newest that was heard, and heard says that there was one.
	status   ColdWord
	received bool
	// noted is the state that ColdTurns told last.
	reportedCold bool
	// pausedUntil is until when the replica is at its rate, as its counter said.
	pausedUntil time.Time
}

func (c *coldState) cold(now time.Time) bool { return now.Before(c.until) }

// hear takes in an entry's word. It reports whether other nodes are to hear of it.
func (c *coldState) update(now time.Time, status ColdWord) (announce bool) {
	isNew := c.isNew(status)
	if isNew {
		c.status, c.received = status, true
	}
	switch {
	case status.Passed:
		return c.extend(now, status.Left, coldFromPeer)
	case isNew:
		return c.extend(now, status.Left, coldFromEntry)
	default:
		return false
	}
}

// fresh reports whether an entry's word was not taken in before. The same entry is read
// again and again, also long after it was written, and after a peer told of it.
func (c *coldState) isNew(status ColdWord) bool {
	if !c.received || status.Sequence > c.status.Sequence {
		return true
	}
	repeated := status.Passed || c.status.Passed || status.Left == c.status.Left
	return status.Sequence == c.status.Sequence && !repeated
}

// extend has the replica count as cold for a while from now on. Nothing shortens that: a
// word may have been said before the one that made the replica count as cold.
func (c *coldState) extend(now time.Time, left time.Duration, source string) (announce bool) {
	until := now.Add(left)
	if left <= 0 || !until.After(c.until) {
		return false
	}
	announce = !c.cold(now) || until.Sub(c.until) >= coldAnnounceThreshold
	if announce {
		c.source = source
	}
	c.until = until
	return announce
}

// entryAt returns a replica's entry as it is passed on at a time.
func (m *member) entryAt(now time.Time) Entry {
	entry := m.entry
	entry.Cold = ColdWord{Left: max(0, m.cold.until.Sub(now)), Sequence: m.cold.status.Sequence, Passed: true}
	return entry
}

// EntryAt returns a replica's entry as it is passed on at a time.
func (s *Set) EntryAt(now time.Time, id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	return known.entryAt(now), true
}

// SetColdRate tells how many requests a second a cold replica of a service bears; 0 where
// that is not bounded.
func (s *Set) SetColdRate(service string, rate float64) { s.coldRates[service] = rate }

// HearCold takes in what an answer of a replica says of how long it stays cold. It reports
// whether other nodes are to hear of it.
func (s *Set) HearCold(now time.Time, id ID, left time.Duration) (announce bool) {
	known := s.byID[id]
	if known == nil {
		return false
	}
	announce = known.cold.extend(now, left, coldFromAnswer)
	s.trackCold(now, known)
	return announce
}

// PauseCold has a cold replica passed over that is at its rate.
func (s *Set) PauseCold(now time.Time, id ID, pause time.Duration) {
	if known := s.byID[id]; known != nil {
		known.cold.pausedUntil = now.Add(pause)
	}
}

// coldRate is how many requests a second a replica bears, or 0 unless it is cold.
func (s *Set) coldRate(now time.Time, m *member) float64 {
	if s.config.Without.Cold || !m.cold.cold(now) {
		return 0
	}
	return s.coldRates[m.entry.Service]
}

// atColdRate reports whether a cold replica may not get requests for now.
func (s *Set) atColdRate(now time.Time, m *member) bool {
	return now.Before(m.cold.pausedUntil) && s.coldRate(now, m) > 0
}

// ColdTurn says that a replica counts as cold from now on, or no longer does.
type ColdTurn struct {
	ID     ID
	Cold   bool
	Until  time.Time
	Source string
}

// ColdTurns returns the replicas that turned cold or warm since the last call, and how
// many are cold.
func (s *Set) ColdTurns(now time.Time) (transitions []ColdTurn, count int) {
	for id, known := range s.coldTracked {
		cold := known.cold.cold(now)
		if cold {
			count++
		}
		if cold != known.cold.reportedCold {
			known.cold.reportedCold = cold
			transitions = append(transitions, ColdTurn{ID: id, Cold: cold, Until: known.cold.until, Source: known.cold.source})
		}
		if !cold {
			delete(s.coldTracked, id)
		}
	}
	return transitions, count
}

// trackCold has ColdTurns tell when a replica that is cold turns warm.
func (s *Set) trackCold(now time.Time, known *member) {
	if known.cold.cold(now) || known.cold.reportedCold {
		s.coldTracked[known.entry.ID] = known
	}
}

// ColdCount returns how many replicas are cold.
func (s *Set) ColdCount(now time.Time) (count int) {
	for _, known := range s.coldTracked {
		if known.cold.cold(now) {
			count++
		}
	}
	return count
}
