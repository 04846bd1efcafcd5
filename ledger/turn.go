package ledger

import (
	"slices"
	"time"
)

// turnEntry is a stored turn in memory.
type turnEntry struct {
	turnValue
	expires time.Time
}

// StoredTurn is a completed turn to be stored.
type StoredTurn struct {
	ID      string `json:"id"`
	Program string `json:"program"`
	// Previous is the turn that this one continues, or "". Base is the previous turn's
	// chain if this ledger does not hold it.
	Previous string `json:"previous,omitempty"`
	Base     []byte `json:"base,omitempty"`
	// Input is the body that the client sent. Output is the part of the answer that the
	// next turn's engine has to read.
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
	// Replica served the turn, or "".
	Replica string        `json:"replica,omitempty"`
	Retain  time.Duration `json:"retain"`
}

// StoreTurn stores a completed turn. It is durable once the returned position is.
func (l *Ledger) StoreTurn(now time.Time, kept StoredTurn) (position uint64) {
	value := turnValue{
		Program:     kept.Program,
		Previous:    kept.Previous,
		Input:       kept.Input,
		Output:      kept.Output,
		Replica:     kept.Replica,
		RetentionMS: kept.Retain.Milliseconds(),
		StoredAtMS:  now.UnixMilli(),
	}
	if kept.Previous != "" && l.turns[kept.Previous] == nil {
		value.Base = kept.Base
		value.Previous = ""
	}
	l.refreshRecord(now, kept.Program)
	position = l.proposeTurn(kept.ID, &value)
	l.turns[kept.ID] = &turnEntry{turnValue: value, expires: now.Add(kept.Retain)}
	l.extendChain(kept.ID, now.Add(kept.Retain))
	return position
}

// extendChain keeps a turn and all turns before it until the given time at least.
func (l *Ledger) extendChain(id string, until time.Time) {
	for kept := l.turns[id]; kept != nil; kept = l.turns[kept.Previous] {
		if kept.expires.Before(until) {
			kept.expires = until
		}
	}
}

// HoldsTurn reports whether the ledger holds a stored turn.
func (l *Ledger) HoldsTurn(id string) bool { return l.turns[id] != nil }

// ServedBy returns the replica that served a stored turn, or "" if unknown. It is part of
// the turn's record, so a new owner has it too.
func (l *Ledger) ServedBy(id string) string {
	kept := l.turns[id]
	if kept == nil {
		return ""
	}
	return kept.Replica
}

// Chain returns what an engine has to read before the input of a turn that continues the
// given one, or false if this ledger does not hold all of it.
func (l *Ledger) Chain(id string) ([]byte, bool) {
	var pieces [][]byte
	for id != "" {
		kept := l.turns[id]
		if kept == nil {
			return nil, false
		}
		pieces = append(pieces, kept.Output, kept.Input, kept.Base)
		id = kept.Previous
	}
	slices.Reverse(pieces)
	return slices.Concat(pieces...), true
}
