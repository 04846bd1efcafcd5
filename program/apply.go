package program

import (
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
)

// apply applies one record to the durable state. The offset is NoOffset while
// the record is not in the log. A record of a program that is not in the store
// is skipped, because the program was evicted.
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
		s.stats.LiveCalls++
	case record.Dispatched != nil:
		p.applyDispatched(record.At, record.Dispatched)
	case record.Ended != nil:
		if p.applyEnded(offset, record.At, record.Ended, s.config.CountTokens) {
			s.stats.LiveCalls--
		}
	case record.BudgetTransferred != nil:
		p.applyBudgetTransferred(record.At, *record.BudgetTransferred)
	case record.Terms != nil:
		p.terms = s.internTerms(p.branch, *record.Terms)
		p.budget.limit = p.budgetLimit()
	case record.Closed != nil:
		p.applyClosed(record.At, record.Closed.Reason)
	}
}

func (s *Store) applyCreated(record Record) {
	created := record.Created
	if old, ok := s.programs[record.Program]; ok {
		s.evict(old)
	}
	p := &programState{
		id:              record.Program,
		branch:          created.Branch,
		key:             created.Key,
		parent:          created.Parent,
		terms:           s.internTerms(created.Branch, created.Terms),
		depth:           created.Depth,
		requestBudget:   created.BudgetTokens,
		requestDuration: time.Duration(created.DeadlineMilliseconds) * time.Millisecond,
		allocatedTokens: created.AllocatedTokens,
		createdAt:       record.At,
		lastActivity:    record.At,
		headSequence:    1,
	}
	p.budget.limit = p.budgetLimit()
	s.add(p)
}

// add adds a program to the store.
func (s *Store) add(p *programState) {
	p.timer.index = timerUnset
	s.programs[p.id] = p
}

// internTerms returns the branch's shared copy of the terms if it is equal, and
// otherwise makes terms the shared copy.
func (s *Store) internTerms(branch string, terms Terms) *Terms {
	if shared, ok := s.terms[branch]; ok && reflect.DeepEqual(*shared, terms) {
		return shared
	}
	s.terms[branch] = &terms
	return &terms
}

func (p *programState) applyAccepted(offset uint64, at time.Time, accepted *Accepted) {
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
		p.pendingFor(sequence).Accepted = accepted
	}
}

// growCalls adds vacant entries up to the sequence number. Capacity grows by a
// quarter instead of doubling, because the entries of idle programs are most of
// the store's memory.
func (p *programState) growCalls(sequence uint64) {
	if needed := int(sequence) - cap(p.calls); needed > 0 {
		growth := len(p.calls)/4 + minimumCallGrowth
		grown := make([]callEntry, len(p.calls), len(p.calls)+max(needed, growth))
		copy(grown, p.calls)
		p.calls = grown
	}
	for uint64(len(p.calls)) < sequence {
		p.calls = append(p.calls, callEntry{accepted: NoOffset, ended: NoOffset})
	}
}

// minimumCallGrowth is the smallest number of entries to grow by.
const minimumCallGrowth = 2

func (p *programState) applyDispatched(at time.Time, dispatched *Dispatched) {
	live := p.liveCall(dispatched.Sequence)
	if live == nil {
		return
	}
	live.attempt = dispatched.Attempt
	live.backend = dispatched.Backend
	live.epoch = dispatched.Epoch
	live.dispatchedAt = at
	// If a call that is not repeatable is dispatched again, nothing of the
	// previous attempt was sent.
	live.mayHaveRunBefore = live.mayHaveRun && live.repeatable()
	live.mayHaveRun = true
}

// applyEnded ends a call and reports whether it was live.
func (p *programState) applyEnded(offset uint64, at time.Time, ended *CallEnded, countTokens func(string) int) bool {
	index, found := p.liveIndex(ended.Sequence)
	if !found {
		return false
	}
	live := p.live[index]
	p.live = slices.Delete(p.live, index, index+1)
	p.settleReservation(live, ended)
	entry := &p.calls[ended.Sequence-1]
	entry.status = terminalCode(ended.Status)
	entry.ended = offset
	if entry.status == statusSucceeded {
		p.historyTokens += live.inputTokens + countTokens(ended.Output)
	}
	if offset == NoOffset {
		p.pendingFor(ended.Sequence).Ended = ended
	}
	p.lastActivity = at
	p.advanceHead()
	p.updateHeadReservation()
	return true
}

// advanceHead moves headSequence past the calls that have ended.
func (p *programState) advanceHead() {
	for p.headSequence <= uint64(len(p.calls)) && p.calls[p.headSequence-1].status > statusLive {
		p.headSequence++
	}
}

func (p *programState) applyBudgetTransferred(at time.Time, transfer BudgetTransferred) {
	allocated, returning := p.children[transfer.Child]
	p.lastActivity = at
	if returning {
		p.budget.children -= allocated
		p.budget.childrenSpent += allocated + transfer.Tokens
		delete(p.children, transfer.Child)
		return
	}
	if p.children == nil {
		p.children = make(map[api.ProgramID]int64)
	}
	p.children[transfer.Child] = transfer.Tokens
	p.budget.children += transfer.Tokens
	p.turns++
}

func (p *programState) applyClosed(at time.Time, reason string) {
	p.closed = true
	p.closedAt = at
	p.closedReason = reason
}

// pendingFor returns the pending records of the call, creating an empty entry if
// there is none.
func (p *programState) pendingFor(sequence uint64) *pendingRecords {
	if p.pending == nil {
		p.pending = make(map[uint64]*pendingRecords)
	}
	records, ok := p.pending[sequence]
	if !ok {
		records = &pendingRecords{}
		p.pending[sequence] = records
	}
	return records
}
