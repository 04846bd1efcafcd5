package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// EffectKind is the kind of an Effect.
type EffectKind string

// The kinds of effects.
const (
	// EffectSchedule hands the call to the scheduler, which answers with a
	// Dispatch or Refuse command.
	EffectSchedule EffectKind = "start"
	// EffectSend sends the attempt to its back end.
	EffectSend EffectKind = "send"
	// EffectStop cancels the attempt at its back end, or removes the call from
	// the scheduler if Attempt is zero.
	EffectStop EffectKind = "stop"
	// EffectAnswer sends the call, which has ended, to its waiting callers.
	EffectAnswer EffectKind = "answer"
	// EffectLookup looks up the call's key at the tool service.
	EffectLookup EffectKind = "lookup"
	// EffectRelease frees the memory that engines hold for an ended program.
	EffectRelease EffectKind = "release"
)

// Effect is an action that the driver performs outside the state machine.
type Effect struct {
	Kind    EffectKind
	Attempt AttemptRef
	Backend machine.ID
	// Epoch is the epoch in which the attempt was dispatched, for EffectSend.
	Epoch uint64
	Call  api.SubmitCall
	// Key identifies the call at a tool service: the program, the sequence number
	// and the caller's key.
	Key string
	// PromptTokens, Deadline, Terms and AttainedTokens are for EffectSchedule.
	PromptTokens int
	Deadline     time.Time
	Terms        Terms
	Branch       string
	// AttainedTokens is the service that the program has received, in tokens.
	AttainedTokens int64
	// Delay postpones EffectSchedule or EffectLookup by the backoff of a retry.
	Delay time.Duration
	// Avoid lists the back ends that failed an earlier attempt, for
	// EffectSchedule.
	Avoid []machine.ID
	// Answer is the complete call, for EffectAnswer.
	Answer *api.Call
}

// Output is the result of a Step, Tick or Resume. Effects may be performed only
// once Records are durable; Immediate may be performed at once.
type Output struct {
	Records   []Record
	Effects   []Effect
	Immediate []Effect
	// Program and Call describe the objects of the command, for the reply.
	Program *api.Program
	Call    *api.Call
}
