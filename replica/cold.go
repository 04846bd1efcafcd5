package replica

import "time"

// ColdStatus is how much longer a replica stays cold. For some seconds after its start, and
// possibly again later, a cold replica accepts only a limited rate of requests.
type ColdStatus struct {
	// Remaining is how much longer the replica stays cold, as of when the status was sent; 0 if
	// it is warm.
	Remaining time.Duration `json:"left,omitempty"`
	// Sequence is the sequence number of the replica's entry, or 0 if its entries are not
	// numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// Forwarded reports that another node sent the status, from its own state at that time.
	Forwarded bool `json:"passed,omitempty"`
}

// The sources of the information that a replica is cold.
const (
	coldFromEntry  = "entry"
	coldFromPeer   = "peer"
	coldFromAnswer = "answer"
)

const (
	// coldTokens is the additional cost of a cold replica, in tokens of prefill. A warm replica
	// is preferred until about all of its slots are in use.
	coldTokens = 1500
	// coldAnnounceThreshold is the minimum extension of the cold time that is announced to
	// other nodes. The end of a cold time that merely runs down varies a little with each
	// entry.
	coldAnnounceThreshold = 400 * time.Millisecond
	// utilisationAtColdRate is the utilisation assumed for a cold replica that has reached its
	// cold rate. It exceeds every limit above which new programs wait.
	utilisationAtColdRate = 2
)

// coldState tracks the cold status of one replica. The replica counts as cold until the time
// until; source tells where that came from.
type coldState struct {
	until  time.Time
	source string
	// status is the newest status received from an entry, and received reports that there was
	// one.
	status   ColdStatus
	received bool
	// reportedCold is the state that ColdTransitions last reported.
	reportedCold bool
	// pausedUntil is until when the replica gets no requests, because its counting node
	// reported that it has reached its cold rate.
	pausedUntil time.Time
}

func (c *coldState) cold(now time.Time) bool { return now.Before(c.until) }

// update applies the cold status of an entry. It reports whether to announce it to other nodes.
func (c *coldState) update(now time.Time, status ColdStatus) (announce bool) {
	isNew := c.isNew(status)
	if isNew {
		c.status, c.received = status, true
	}
	switch {
	case status.Forwarded:
		return c.extend(now, status.Remaining, coldFromPeer)
	case isNew:
		return c.extend(now, status.Remaining, coldFromEntry)
	default:
		return false
	}
}

// isNew reports whether the cold status of an entry has not been applied before. The same entry
// is read repeatedly, possibly long after it was written or after a peer forwarded it.
func (c *coldState) isNew(status ColdStatus) bool {
	if !c.received || status.Sequence > c.status.Sequence {
		return true
	}
	repeated := status.Forwarded || c.status.Forwarded || status.Remaining == c.status.Remaining
	return status.Sequence == c.status.Sequence && !repeated
}

// extend marks the replica as cold for the given time from now. It never shortens the cold
// time, since a status may have been sent before the one that set the present cold time. It
// reports whether to announce the change to other nodes.
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

// entryAt returns a replica's entry to forward to other nodes, with the remaining cold time as
// of now.
func (m *member) entryAt(now time.Time) Entry {
	entry := m.entry
	entry.Cold = ColdStatus{Remaining: max(0, m.cold.until.Sub(now)), Sequence: m.cold.status.Sequence, Forwarded: true}
	return entry
}

// EntryAt returns a replica's entry to forward to other nodes, with the remaining cold time as
// of now, or false if the replica is unknown.
func (s *Set) EntryAt(now time.Time, id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	return known.entryAt(now), true
}

// SetColdRate sets the maximum request rate of a cold replica of a service, in requests per
// second; 0 means no limit.
func (s *Set) SetColdRate(service string, rate float64) { s.coldRates[service] = rate }

// ExtendCold marks a replica as cold for the time that one of its answers gave. It reports
// whether to announce the change to other nodes.
func (s *Set) ExtendCold(now time.Time, id ID, left time.Duration) (announce bool) {
	known := s.byID[id]
	if known == nil {
		return false
	}
	announce = known.cold.extend(now, left, coldFromAnswer)
	s.trackCold(now, known)
	return announce
}

// PauseCold excludes, for the given time, a cold replica that has reached its cold rate.
func (s *Set) PauseCold(now time.Time, id ID, pause time.Duration) {
	if known := s.byID[id]; known != nil {
		known.cold.pausedUntil = now.Add(pause)
	}
}

// coldRate returns the maximum request rate of a replica in requests per second, or 0 unless it
// is cold and its service has such a rate.
func (s *Set) coldRate(now time.Time, m *member) float64 {
	if s.config.Disabled.Cold || !m.cold.cold(now) {
		return 0
	}
	return s.coldRates[m.entry.Service]
}

// atColdRate reports whether a cold replica is paused because it has reached its cold rate.
func (s *Set) atColdRate(now time.Time, m *member) bool {
	return now.Before(m.cold.pausedUntil) && s.coldRate(now, m) > 0
}

// ColdTransition is a replica's transition from warm to cold or back.
type ColdTransition struct {
	ID     ID
	Cold   bool
	Until  time.Time
	Source string
}

// ColdTransitions returns the transitions since the last call, and the number of cold replicas.
func (s *Set) ColdTransitions(now time.Time) (transitions []ColdTransition, count int) {
	for id, known := range s.coldTracked {
		cold := known.cold.cold(now)
		if cold {
			count++
		}
		if cold != known.cold.reportedCold {
			known.cold.reportedCold = cold
			transitions = append(transitions, ColdTransition{ID: id, Cold: cold, Until: known.cold.until, Source: known.cold.source})
		}
		if !cold {
			delete(s.coldTracked, id)
		}
	}
	return transitions, count
}

// trackCold registers a replica for ColdTransitions while it is cold or its transition to warm
// has not been reported.
func (s *Set) trackCold(now time.Time, known *member) {
	if known.cold.cold(now) || known.cold.reportedCold {
		s.coldTracked[known.entry.ID] = known
	}
}

// ColdCount returns the number of cold replicas.
func (s *Set) ColdCount(now time.Time) (count int) {
	for _, known := range s.coldTracked {
		if known.cold.cold(now) {
			count++
		}
	}
	return count
}
