package program

import (
	"slices"
	"strings"

	"birchwood.example/birchwood/api"
)

// Live reports whether the program is in the store and can still change: it has
// not ended, or some of its calls or sub-agents have not.
func (s *Store) Live(id api.ProgramID) bool {
	p, ok := s.programs[id]
	return ok && !p.finished()
}

// Count returns the number of programs in the store, ended ones included.
func (s *Store) Count() int { return len(s.programs) }

// Describe returns the API representation of a program.
func (s *Store) Describe(id api.ProgramID) (api.Program, bool) {
	p, ok := s.programs[id]
	if !ok {
		return api.Program{}, false
	}
	return p.describe(), true
}

// Call returns a call by its sequence number, or by its key if the sequence
// number is zero. The texts, usage and error of a call that has ended are
// included only while its records are not in the log; after that, History
// returns the offsets at which to read them.
func (s *Store) Call(id api.ProgramID, sequence uint64, key string) (api.Call, bool) {
	p, ok := s.programs[id]
	if !ok {
		return api.Call{}, false
	}
	if sequence == 0 && key != "" {
		sequence = p.findKey(key)
	}
	if p.entry(sequence) == nil {
		return api.Call{}, false
	}
	call := p.describeCall(sequence)
	if call.Key == "" {
		call.Key = key
	}
	return call, true
}

// List returns up to limit programs of the branch and of the branches below it,
// sorted by id. An empty branch matches all programs.
func (s *Store) List(branch string, limit int) []api.Program {
	var ids []api.ProgramID
	for id, p := range s.programs {
		if branch == "" || p.branch == branch || strings.HasPrefix(p.branch, branch+"/") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	programs := make([]api.Program, 0, max(0, min(limit, len(ids))))
	for _, id := range ids {
		if len(programs) >= limit {
			break
		}
		programs = append(programs, s.programs[id].describe())
	}
	return programs
}

// Terms returns the terms that apply to the program's next dispatch.
func (s *Store) Terms(id api.ProgramID) (Terms, bool) {
	p, ok := s.programs[id]
	if !ok {
		return Terms{}, false
	}
	return *p.terms, true
}

func (p *programState) describe() api.Program {
	return api.Program{
		ID:             p.id,
		Branch:         p.branch,
		Key:            p.key,
		Parent:         p.parent,
		Ended:          p.closed,
		EndReason:      p.closedReason,
		Calls:          uint64(len(p.calls)),
		BudgetTokens:   p.budget.limit,
		SpentTokens:    p.budget.spentTokens(),
		ReservedTokens: p.budget.reservedTokens(),
		CreatedAt:      p.createdAt,
	}
}

// describeCall returns the parts of a call that are in memory.
func (p *programState) describeCall(sequence uint64) api.Call {
	if live := p.liveCall(sequence); live != nil {
		call := p.apiCall(sequence, live.call, nil)
		call.Attempt = live.attempt
		call.Backend = string(live.backend)
		if live.phase == phaseSent || live.phase == phaseLookup {
			call.Status = api.StatusRunning
		}
		return call
	}
	entry := p.calls[sequence-1]
	call := api.Call{Program: p.id, Sequence: sequence, Kind: entry.kind.kind(), Status: statusNames[entry.status]}
	records, ok := p.pending[sequence]
	if !ok {
		return call
	}
	if records.Accepted != nil {
		call.Key = records.Accepted.Call.Key
		call.Input = records.Accepted.Call.Input
	}
	if records.Ended != nil {
		setOutcome(&call, records.Ended)
	}
	return call
}

// apiCall builds a call from its request and, unless ended is nil, its outcome.
func (p *programState) apiCall(sequence uint64, request api.SubmitCall, ended *CallEnded) api.Call {
	call := api.Call{
		Program:  p.id,
		Sequence: sequence,
		Key:      request.Key,
		Kind:     request.Kind,
		Status:   api.StatusWaiting,
		Input:    request.Input,
	}
	if ended != nil {
		setOutcome(&call, ended)
	}
	return call
}

func setOutcome(call *api.Call, ended *CallEnded) {
	call.Status = ended.Status
	call.Output = ended.Output
	call.Usage = ended.Usage
	call.Backend = string(ended.Backend)
	call.Attempt = ended.Attempt
	call.Error = ended.Error
}
