package program

import (
	"slices"

	"birchwood.example/birchwood/api"
)

// CallLocation has the log offsets of the two records of a call. While a record
// is not in the log, its offset is NoOffset and the record itself is included.
// The Accepted record of a call that has not ended is always included.
type CallLocation struct {
	Sequence       uint64
	Kind           api.CallKind
	Status         api.CallStatus
	AcceptedOffset uint64
	EndedOffset    uint64
	Accepted       *Accepted
	Ended          *CallEnded
}

// SetRecordOffset sets the log offset of a record that was not in the log until
// now. The store then drops the record's texts from memory.
func (s *Store) SetRecordOffset(id api.ProgramID, record Record, offset uint64) {
	p, ok := s.programs[id]
	if !ok || offset == NoOffset {
		return
	}
	switch {
	case record.Accepted != nil:
		p.setOffset(record.Accepted.Sequence, offset, false)
	case record.Ended != nil:
		p.setOffset(record.Ended.Sequence, offset, true)
	}
}

func (p *programState) setOffset(sequence, offset uint64, ended bool) {
	entry := p.entry(sequence)
	records, waiting := p.pending[sequence]
	if entry == nil || !waiting {
		return
	}
	switch {
	case ended && records.Ended != nil:
		entry.ended = offset
		records.Ended = nil
	case !ended && records.Accepted != nil:
		entry.accepted = offset
		records.Accepted = nil
	}
	if records.Accepted == nil && records.Ended == nil {
		delete(p.pending, sequence)
	}
	if len(p.pending) == 0 {
		p.pending = nil
	}
}

// History returns the locations of up to limit calls, in order, beginning with
// the sequence number from. The boolean reports whether the program is in the
// store.
func (s *Store) History(id api.ProgramID, from uint64, limit int) ([]CallLocation, bool) {
	p, ok := s.programs[id]
	if !ok {
		return nil, false
	}
	var locations []CallLocation
	for sequence := max(from, 1); sequence <= uint64(len(p.calls)) && len(locations) < limit; sequence++ {
		if p.entry(sequence) != nil {
			locations = append(locations, p.location(sequence))
		}
	}
	return locations, true
}

// Prompt returns the locations of the texts that form the prompt of a call: the
// input and output of every earlier call that succeeded, in order, then the
// call's own input. The boolean reports whether the store has the call.
func (s *Store) Prompt(id api.ProgramID, sequence uint64) ([]CallLocation, bool) {
	p, ok := s.programs[id]
	if !ok || p.entry(sequence) == nil {
		return nil, false
	}
	locations := make([]CallLocation, 0, sequence)
	for earlier := uint64(1); earlier < sequence; earlier++ {
		if p.calls[earlier-1].status == statusSucceeded {
			locations = append(locations, p.location(earlier))
		}
	}
	own := p.location(sequence)
	own.EndedOffset = NoOffset
	own.Ended = nil
	return append(slices.Clip(locations), own), true
}

func (p *programState) location(sequence uint64) CallLocation {
	entry := p.calls[sequence-1]
	location := CallLocation{
		Sequence:       sequence,
		Kind:           entry.kind.kind(),
		Status:         p.describeStatus(sequence),
		AcceptedOffset: entry.accepted,
		EndedOffset:    entry.ended,
	}
	if records, ok := p.pending[sequence]; ok {
		location.Accepted = records.Accepted
		location.Ended = records.Ended
	}
	if live := p.liveCall(sequence); live != nil && location.Accepted == nil {
		location.Accepted = live.accepted(entry.bodyHash)
	}
	return location
}

func (p *programState) describeStatus(sequence uint64) api.CallStatus {
	live := p.liveCall(sequence)
	switch {
	case live == nil:
		return statusNames[p.calls[sequence-1].status]
	case live.phase == phaseSent || live.phase == phaseLookup:
		return api.StatusRunning
	}
	return api.StatusWaiting
}
