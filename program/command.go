package program

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

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
