package program

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// Command is a request to a Store. It is a tagged union: exactly one of the
// pointers is set.
type Command struct {
	Program     api.ProgramID
	Create      *Create
	Submit      *Submit
	Dispatch    *Dispatch
	Outcome     *Outcome
	Lookup      *LookupResult
	Cancel      *Cancel
	Refuse      *Refusal
	End         *End
	UpdateTerms *Terms // the terms of a newer contract revision
}

// Create creates a program, or returns the existing one with the same key.
type Create struct {
	Request api.CreateProgram
	Parent  api.ProgramID
	Terms   Terms
}

// Submit accepts a call, or returns the existing one with the same key.
type Submit struct {
	Request api.SubmitCall
	// InputTokens is the length of Request.Input in tokens. The store counts
	// them itself if it is zero.
	InputTokens int
}

// Dispatch reports that the scheduler chose a back end for a scheduled call.
type Dispatch struct {
	Call    CallRef
	Backend machine.ID
	Epoch   uint64
}

// Outcome reports the result of one attempt.
type Outcome struct {
	Attempt AttemptRef
	// Epoch is the epoch in which the attempt was sent, copied from its effect.
	// The outcome of an attempt from another epoch is ignored. Zero matches any
	// epoch.
	Epoch uint64
	// Status is StatusSucceeded, StatusFailed, StatusNotRun (nothing reached
	// the back end) or StatusOutcomeUnknown.
	Status api.CallStatus
	Output string
	Usage  api.Usage
	Error  *api.Error
}

// LookupResult is the tool service's answer to the lookup of a call whose
// outcome is unknown.
type LookupResult struct {
	Call CallRef
	// Found is set when the service has a result for the key, which is then in
	// Output.
	Found  bool
	Output string
	// Err is set when the lookup itself failed.
	Err error
}

// Cancel requests that a call is stopped.
type Cancel struct{ Sequence uint64 }

// Refusal reports that the scheduler will not serve a scheduled call.
type Refusal struct {
	Call  CallRef
	Error *api.Error
}

// End requests that a program is ended.
type End struct{ Reason string }
