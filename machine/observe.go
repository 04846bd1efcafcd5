package machine

import (
	"slices"
	"time"
)

// Observe processes a machine list from the platform. The list may lag and
// flap; see the package documentation for the effect of a missing entry. It is
// called only with lists that the platform returned without an error.
func (m *Membership) Observe(now time.Time, listed []Machine) {
	if len(listed) == 0 {
		m.advance(now)
		return
	}
	m.ObservePartial(now, listed)
	present := make(map[ID]bool, len(listed))
	for _, entry := range listed {
		present[entry.ID] = true
	}
	m.observeMissing(now, present)
}

// ObservePartial processes entries of the machine list, without conclusions
// about the machines that are not among them.
func (m *Membership) ObservePartial(now time.Time, listed []Machine) {
	m.advance(now)
	m.lastObserved = now
	for _, entry := range listed {
		if entry.ID == m.self.ID {
			m.observeSelf(now, entry)
			continue
		}
		m.observeEntry(now, entry)
	}
}

// observeSelf makes this node leave if the platform lists it as leaving.
func (m *Membership) observeSelf(now time.Time, entry Machine) {
	if entry.Status == StatusLeaving && entry.Incarnation >= m.config.Self.Incarnation {
		m.Leave(now)
	}
}

func (m *Membership) observeEntry(now time.Time, entry Machine) {
	known, ok := m.records[entry.ID]
	if !ok {
		m.addRecord(now, entry)
		return
	}
	known.missingSince = time.Time{}
	previous := known.machine()
	if entry.Incarnation > known.incarnation {
		m.restart(known, entry.Incarnation)
	}
	if entry.Incarnation >= known.listed.Incarnation {
		known.listed = entry
	}
	switch {
	case entry.Incarnation < known.listed.Incarnation:
		// A stale copy of the list describes an earlier process.
	case entry.Status == StatusLeaving:
		m.markLeaving(now, known, entry.Incarnation)
	case m.leavingEnded(now, known, entry):
		known.leaving = false
	}
	if !sameInViews(previous, known.machine()) {
		m.viewChanged()
	}
}

func (m *Membership) addRecord(now time.Time, entry Machine) {
	known := &record{listed: entry, incarnation: entry.Incarnation, status: StatusLive}
	m.records[entry.ID] = known
	if entry.Kind == KindNode {
		m.rotation.insert(entry.ID, m.config.Random)
		m.deadRotation.insert(entry.ID, m.config.Random)
	}
	if entry.Status == StatusLeaving {
		m.markLeaving(now, known, entry.Incarnation)
	}
	m.viewChanged()
}

// restart resets the state of a machine's earlier process.
func (m *Membership) restart(known *record, incarnation uint64) {
	known.incarnation = incarnation
	known.status = StatusLive
	known.leaving = false
	known.unreachable = false
	delete(m.suspects, known.listed.ID)
}

// leavingEnded reports whether a list that shows the machine as live ends its
// leaving. A node announces its own leaving and does not revoke it before it
// restarts, since a list that lags can show the leaving of an earlier process
// after gossip announced the next one.
func (m *Membership) leavingEnded(now time.Time, known *record, entry Machine) bool {
	if !known.leaving {
		return false
	}
	if known.listed.Kind == KindNode {
		return entry.Incarnation > known.leavingIncarnation
	}
	return now.Sub(known.leavingSince) >= m.config.LeavingTimeout
}

// markLeaving records evidence that an incarnation is leaving, and disseminates
// it if it is new.
func (m *Membership) markLeaving(now time.Time, known *record, incarnation uint64) {
	known.leavingSince = now
	if known.leaving {
		return
	}
	known.leaving = true
	known.leavingIncarnation = incarnation
	m.viewChangedNow()
	m.disseminate(Update{
		ID:          known.listed.ID,
		Incarnation: incarnation,
		Status:      StatusLeaving,
	})
}

// observeMissing removes entries that have been missing from lists for
// ListTimeout.
func (m *Membership) observeMissing(now time.Time, present map[ID]bool) {
	for id, known := range m.records {
		if present[id] {
			continue
		}
		if known.missingSince.IsZero() {
			known.missingSince = now
		}
		if now.Sub(known.missingSince) < m.config.ListTimeout {
			continue
		}
		delete(m.records, id)
		delete(m.suspects, id)
		m.rumours.remove(id)
		m.rotation.remove(id)
		m.deadRotation.remove(id)
		m.viewChanged()
	}
}

// sameInViews reports whether Nodes and Backends show both entries alike. A
// suspect node is shown as live.
func sameInViews(left, right Machine) bool {
	return viewStatus(left) == viewStatus(right) &&
		left.Kind == right.Kind &&
		left.Zone == right.Zone &&
		left.Address == right.Address &&
		left.Incarnation == right.Incarnation &&
		left.Slots == right.Slots &&
		left.CacheTokens == right.CacheTokens &&
		slices.Equal(left.Models, right.Models) &&
		slices.Equal(left.Tools, right.Tools)
}

func viewStatus(entry Machine) Status {
	if entry.Status == StatusSuspect {
		return StatusLive
	}
	return entry.Status
}
