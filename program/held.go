package program

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// programState is the state of one program. Durable fields follow from the
// records alone; the others are made anew by Resume.
type programState struct {
	id     api.ProgramID
	branch string
	key    string
	parent api.ProgramID
	terms  *Terms
	depth  int

	// requestBudget and requestDuration are the limits that the creator set
	// below the contract's; zero for none. carved is a sub-agent's budget.
	requestBudget   int64
	requestDuration time.Duration
	allocatedTokens int64

	createdAt    time.Time
	lastActivity time.Time
	closedAt     time.Time
	closedReason string
	closed       bool

	budget budget
	// historyTokens is the length of the prompt that the next call extends.
	historyTokens int
	// turns counts the calls accepted and the sub-agents started.
	turns int
	// children are the sub-agents that have not returned their budget yet.
	children map[api.ProgramID]int64

	// calls holds a small entry for each place, from 1; next is the lowest
	// place that has not ended; live are the calls that have not ended, by
	// place; unlocated holds the records that the log does not have yet.
	calls        []callEntry
	headSequence uint64
	live         []*liveCall
	pending      map[uint64]*pendingRecords

	// endCompleted is set once the end of the program is complete; exhausted asks
	// the next Tick to end a program that ran into its limit of turns.
	endCompleted   bool
	endOnTurnLimit bool
	// marked is set while a transition is about to set the timer.
	marked bool
	timer  timer
}

// callEntry is what stays in memory of a call that has ended: 40 bytes.
type callEntry struct {
	keyHash  uint64
	bodyHash uint64
	accepted uint64 // offset, or NoOffset
	ended    uint64 // offset, or NoOffset
	status   statusCode
	kind     kindCode
}

// pendingRecords holds the records of a call until the log tells their offset.
type pendingRecords struct {
	Accepted *Accepted  `json:"accepted,omitempty"`
	Ended    *CallEnded `json:"ended,omitempty"`
}

// phase tells where a call that has not ended stands.
type phase uint8

const (
	// phaseQueued: earlier calls of the program come first.
	phaseQueued phase = iota
	// phaseScheduled: the scheduler has the call, or its backoff runs.
	phaseScheduled
	// phaseSent: an attempt was sent, or will be once its intent is durable.
	phaseSent
	// phaseLookup: the tool service is asked what became of the call.
	phaseLookup
)

// liveCall is a call that has not ended.
type liveCall struct {
	sequence     uint64
	call         api.SubmitCall
	inputTokens  int
	promptTokens int
	reserved     int64
	deadline     time.Time

	attempt      int
	backend      machine.ID
	epoch        uint64
	dispatchedAt time.Time

	// What follows is not durable.
	phase       phase
	failures    int // attempts that count against the contract's limit
	reschedules int // starts after the first, for the backoff
	avoid       []machine.ID
	// mayHaveRun: some attempt may have reached a back end. ranBefore is the
	// same without the current attempt.
	mayHaveRun       bool
	mayHaveRunBefore bool
	lastError        *api.Error
	lookup           lookupState
}

func (c *liveCall) repeatable() bool {
	return c.call.Kind == api.CallModel || c.call.Repeatable
}

// accepted is the record that admitted the call, with its present prompt.
func (c *liveCall) accepted(bodyHash uint64) *Accepted {
	return &Accepted{
		Sequence:       c.sequence,
		Call:           c.call,
		BodyHash:       bodyHash,
		InputTokens:    c.inputTokens,
		PromptTokens:   c.promptTokens,
		ReservedTokens: c.reserved,
		Deadline:       c.deadline,
	}
}

func (p *programState) entry(sequence uint64) *callEntry {
	if sequence == 0 || sequence > uint64(len(p.calls)) {
		return nil
	}
	entry := &p.calls[sequence-1]
	if entry.status == statusVacant {
		return nil
	}
	return entry
}

func (p *programState) liveIndex(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(p.live, sequence, func(live *liveCall, wanted uint64) int {
		switch {
		case live.sequence < wanted:
			return -1
		case live.sequence > wanted:
			return 1
		}
		return 0
	})
}

func (p *programState) liveCall(sequence uint64) *liveCall {
	index, found := p.liveIndex(sequence)
	if !found {
		return nil
	}
	return p.live[index]
}

// head is the call whose turn it is: every earlier place has ended. It is nil
// while the call of that place is missing.
func (p *programState) head() *liveCall {
	if len(p.live) == 0 || p.live[0].sequence != p.headSequence {
		return nil
	}
	return p.live[0]
}

// findKey returns the place of the call with the caller's key, or zero.
func (p *programState) findKey(key string) uint64 {
	hash := xxhash.Sum64String(key)
	for i := len(p.calls) - 1; i >= 0; i-- {
		if p.calls[i].keyHash == hash && p.calls[i].status != statusVacant {
			return uint64(i + 1)
		}
	}
	return 0
}

// finished reports whether nothing of the program can happen any more.
func (p *programState) finished() bool {
	return p.closed && len(p.live) == 0 && len(p.children) == 0
}

// serviceKey identifies a call at a tool service, the same in every attempt.
func (p *programState) serviceKey(live *liveCall) string {
	return string(p.id) + "/" + strconv.FormatUint(live.sequence, 10) + "/" + live.call.Key
}

// bodyHash tells a repeated key with another body apart. The place and the
// form of the answer are not part of the body.
func bodyHash(request api.SubmitCall) uint64 {
	digest := xxhash.New()
	for _, part := range []string{
		request.Key, string(request.Kind), request.Model, request.Tool, request.Input,
		strconv.Itoa(request.MaxOutputTokens), strconv.FormatBool(request.Repeatable),
	} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}
