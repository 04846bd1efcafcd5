package program

import (
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
)

// apply changes durable state by one record. The offset is NoOffset while
// the log does not have the record. A record about a program that is not
// held is skipped: the program was forgotten.
func (s *Store) apply(offset uint64, record Record) {
	if record.Created != nil {
		s.applyCreated(record)
		return
	}
	p, ok := s.programs[record.Program]
	if !ok {
		return
	}
	switch {
	case record.Accepted != nil:
		p.applyAccepted(offset, record.At, record.Accepted)
		s.gauge.LiveCalls++
	case record.Dispatched != nil:
		p.applyDispatched(record.At, record.Dispatched)
	case record.Ended != nil:
		if p.applyEnded(offset, record.At, record.Ended, s.config.CountTokens) {
			s.gauge.LiveCalls--
		}
	case record.Carved != nil:
		p.applyCarved(record.At, *record.Carved)
	case record.Terms != nil:
		p.terms = s.shareTerms(p.branch, *record.Terms)
		p.budget.limit = p.budgetLimit()
	case record.Closed != nil:
		p.applyClosed(record.At, record.Closed.Reason)
	}
}

func (s *Store) applyCreated(record Record) {
	created := record.Created
	if old, ok := s.programs[record.Program]; ok {
		s.forget(old)
	}
	p := &heldProgram{
		id:              record.Program,
		branch:          created.Branch,
		key:             created.Key,
		parent:          created.Parent,
		terms:           s.shareTerms(created.Branch, created.Terms),
		depth:           created.Depth,
		requestBudget:   created.BudgetTokens,
		requestDuration: time.Duration(created.DeadlineMilliseconds) * time.Millisecond,
		carved:          created.CarvedTokens,
		createdAt:       record.At,
		lastActivity:    record.At,
		next:            1,
	}
	p.budget.limit = p.budgetLimit()
	s.hold(p)
}

// hold adds a program to the store.
func (s *Store) hold(p *heldProgram) {
	p.timer.index = timerIdle
	s.programs[p.id] = p
}

// shareTerms returns the terms that equal ones of the branch already use.
func (s *Store) shareTerms(branch string, terms Terms) *Terms {
	if shared, ok := s.terms[branch]; ok && reflect.DeepEqual(*shared, terms) {
		return shared
	}
	s.terms[branch] = &terms
	return &terms
}

func (p *heldProgram) applyAccepted(offset uint64, at time.Time, accepted *Accepted) {
	sequence := accepted.Sequence
	p.growCalls(sequence)
	p.calls[sequence-1] = callEntry{
		keyHash:  xxhash.Sum64String(accepted.Call.Key),
		bodyHash: accepted.BodyHash,
		accepted: offset,
		ended:    NoOffset,
		status:   statusLive,
		kind:     codeOfKind(accepted.Call.Kind),
	}
	live := &liveCall{
		sequence:     sequence,
		call:         accepted.Call,
		inputTokens:  accepted.InputTokens,
		promptTokens: accepted.PromptTokens,
		reserved:     accepted.ReservedTokens,
		deadline:     accepted.Deadline,
	}
	index, _ := p.liveIndex(sequence)
	p.live = slices.Insert(p.live, index, live)
	p.budget.reserved += accepted.ReservedTokens
	p.turns++
	p.lastActivity = at
	if offset == NoOffset {
		p.keepUnlocated(sequence).Accepted = accepted
	}
}

// growCalls adds vacant entries up to the place. It grows by a quarter, not
// by doubling: the entries of idle programs are most of the store's memory.
func (p *heldProgram) growCalls(sequence uint64) {
	if missing := int(sequence) - cap(p.calls); missing > 0 {
		room := len(p.calls)/4 + minimumCallRoom
		grown := make([]callEntry, len(p.calls), len(p.calls)+max(missing, room))
		copy(grown, p.calls)
		p.calls = grown
	}
	for uint64(len(p.calls)) < sequence {
		p.calls = append(p.calls, callEntry{accepted: NoOffset, ended: NoOffset})
	}
}

// minimumCallRoom is the least number of entries by which a program grows.
const minimumCallRoom = 2

func (p *heldProgram) applyDispatched(at time.Time, dispatched *Dispatched) {
	live := p.liveCall(dispatched.Sequence)
	if live == nil {
		return
	}
	live.attempt = dispatched.Attempt
	live.backend = dispatched.Backend
	live.epoch = dispatched.Epoch
	live.dispatchedAt = at
	// Another dispatch of a call that is not repeatable proves that nothing
	// of the one before was sent.
	live.ranBefore = live.mayHaveRun && live.repeatable()
	live.mayHaveRun = true
}

// applyEnded reports whether the call was live.
func (p *heldProgram) applyEnded(offset uint64, at time.Time, ended *CallEnded, countTokens func(string) int) bool {
	index, found := p.liveIndex(ended.Sequence)
	if !found {
		return false
	}
	live := p.live[index]
	p.live = slices.Delete(p.live, index, index+1)
	p.settle(live, ended)
	entry := &p.calls[ended.Sequence-1]
	entry.status = terminalCode(ended.Status)
	entry.ended = offset
	if entry.status == statusSucceeded {
		p.historyTokens += live.inputTokens + countTokens(ended.Output)
	}
	if offset == NoOffset {
		p.keepUnlocated(ended.Sequence).Ended = ended
	}
	p.lastActivity = at
	p.passEnded()
	p.adjustHead()
	return true
}

// passEnded moves next over the places that have ended.
func (p *heldProgram) passEnded() {
	for p.next <= uint64(len(p.calls)) && p.calls[p.next-1].status > statusLive {
		p.next++
	}
}

func (p *heldProgram) applyCarved(at time.Time, carved Carved) {
	held, returning := p.children[carved.Child]
	p.lastActivity = at
	if returning {
		p.budget.children -= held
		p.budget.settled += held + carved.Tokens
		delete(p.children, carved.Child)
		return
	}
	if p.children == nil {
		p.children = make(map[api.ProgramID]int64)
	}
	p.children[carved.Child] = carved.Tokens
	p.budget.children += carved.Tokens
	p.turns++
}

func (p *heldProgram) applyClosed(at time.Time, reason string) {
	p.closed = true
	p.closedAt = at
	p.closedReason = reason
}

func (p *heldProgram) keepUnlocated(sequence uint64) *unlocatedCall {
	if p.unlocated == nil {
		p.unlocated = make(map[uint64]*unlocatedCall)
	}
	held, ok := p.unlocated[sequence]
	if !ok {
		held = &unlocatedCall{}
		p.unlocated[sequence] = held
	}
	return held
}
