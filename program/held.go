package program

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// programState is the state of one program. Durable fields are determined by the
// records alone; Resume sets up the others.
type programState struct {
	id     api.ProgramID
	branch string
	key    string
	parent api.ProgramID
	terms  *Terms
	depth  int

	// requestBudget and requestDuration are the limits in the create request,
	// which can only lower the contract's; zero means none. allocatedTokens is the
	// budget of a sub-agent.
	requestBudget   int64
	requestDuration time.Duration
	allocatedTokens int64

	createdAt    time.Time
	lastActivity time.Time
	closedAt     time.Time
	closedReason string
	closed       bool

	budget budget
	// historyTokens is the length of the history, which precedes the input of the
	// next call in its prompt.
	historyTokens int
	// turns counts accepted calls and started sub-agents.
	turns int
	// children has the allocated tokens of each sub-agent until they are
	// refunded.
	children map[api.ProgramID]int64

	// calls has an entry for each sequence number: calls[i] is number i+1.
	// headSequence is the lowest number whose call has not ended or not arrived.
	// live are the calls that have not ended, by sequence number. pending has
	// the records that are not in the log yet, by sequence number.
	calls        []callEntry
	headSequence uint64
	live         []*liveCall
	pending      map[uint64]*pendingRecords

	// endCompleted is set once the end of the program is complete, see
	// completeEnd. endOnTurnLimit makes Tick end the program once its calls have
	// ended, because it requested more than its limit of turns.
	endCompleted   bool
	endOnTurnLimit bool
	// marked is set while the program is in transition.marked.
	marked bool
	timer  timer
}

// callEntry is the part of a call that stays in memory after it has ended: 40
// bytes.
type callEntry struct {
	keyHash  uint64
	bodyHash uint64
	accepted uint64 // offset, or NoOffset
	ended    uint64 // offset, or NoOffset
	status   statusCode
	kind     kindCode
}

// pendingRecords holds the records of a call until their log offsets are known.
type pendingRecords struct {
	Accepted *Accepted  `json:"accepted,omitempty"`
	Ended    *CallEnded `json:"ended,omitempty"`
}

// phase is the progress of a call that has not ended.
type phase uint8

const (
	// phaseQueued: the call waits for earlier calls of the program.
	phaseQueued phase = iota
	// phaseScheduled: the call waits in the scheduler or for the end of its
	// backoff.
	phaseScheduled
	// phaseSent: an attempt was sent, or will be once its Dispatched record is
	// durable.
	phaseSent
	// phaseLookup: the outcome of the call is looked up at the tool service.
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

	// The fields below are not durable.
	phase       phase
	failures    int // attempts that count towards Terms.Attempts
	reschedules int // retries, also those that are not failures, for the backoff
	avoid       []machine.ID
	// mayHaveRun is set if any attempt may have reached a back end;
	// mayHaveRunBefore is the same for the attempts before the current one.
	mayHaveRun       bool
	mayHaveRunBefore bool
	lastError        *api.Error
	lookup           lookupState
}

func (c *liveCall) repeatable() bool {
	return c.call.Kind == api.CallModel || c.call.Repeatable
}

// accepted returns the record that accepted the call, with the current prompt
// length and reservation.
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

// head returns the call that is next to run or running: every earlier call has
// ended. It is nil if the call with that sequence number has not arrived.
func (p *programState) head() *liveCall {
	if len(p.live) == 0 || p.live[0].sequence != p.headSequence {
		return nil
	}
	return p.live[0]
}

// findKey returns the sequence number of the call with the caller's key, or zero
// if there is none.
func (p *programState) findKey(key string) uint64 {
	hash := xxhash.Sum64String(key)
	for i := len(p.calls) - 1; i >= 0; i-- {
		if p.calls[i].keyHash == hash && p.calls[i].status != statusVacant {
			return uint64(i + 1)
		}
	}
	return 0
}

// finished reports whether the program and all its calls and sub-agents have
// ended.
func (p *programState) finished() bool {
	return p.closed && len(p.live) == 0 && len(p.children) == 0
}

// serviceKey returns the key that identifies a call at a tool service. It is the
// same for every attempt.
func (p *programState) serviceKey(live *liveCall) string {
	return string(p.id) + "/" + strconv.FormatUint(live.sequence, 10) + "/" + live.call.Key
}

// bodyHash returns a hash of the request that detects a key that is reused with
// another body. The sequence number, the timeout and the choice of streaming are
// not part of the body.
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
