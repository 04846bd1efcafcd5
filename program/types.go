package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Terms are the parts of a contract that bind one program. They are recorded
// at its creation; placement and limits follow later revisions.
type Terms struct {
	Revision     uint64         `json:"revision"`
	Placement    zone.Placement `json:"placement"`
	Models       []string       `json:"models,omitempty"`
	Tools        []string       `json:"tools,omitempty"`
	Priority     int            `json:"priority"`
	BudgetTokens int64          `json:"budget_tokens"`
	MaxTurns     int            `json:"max_turns"`
	// MaxDuration bounds a program's life, from its creation.
	MaxDuration time.Duration `json:"max_duration"`
	// IdleTimeout ends a program that makes no call for so long.
	IdleTimeout time.Duration `json:"idle_timeout"`
	CallTimeout time.Duration `json:"call_timeout"`
	ToolTimeout time.Duration `json:"tool_timeout"`
	// MaxOutputTokens caps the output of one model call.
	MaxOutputTokens int `json:"max_output_tokens"`
	// Drained are back ends that get no new calls.
	Drained []string `json:"drained,omitempty"`
	// Attempts bounds how often a repeatable call is tried.
	Attempts int `json:"attempts"`
	// Retention is how long an ended program is remembered: its history stays
	// readable and its keys stay taken. Zero keeps it as long as the store.
	Retention time.Duration `json:"retention,omitempty"`
}

// CallRef names one call of one program.
type CallRef struct {
	Program  api.ProgramID `json:"program"`
	Sequence uint64        `json:"sequence"`
}

// AttemptRef names one attempt at a call. Answers are matched on it.
type AttemptRef struct {
	CallRef
	Attempt int `json:"attempt"`
}

// Record is one durable fact about a program, a tagged union: exactly one
// optional field is set. Folding the records of a partition in order gives
// the same programs on every node.
type Record struct {
	At         time.Time     `json:"at"`
	Program    api.ProgramID `json:"program"`
	Created    *Created      `json:"created,omitempty"`
	Accepted   *Accepted     `json:"accepted,omitempty"`
	Dispatched *Dispatched   `json:"dispatched,omitempty"`
	Ended      *CallEnded    `json:"ended,omitempty"`
	Carved     *Carved       `json:"carved,omitempty"`
	Terms      *Terms        `json:"terms,omitempty"`
	Closed     *Closed       `json:"closed,omitempty"`
	Confirmed  *Confirmed    `json:"confirmed,omitempty"`
}

// Confirmed changes nothing. Once it is durable, its writer owned the
// partition when it was proposed, so that what the writer held then was
// everything: a former owner that does not know of its successor yet cannot
// make it durable.
type Confirmed struct{}

// Created opens a program.
type Created struct {
	Branch string        `json:"branch"`
	Key    string        `json:"key"`
	Parent api.ProgramID `json:"parent,omitempty"`
	Terms  Terms         `json:"terms"`
	// BudgetTokens and DeadlineMilliseconds are the limits that the request
	// set below the contract's; zero where it set none.
	BudgetTokens         int64 `json:"budget_tokens,omitempty"`
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// CarvedTokens is a sub-agent's budget, taken from its parent's by the
	// Carved record before this one.
	CarvedTokens int64 `json:"carved_tokens,omitempty"`
	// Depth is the number of ancestors.
	Depth int `json:"depth,omitempty"`
}

// Accepted admits a call at its place in the program's order and reserves
// its budget.
type Accepted struct {
	Sequence uint64         `json:"sequence"`
	Call     api.SubmitCall `json:"call"`
	// BodyHash tells a repeated key with another body apart.
	BodyHash uint64 `json:"body_hash"`
	// InputTokens is the length of the call's own input.
	InputTokens int `json:"input_tokens"`
	// PromptTokens is the length of the whole prompt, history included. While
	// earlier calls have not ended it is an estimate from their output caps.
	PromptTokens int `json:"prompt_tokens"`
	// ReservedTokens is held against the budget until the call ends.
	ReservedTokens int64     `json:"reserved_tokens"`
	Deadline       time.Time `json:"deadline"`
}

// Dispatched records the intent to send an attempt to a back end. For a call
// that is not repeatable it is durable before anything is sent.
type Dispatched struct {
	Sequence uint64     `json:"sequence"`
	Attempt  int        `json:"attempt"`
	Backend  machine.ID `json:"backend"`
	Epoch    uint64     `json:"epoch"`
}

// CallEnded is a call's final outcome.
type CallEnded struct {
	Sequence uint64         `json:"sequence"`
	Attempt  int            `json:"attempt"`
	Status   api.CallStatus `json:"status"`
	Backend  machine.ID     `json:"backend,omitempty"`
	Output   string         `json:"output,omitempty"`
	Usage    api.Usage      `json:"usage"`
	Error    *api.Error     `json:"error,omitempty"`
	// HeldTokens is the part of the reservation that stays held for good,
	// because nobody knows what the call cost.
	HeldTokens int64 `json:"held_tokens,omitempty"`
}

// Carved moves budget from a parent program to its sub-agent, or back when
// the sub-agent ends: the first record of a child carves Tokens out, the
// second returns what is unspent, as a negative number of Tokens.
type Carved struct {
	Child  api.ProgramID `json:"child"`
	Tokens int64         `json:"tokens"`
}

// Closed ends a program.
type Closed struct {
	Reason string `json:"reason"`
}

// Command is a request to a Store, a tagged union: exactly one optional field
// is set.
type Command struct {
	Program  api.ProgramID
	Create   *Create
	Submit   *Submit
	Dispatch *Dispatch
	Outcome  *Outcome
	Lookup   *LookupResult
	Cancel   *Cancel
	Refuse   *Refusal
	End      *End
	Retarget *Terms // a new revision of the contract
}

// Create opens a program or returns the one that has the same key.
type Create struct {
	Request api.CreateProgram
	Parent  api.ProgramID
	Terms   Terms
}

// Submit admits a call or returns the one that has the same key.
type Submit struct {
	Request api.SubmitCall
	// InputTokens is the length of Request.Input.
	InputTokens int
}

// Dispatch says that the scheduler chose a back end for a started call.
type Dispatch struct {
	Call    CallRef
	Backend machine.ID
	Epoch   uint64
}

// Outcome is what became of one attempt.
type Outcome struct {
	Attempt AttemptRef
	// Epoch is the one in which the attempt was sent, as its effect told. An
	// outcome from another epoch's attempt is dropped. Zero is not compared.
	Epoch uint64
	// Status is StatusSucceeded, StatusFailed, StatusNotRun (nothing reached
	// the back end) or StatusOutcomeUnknown.
	Status api.CallStatus
	Output string
	Usage  api.Usage
	Error  *api.Error
}

// LookupResult is the tool service's answer about a key whose outcome was
// unknown.
type LookupResult struct {
	Call CallRef
	// Found says that the service knows the key; Output is then its answer.
	Found  bool
	Output string
	// Err is set when the service could not be asked.
	Err error
}

// Cancel asks to stop a call.
type Cancel struct{ Sequence uint64 }

// Refusal is the scheduler's word that a started call will not be served.
type Refusal struct {
	Call  CallRef
	Error *api.Error
}

// End asks to end a program.
type End struct{ Reason string }

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
