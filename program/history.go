package program

import (
	"slices"

	"birchwood.example/birchwood/api"
)

// CallLocation tells where the two records of a call stand in the log. While
// the log does not have one, its offset is NoOffset and the record is here.
// The Accepted record of a call that has not ended is always here.
type CallLocation struct {
	Sequence       uint64
	Kind           api.CallKind
	Status         api.CallStatus
	AcceptedOffset uint64
	EndedOffset    uint64
	Accepted       *Accepted
	Ended          *CallEnded
}

// Located tells where a record that this store proposed stands, once the log
// has it. The store then forgets its texts.
func (s *Store) Located(id api.ProgramID, record Record, offset uint64) {
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

// History locates up to limit calls from the place on, in order. The boolean
// says whether the program is held.
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

// Prompt locates what the prompt of a call is made of: the input and output
// of every earlier call that succeeded, in order, then the call's own input.
func (s *Store) Prompt(id api.ProgramID, sequence uint64) ([]CallLocation, bool) {
	p, ok := s.programs[id]
	if !ok || p.entry(sequence) == nil {
		return nil, false
	}
	locations := make([]CallLocation, 0, sequence)
	for place := uint64(1); place < sequence; place++ {
		if p.calls[place-1].status == statusSucceeded {
			locations = append(locations, p.location(place))
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
