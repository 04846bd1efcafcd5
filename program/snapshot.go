package program

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// snapshotPart is one part of a snapshot: some programs of the partition.
type snapshotPart struct {
	Programs []json.RawMessage `json:"programs"`
}

// snapshotProgram is the durable state of one program.
type snapshotProgram struct {
	ID              api.ProgramID           `json:"id"`
	Branch          string                  `json:"branch"`
	Key             string                  `json:"key"`
	Parent          api.ProgramID           `json:"parent,omitempty"`
	Terms           *Terms                  `json:"terms"`
	Depth           int                     `json:"depth,omitempty"`
	RequestBudget   int64                   `json:"request_budget,omitempty"`
	RequestDuration time.Duration           `json:"request_duration,omitempty"`
	Carved          int64                   `json:"carved,omitempty"`
	CreatedAt       time.Time               `json:"created_at"`
	LastActivity    time.Time               `json:"last_activity"`
	ClosedAt        time.Time               `json:"closed_at"`
	ClosedReason    string                  `json:"closed_reason,omitempty"`
	Closed          bool                    `json:"closed,omitempty"`
	Limit           int64                   `json:"limit"`
	Spent           int64                   `json:"spent,omitempty"`
	Reserved        int64                   `json:"reserved,omitempty"`
	Settled         int64                   `json:"settled,omitempty"`
	HistoryTokens   int                     `json:"history_tokens,omitempty"`
	Turns           int                     `json:"turns,omitempty"`
	Children        map[api.ProgramID]int64 `json:"children,omitempty"`
	// Calls packs the small entries of the places; see packCalls.
	Calls     []byte                    `json:"calls,omitempty"`
	Live      []snapshotCall            `json:"live,omitempty"`
	Unlocated map[uint64]*unlocatedCall `json:"unlocated,omitempty"`
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

// Snapshot returns the state in parts of bounded size, sorted by program: a
// part is closed once it reaches Config.SnapshotPartBytes. Texts of ended
// calls are left out; their offsets stand in for them. The parts hold every
// record applied so far, so that they must follow those in the log.
func (s *Store) Snapshot() []json.RawMessage {
	var parts []json.RawMessage
	var part snapshotPart
	size := 0
	for _, id := range s.sortedIDs() {
		encoded := mustMarshal(s.programs[id].snapshot())
		part.Programs = append(part.Programs, encoded)
		size += len(encoded)
		if size >= s.config.SnapshotPartBytes {
			parts = append(parts, mustMarshal(part))
			part, size = snapshotPart{}, 0
		}
	}
	if len(part.Programs) > 0 || len(parts) == 0 {
		parts = append(parts, mustMarshal(part))
	}
	return parts
}

// mustMarshal encodes a type of this package, which always has a JSON form.
func mustMarshal(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("program: a snapshot has no JSON form: %v", err))
	}
	return encoded
}

// RecoverSnapshot adds the programs of one part, before the records that
// follow the snapshot are folded.
func (s *Store) RecoverSnapshot(encoded json.RawMessage) error {
	var part snapshotPart
	if err := json.Unmarshal(encoded, &part); err != nil {
		return fmt.Errorf("part of a snapshot: %w", err)
	}
	for i, raw := range part.Programs {
		var snapshot snapshotProgram
		if err := json.Unmarshal(raw, &snapshot); err != nil {
			return fmt.Errorf("part of a snapshot, program %d: %w", i, err)
		}
		p, err := s.restore(snapshot)
		if err != nil {
			return fmt.Errorf("part of a snapshot, program %s: %w", snapshot.ID, err)
		}
		if old, ok := s.programs[p.id]; ok {
			s.forget(old)
		}
		s.hold(p)
		s.gauge.LiveCalls += len(p.live)
	}
	return nil
}

func (p *heldProgram) snapshot() snapshotProgram {
	snapshot := snapshotProgram{
		ID: p.id, Branch: p.branch, Key: p.key, Parent: p.parent, Terms: p.terms, Depth: p.depth,
		RequestBudget: p.requestBudget, RequestDuration: p.requestDuration, Carved: p.carved,
		CreatedAt: p.createdAt, LastActivity: p.lastActivity,
		ClosedAt: p.closedAt, ClosedReason: p.closedReason, Closed: p.closed,
		Limit: p.budget.limit, Spent: p.budget.spent, Reserved: p.budget.reserved, Settled: p.budget.settled,
		HistoryTokens: p.historyTokens, Turns: p.turns, Children: p.children,
		Calls: packCalls(p.calls), Unlocated: p.unlocated,
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

func (s *Store) restore(snapshot snapshotProgram) (*heldProgram, error) {
	if snapshot.ID == "" || snapshot.Terms == nil {
		return nil, fmt.Errorf("it has no id or no terms")
	}
	calls, err := unpackCalls(snapshot.Calls)
	if err != nil {
		return nil, err
	}
	p := &heldProgram{
		id: snapshot.ID, branch: snapshot.Branch, key: snapshot.Key, parent: snapshot.Parent,
		terms: s.shareTerms(snapshot.Branch, *snapshot.Terms), depth: snapshot.Depth,
		requestBudget: snapshot.RequestBudget, requestDuration: snapshot.RequestDuration, carved: snapshot.Carved,
		createdAt: snapshot.CreatedAt, lastActivity: snapshot.LastActivity,
		closedAt: snapshot.ClosedAt, closedReason: snapshot.ClosedReason, closed: snapshot.Closed,
		historyTokens: snapshot.HistoryTokens, turns: snapshot.Turns, children: snapshot.Children,
		calls: calls, next: 1, unlocated: snapshot.Unlocated,
	}
	p.budget = budget{limit: snapshot.Limit, spent: snapshot.Spent, reserved: snapshot.Reserved, settled: snapshot.Settled}
	for _, carved := range snapshot.Children {
		p.budget.children += carved
	}
	for _, call := range snapshot.Live {
		if p.entry(call.Sequence) == nil {
			return nil, fmt.Errorf("call %d has no entry", call.Sequence)
		}
		p.live = append(p.live, restoreCall(call))
	}
	p.passEnded()
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

// The layout of one packed entry: status, kind, key hash, body hash, then the
// two offsets, all little-endian.
const (
	packedKey      = 2
	packedBody     = packedKey + 8
	packedAccepted = packedBody + 8
	packedEnded    = packedAccepted + 8
	packedBytes    = packedEnded + 8
)

func packCalls(calls []callEntry) []byte {
	packed := make([]byte, len(calls)*packedBytes)
	for i, entry := range calls {
		target := packed[i*packedBytes : (i+1)*packedBytes]
		target[0] = byte(entry.status)
		target[1] = byte(entry.kind)
		binary.LittleEndian.PutUint64(target[packedKey:], entry.keyHash)
		binary.LittleEndian.PutUint64(target[packedBody:], entry.bodyHash)
		binary.LittleEndian.PutUint64(target[packedAccepted:], entry.accepted)
		binary.LittleEndian.PutUint64(target[packedEnded:], entry.ended)
	}
	return packed
}

func unpackCalls(packed []byte) ([]callEntry, error) {
	if len(packed)%packedBytes != 0 {
		return nil, fmt.Errorf("%d bytes of call entries: want a multiple of %d", len(packed), packedBytes)
	}
	calls := make([]callEntry, len(packed)/packedBytes)
	for i := range calls {
		source := packed[i*packedBytes : (i+1)*packedBytes]
		if statusCode(source[0]) > statusCancelled {
			return nil, fmt.Errorf("call entry %d has status %d", i, source[0])
		}
		calls[i] = callEntry{
			status:   statusCode(source[0]),
			kind:     kindCode(source[1]),
			keyHash:  binary.LittleEndian.Uint64(source[packedKey:]),
			bodyHash: binary.LittleEndian.Uint64(source[packedBody:]),
			accepted: binary.LittleEndian.Uint64(source[packedAccepted:]),
			ended:    binary.LittleEndian.Uint64(source[packedEnded:]),
		}
	}
	return calls, nil
}
