package history

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Event is one fact that an observer recorded. Exactly one pointer is set.
type Event struct {
	At              time.Time        `json:"at"`
	Run             *Run             `json:"run,omitempty"`
	Sent            *Sent            `json:"sent,omitempty"`
	Got             *Got             `json:"got,omitempty"`
	Lost            *Lost            `json:"lost,omitempty"`
	Read            *Read            `json:"read,omitempty"`
	AttemptStarted  *AttemptStarted  `json:"started,omitempty"`
	AttemptFinished *AttemptFinished `json:"finished,omitempty"`
	CallEnded       *CallEnded       `json:"ended,omitempty"`
	EngineCache     *EngineCache     `json:"held,omitempty"`
	ProgramCreated  *ProgramCreated  `json:"opened,omitempty"`
	ProgramEnded    *ProgramEnded    `json:"closed,omitempty"`
	PlacementSet    *PlacementSet    `json:"placed,omitempty"`
	Stream          *StreamUse       `json:"stream,omitempty"`
	SettingsChange  *SettingsChange  `json:"change,omitempty"`
	Verdict         *Verdict         `json:"verdict,omitempty"`
	InForce         *InForce         `json:"in_force,omitempty"`
	Fault           *Fault           `json:"fault,omitempty"`
	Leaving         *Leaving         `json:"leaving,omitempty"`
	Gap             *Gap             `json:"gap,omitempty"`
	PlannedStop     *PlannedStop     `json:"stop,omitempty"`
	RunEnded        *RunEnded        `json:"run_ended,omitempty"`
}

// Run is the first event of a history. It identifies the run and sets the
// bounds of its invariants.
type Run struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Replay is the command that repeats the run.
	Replay string `json:"replay,omitempty"`
	// The bounds of the invariants; zero means the default. MoveBound is how
	// long the records of a branch may still be used in a zone that its
	// placement no longer permits.
	LeavingBound  time.Duration `json:"leaving_bound,omitempty"`
	SettingsBound time.Duration `json:"settings_bound,omitempty"`
	MoveBound     time.Duration `json:"move_bound,omitempty"`
	MemoryBound   time.Duration `json:"memory_bound,omitempty"`
}

// RunEnded is the last event of a history.
type RunEnded struct {
	// Settled is set when every fault had ended and the run then waited long
	// enough for every request to be answered and every sweep to complete.
	Settled bool `json:"settled"`
}

// Operation is the kind of a caller's request.
type Operation string

// The operations that appear in a history.
const (
	OperationCreate   Operation = "create"
	OperationSubmit   Operation = "submit"
	OperationAttach   Operation = "attach"
	OperationEnd      Operation = "end"
	OperationCancel   Operation = "cancel"
	OperationDescribe Operation = "describe"
)

// Sent is a request as its caller sent it.
type Sent struct {
	// Request is the request's ID, unique within the history. Got and Lost
	// refer to it.
	Request   string    `json:"request"`
	Caller    string    `json:"caller,omitempty"`
	Operation Operation `json:"operation"`
	// Node is the machine that the caller sent it to.
	Node     machine.ID    `json:"node,omitempty"`
	Branch   string        `json:"branch,omitempty"`
	Program  api.ProgramID `json:"program,omitempty"`
	Key      string        `json:"key,omitempty"`
	Sequence uint64        `json:"sequence,omitempty"`
	Kind     api.CallKind  `json:"kind,omitempty"`
	// Repeatable is set for model calls and for tool calls that may run more
	// than once.
	Repeatable bool   `json:"repeatable,omitempty"`
	Input      string `json:"input,omitempty"`
	// OutputCap is the requested maximum output length in tokens.
	OutputCap int `json:"output_cap,omitempty"`
}

// Got is the answer to a request.
type Got struct {
	Request  string         `json:"request"`
	Program  api.ProgramID  `json:"program,omitempty"`
	Sequence uint64         `json:"sequence,omitempty"`
	Status   api.CallStatus `json:"status,omitempty"`
	Output   string         `json:"output,omitempty"`
	// Offset is the byte offset at which Output begins, for a caller that
	// re-attached to the call.
	Offset int       `json:"offset,omitempty"`
	Usage  api.Usage `json:"usage"`
	// Code and Ran are set when the request did not succeed.
	Code api.Code `json:"code,omitempty"`
	Ran  api.Ran  `json:"ran,omitempty"`
	// SpentTokens and BudgetTokens are set in answers to OperationDescribe.
	SpentTokens  int64 `json:"spent_tokens,omitempty"`
	BudgetTokens int64 `json:"budget_tokens,omitempty"`
}

// Lost records that a request's connection ended without an answer.
type Lost struct {
	Request string `json:"request"`
	// HungUp is set when the caller itself closed the connection.
	HungUp bool `json:"hung_up,omitempty"`
	// NotSent is set when no connection could be opened, so nothing was sent.
	NotSent bool `json:"not_sent,omitempty"`
}

// Read is a program's complete history as a caller read it.
type Read struct {
	Program api.ProgramID `json:"program"`
	// SentAt is when the caller sent the first request of the read.
	SentAt time.Time  `json:"sent_at"`
	Calls  []ReadCall `json:"calls"`
}

// ReadCall is one call in a Read.
type ReadCall struct {
	Sequence uint64         `json:"sequence"`
	Key      string         `json:"key"`
	Status   api.CallStatus `json:"status"`
	Input    string         `json:"input"`
	Output   string         `json:"output"`
}

// AttemptStarted records that a back end began to run an attempt. Resuming
// the stream of an attempt that already runs is not recorded.
type AttemptStarted struct {
	Backend    machine.ID    `json:"backend"`
	Zone       zone.Name     `json:"zone,omitempty"`
	Program    api.ProgramID `json:"program"`
	Sequence   uint64        `json:"sequence"`
	Attempt    int           `json:"attempt"`
	Kind       api.CallKind  `json:"kind"`
	Repeatable bool          `json:"repeatable,omitempty"`
	// PromptHash is HashText of the complete prompt; zero means unknown.
	PromptHash uint64 `json:"prompt_hash,omitempty"`
}

// Outcome is how an attempt ended at its back end.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeInterrupted means that the back end stopped during the attempt.
	OutcomeInterrupted Outcome = "cut"
)

// AttemptFinished records that an attempt ended at its back end.
type AttemptFinished struct {
	Backend  machine.ID    `json:"backend"`
	Program  api.ProgramID `json:"program"`
	Sequence uint64        `json:"sequence"`
	Attempt  int           `json:"attempt"`
	Outcome  Outcome       `json:"outcome"`
	Output   string        `json:"output,omitempty"`
	Usage    api.Usage     `json:"usage"`
}

// CallEnded records that a node announced the end of a call, after the end had
// become durable. A call can end without an AttemptFinished, by a time-out or
// by a query of the back end for the call's outcome.
type CallEnded struct {
	Node     machine.ID     `json:"node"`
	Program  api.ProgramID  `json:"program"`
	Sequence uint64         `json:"sequence"`
	Status   api.CallStatus `json:"status"`
}

// EngineCache lists the programs that have prefixes in an engine's cache.
type EngineCache struct {
	Backend  machine.ID      `json:"backend"`
	Programs []api.ProgramID `json:"programs"`
}

// ProgramCreated records that a program exists.
type ProgramCreated struct {
	Program      api.ProgramID `json:"program"`
	Branch       string        `json:"branch"`
	Parent       api.ProgramID `json:"parent,omitempty"`
	BudgetTokens int64         `json:"budget_tokens"`
}

// ProgramEnded records that a program's end was acknowledged.
type ProgramEnded struct {
	Program api.ProgramID `json:"program"`
}

// PlacementSet records the placement of a branch's data from Since on.
type PlacementSet struct {
	Branch    string         `json:"branch"`
	Placement zone.Placement `json:"placement"`
	Since     time.Time      `json:"since"`
}

// StreamUse records that a machine read or wrote the stream of a partition. A
// partition holds programs of one branch.
type StreamUse struct {
	Machine machine.ID `json:"machine"`
	Zone    zone.Name  `json:"zone"`
	Stream  string     `json:"stream"`
	Branch  string     `json:"branch"`
}

// SettingsChange is a change of the settings as an operator sent it, with the
// verdict that the operator received. The change took effect between SentAt
// and the event's At.
type SettingsChange struct {
	ID           string    `json:"id"`
	SentAt       time.Time `json:"sent_at"`
	BaseRevision uint64    `json:"based"`
	Paths        []string  `json:"paths"`
	Accepted     bool      `json:"accepted"`
	Revision     uint64    `json:"revision,omitempty"`
}

// Verdict is a node's decision on a change of the settings.
type Verdict struct {
	Node     machine.ID `json:"node"`
	ID       string     `json:"id"`
	Accepted bool       `json:"accepted"`
	Revision uint64     `json:"revision,omitempty"`
}

// InForce records that a node put a revision of the settings in force.
type InForce struct {
	Node        machine.ID `json:"node"`
	Incarnation uint64     `json:"incarnation,omitempty"`
	Revision    uint64     `json:"revision"`
}

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults. A fault excuses delays of what it affects.
const (
	FaultDown             FaultKind = "down"  // the machine's process is not running
	FaultPause            FaultKind = "pause" // the machine's process is suspended
	FaultNetworkPartition FaultKind = "cut"   // the machine's network links are blocked
	FaultStore            FaultKind = "store" // the platform is down or slow for all machines
	FaultIncompleteList   FaultKind = "list"  // the machine list is incomplete
)

// Fault records the start or the end of a fault. Machine is empty for a fault
// that affects all machines.
type Fault struct {
	Kind    FaultKind  `json:"kind"`
	Machine machine.ID `json:"machine,omitempty"`
	Begin   bool       `json:"begin"`
}

// Leaving records that a back end was marked as leaving in the machine list.
type Leaving struct {
	Backend machine.ID `json:"backend"`
}

// PlannedStop records the start of a planned stop of a node or a back end, or
// its end when Done is set.
type PlannedStop struct {
	Machine machine.ID `json:"machine"`
	Done    bool       `json:"done,omitempty"`
}
