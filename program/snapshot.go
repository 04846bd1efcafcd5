package program

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// snapshotPart is one part of a snapshot, with some programs of the partition.
type snapshotPart struct {
	Terms    []Terms           `json:"terms"`
	Programs []snapshotProgram `json:"programs"`
}

// snapshotProgram is the durable state of one program.
type snapshotProgram struct {
	ID              api.ProgramID           `json:"id"`
	Branch          string                  `json:"branch"`
	Key             string                  `json:"key"`
	Parent          api.ProgramID           `json:"parent,omitempty"`
	Terms           int                     `json:"terms"` // index into snapshotPart.Terms
	Depth           int                     `json:"depth,omitempty"`
	RequestBudget   int64                   `json:"request_budget,omitempty"`
	RequestDuration time.Duration           `json:"request_duration,omitempty"`
	AllocatedTokens int64                   `json:"carved,omitempty"`
	CreatedAt       time.Time               `json:"created_at"`
	LastActivity    time.Time               `json:"last_activity"`
	ClosedAt        time.Time               `json:"closed_at"`
	ClosedReason    string                  `json:"closed_reason,omitempty"`
	Closed          bool                    `json:"closed,omitempty"`
	Limit           int64                   `json:"limit"`
	Spent           int64                   `json:"spent,omitempty"`
	Reserved        int64                   `json:"reserved,omitempty"`
	ChildrenSpent   int64                   `json:"settled,omitempty"`
	HistoryTokens   int                     `json:"history_tokens,omitempty"`
	Turns           int                     `json:"turns,omitempty"`
	Children        map[api.ProgramID]int64 `json:"children,omitempty"`
	// Calls has the packed call entries; see packCalls.
	Calls   []byte                     `json:"calls,omitempty"`
	Live    []snapshotCall             `json:"live,omitempty"`
	Pending map[uint64]*pendingRecords `json:"unlocated,omitempty"`
}

// snapshotCall is a call that has not ended.
type snapshotCall struct {
	Sequence     uint64         `json:"sequence"`
	Call         api.SubmitCall `json:"call"`
	InputTokens  int            `json:"input_tokens"`
	PromptTokens int            `json:"prompt_tokens"`
	Reserved     int64          `json:"reserved"`
	Deadline     time.Time      `json:"deadline"`
	Attempt      int            `json:"attempt,omitempty"`
	Backend      machine.ID     `json:"backend,omitempty"`
	Epoch        uint64         `json:"epoch,omitempty"`
	DispatchedAt time.Time      `json:"dispatched_at"`
}

// Snapshot returns the state in parts, sorted by program. A part is complete once
// it reaches Config.SnapshotPartBytes. The texts of ended calls are replaced by
// their log offsets if the log has them. The parts reflect every record applied
// so far, so they must be appended to the log after those records.
func (s *Store) Snapshot() []json.RawMessage {
	var parts []json.RawMessage
	builder := newPartBuilder()
	for _, id := range s.sortedIDs() {
		builder.add(s.programs[id])
		if builder.size() >= s.config.SnapshotPartBytes {
			parts = append(parts, builder.encode())
			builder = newPartBuilder()
		}
	}
	if !builder.empty() || len(parts) == 0 {
		parts = append(parts, builder.encode())
	}
	return parts
}

// partBuilder encodes one part of a snapshot. Programs with equal terms share one
// copy of them.
type partBuilder struct {
	programs   bytes.Buffer
	terms      []json.RawMessage
	byPointer  map[*Terms]int
	byEncoding map[string]int
}

func newPartBuilder() *partBuilder {
	return &partBuilder{byPointer: make(map[*Terms]int), byEncoding: make(map[string]int)}
}

func (b *partBuilder) empty() bool { return b.programs.Len() == 0 }

func (b *partBuilder) size() int { return b.programs.Len() }

func (b *partBuilder) add(p *programState) {
	if !b.empty() {
		b.programs.WriteByte(',')
	}
	b.programs.Write(mustMarshal(p.snapshot(b.termsIndex(p.terms))))
}

func (b *partBuilder) termsIndex(terms *Terms) int {
	if index, ok := b.byPointer[terms]; ok {
		return index
	}
	encoded := mustMarshal(terms)
	index, ok := b.byEncoding[string(encoded)]
	if !ok {
		index = len(b.terms)
		b.terms = append(b.terms, encoded)
		b.byEncoding[string(encoded)] = index
	}
	b.byPointer[terms] = index
	return index
}

// encode returns the JSON of a snapshotPart with the programs added so far, which
// are encoded already.
func (b *partBuilder) encode() json.RawMessage {
	var part bytes.Buffer
	part.WriteString(`{"terms":[`)
	part.Write(bytes.Join(toBytes(b.terms), []byte{','}))
	part.WriteString(`],"programs":[`)
	part.Write(b.programs.Bytes())
	part.WriteString(`]}`)
	return part.Bytes()
}

func toBytes(messages []json.RawMessage) [][]byte {
	converted := make([][]byte, len(messages))
	for i, message := range messages {
		converted[i] = message
	}
	return converted
}

// mustMarshal encodes a value of this package. It panics on an error, which
// cannot occur for these types.
func mustMarshal(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("program: cannot encode a snapshot as JSON: %v", err))
	}
	return encoded
}

// RecoverSnapshot adds the programs of one part of a snapshot. It must be called
// for all parts before Recover replays the records that follow the snapshot.
func (s *Store) RecoverSnapshot(encoded json.RawMessage) error {
	var part snapshotPart
	if err := json.Unmarshal(encoded, &part); err != nil {
		return fmt.Errorf("part of a snapshot: %w", err)
	}
	for _, snapshot := range part.Programs {
		if snapshot.Terms < 0 || snapshot.Terms >= len(part.Terms) {
			return fmt.Errorf("part of a snapshot, program %s: terms index out of range", snapshot.ID)
		}
		p, err := s.restore(snapshot, part.Terms[snapshot.Terms])
		if err != nil {
			return fmt.Errorf("part of a snapshot, program %s: %w", snapshot.ID, err)
		}
		if old, ok := s.programs[p.id]; ok {
			s.evict(old)
		}
		s.add(p)
		s.stats.LiveCalls += len(p.live)
	}
	return nil
}

func (p *programState) snapshot(terms int) snapshotProgram {
	snapshot := snapshotProgram{
		ID: p.id, Branch: p.branch, Key: p.key, Parent: p.parent, Terms: terms, Depth: p.depth,
		RequestBudget: p.requestBudget, RequestDuration: p.requestDuration, AllocatedTokens: p.allocatedTokens,
		CreatedAt: p.createdAt, LastActivity: p.lastActivity,
		ClosedAt: p.closedAt, ClosedReason: p.closedReason, Closed: p.closed,
		Limit: p.budget.limit, Spent: p.budget.spent, Reserved: p.budget.reserved, ChildrenSpent: p.budget.childrenSpent,
		HistoryTokens: p.historyTokens, Turns: p.turns, Children: p.children,
		Calls: packCalls(p.calls), Pending: p.pending,
	}
	for _, live := range p.live {
		snapshot.Live = append(snapshot.Live, snapshotCall{
			Sequence: live.sequence, Call: live.call,
			InputTokens: live.inputTokens, PromptTokens: live.promptTokens, Reserved: live.reserved,
			Deadline: live.deadline, Attempt: live.attempt, Backend: live.backend, Epoch: live.epoch,
			DispatchedAt: live.dispatchedAt,
		})
	}
	return snapshot
}

func (s *Store) restore(snapshot snapshotProgram, terms Terms) (*programState, error) {
	if snapshot.ID == "" {
		return nil, errors.New("missing id")
	}
	calls, err := unpackCalls(snapshot.Calls)
	if err != nil {
		return nil, err
	}
	p := &programState{
		id: snapshot.ID, branch: snapshot.Branch, key: snapshot.Key, parent: snapshot.Parent,
		terms: s.internTerms(snapshot.Branch, terms), depth: snapshot.Depth,
		requestBudget: snapshot.RequestBudget, requestDuration: snapshot.RequestDuration, allocatedTokens: snapshot.AllocatedTokens,
		createdAt: snapshot.CreatedAt, lastActivity: snapshot.LastActivity,
		closedAt: snapshot.ClosedAt, closedReason: snapshot.ClosedReason, closed: snapshot.Closed,
		historyTokens: snapshot.HistoryTokens, turns: snapshot.Turns, children: snapshot.Children,
		calls: calls, headSequence: 1, pending: snapshot.Pending,
	}
	p.budget = budget{limit: snapshot.Limit, spent: snapshot.Spent, reserved: snapshot.Reserved, childrenSpent: snapshot.ChildrenSpent}
	for _, allocatedTokens := range snapshot.Children {
		p.budget.children += allocatedTokens
	}
	for _, call := range snapshot.Live {
		if p.entry(call.Sequence) == nil {
			return nil, fmt.Errorf("call %d has no entry", call.Sequence)
		}
		p.live = append(p.live, restoreCall(call))
	}
	p.advanceHead()
	return p, nil
}

func restoreCall(call snapshotCall) *liveCall {
	return &liveCall{
		sequence: call.Sequence, call: call.Call,
		inputTokens: call.InputTokens, promptTokens: call.PromptTokens, reserved: call.Reserved,
		deadline: call.Deadline, attempt: call.Attempt, backend: call.Backend, epoch: call.Epoch,
		dispatchedAt: call.DispatchedAt, mayHaveRun: call.Attempt > 0,
	}
}
