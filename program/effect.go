package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// EffectKind tells what an Effect asks for.
type EffectKind string

// The kinds of effect.
const (
	// EffectStart hands the call to the scheduler; Dispatch or Refuse follows.
	EffectStart EffectKind = "start"
	// EffectSend sends the attempt to its back end.
	EffectSend EffectKind = "send"
	// EffectStop cancels the attempt at its back end, or takes the call out
	// of the scheduler when Attempt is zero.
	EffectStop EffectKind = "stop"
	// EffectAnswer: the call is terminal; waiting callers get it.
	EffectAnswer EffectKind = "answer"
	// EffectLookup asks the tool service about the call's key.
	EffectLookup EffectKind = "lookup"
	// EffectRelease: the program is gone; its engine memory is released.
	EffectRelease EffectKind = "release"
)

// Effect is something the driver does outside the state machine.
type Effect struct {
	Kind    EffectKind
	Attempt AttemptRef
	Backend machine.ID
	// Epoch is the one that dispatched the attempt, for EffectSend.
	Epoch uint64
	Call  api.SubmitCall
	// Key identifies the call at a tool service: program, sequence and the
	// caller's key.
	Key string
	// PromptTokens, Deadline, Terms and Attained are for EffectStart.
	PromptTokens int
	Deadline     time.Time
	Terms        Terms
	Branch       string
	// Attained is the service that the program has received, in tokens.
	Attained int64
	// Delay postpones EffectStart or EffectLookup: the retry's backoff.
	Delay time.Duration
	// Avoid are the back ends that failed an earlier attempt, for EffectStart.
	Avoid []machine.ID
	// Answer is the whole terminal call, for EffectAnswer.
	Answer *api.Call
}

// Output is what a Step decided. Effects may be performed only once Records
// are durable; Immediate may be performed at once.
type Output struct {
	Records   []Record
	Effects   []Effect
	Immediate []Effect
	// Program and Call describe what a command acted on, for the reply.
	Program *api.Program
	Call    *api.Call
}
