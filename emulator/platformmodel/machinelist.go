package platformmodel

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/machine"
)

// MachineList is the platform's list of machines. It shows changes only after a
// lag, and an entry that is not renewed expires.
type MachineList struct {
	// lag is the age of the state that the list shows.
	lag time.Duration
	// expiry is the time after which an entry expires without renewal, zero for
	// never.
	expiry  time.Duration
	entries map[machine.ID]*listEntry
}

// listEntry holds the versions of one entry that are shown now or after the lag,
// oldest first.
type listEntry struct {
	versions []listVersion
	renewed  time.Time
}

// listVersion is the state of an entry since a time. present is false after a
// withdrawal.
type listVersion struct {
	since   time.Time
	present bool
	machine machine.Machine
}

// NewMachineList returns an empty list that shows changes after lag and drops
// entries that were not renewed within expiry. If expiry is zero, entries do not
// expire.
func NewMachineList(lag, expiry time.Duration) *MachineList {
	return &MachineList{lag: lag, expiry: expiry, entries: make(map[machine.ID]*listEntry)}
}

// SetLag changes the age of the state that the list shows.
func (l *MachineList) SetLag(lag time.Duration) { l.lag = lag }

// Announce registers a machine or renews its entry.
func (l *MachineList) Announce(now time.Time, entry machine.Machine) {
	known := l.entries[entry.ID]
	if known == nil {
		known = &listEntry{}
		l.entries[entry.ID] = known
	}
	expired := l.expiry > 0 && now.Sub(known.renewed) > l.expiry
	known.renewed = now
	if last := len(known.versions) - 1; last >= 0 && !expired {
		version := known.versions[last]
		if version.present && sameMachine(version.machine, entry) {
			return
		}
	}
	known.versions = append(known.versions, listVersion{since: now, present: true, machine: entry})
}

// Withdraw removes the entry of a machine, if there is one.
func (l *MachineList) Withdraw(now time.Time, id machine.ID) {
	known := l.entries[id]
	if known == nil {
		return
	}
	known.versions = append(known.versions, listVersion{since: now})
}

// Machines returns the machines that the list shows at the time now, sorted by ID.
func (l *MachineList) Machines(now time.Time) []machine.Machine {
	var shown []machine.Machine
	asOf := now.Add(-l.lag)
	for id, entry := range l.entries {
		if l.expiry > 0 && asOf.Sub(entry.renewed) > l.expiry {
			delete(l.entries, id)
			continue
		}
		entry.trim(asOf)
		version := entry.versions[0]
		if version.present && !version.since.After(asOf) {
			shown = append(shown, version.machine)
		}
	}
	slices.SortFunc(shown, func(a, b machine.Machine) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return shown
}

// trim removes the versions that precede the one shown at asOf.
func (e *listEntry) trim(asOf time.Time) {
	for len(e.versions) > 1 && !e.versions[1].since.After(asOf) {
		e.versions = e.versions[1:]
	}
}

// sameMachine reports whether two entries are equal.
func sameMachine(a, b machine.Machine) bool {
	return a.ID == b.ID && a.Kind == b.Kind && a.Zone == b.Zone && a.Address == b.Address &&
		a.Status == b.Status && a.Incarnation == b.Incarnation && a.Slots == b.Slots &&
		a.CacheTokens == b.CacheTokens && slices.Equal(a.Models, b.Models) && slices.Equal(a.Tools, b.Tools)
}
