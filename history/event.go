package history

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Event is one fact that an observer recorded: exactly one pointer is set.
type Event struct {
	At       time.Time  `json:"at"`
	Run      *Run       `json:"run,omitempty"`
	Sent     *Sent      `json:"sent,omitempty"`
	Got      *Got       `json:"got,omitempty"`
	Lost     *Lost      `json:"lost,omitempty"`
	Read     *Read      `json:"read,omitempty"`
	Started  *Started   `json:"started,omitempty"`
	Finished *Finished  `json:"finished,omitempty"`
	Ended    *Ended     `json:"ended,omitempty"`
	Held     *Held      `json:"held,omitempty"`
	Opened   *Opened    `json:"opened,omitempty"`
	Closed   *Closed    `json:"closed,omitempty"`
	Placed   *Placed    `json:"placed,omitempty"`
	Stream   *StreamUse `json:"stream,omitempty"`
	Change   *Change    `json:"change,omitempty"`
	Verdict  *Verdict   `json:"verdict,omitempty"`
	InForce  *InForce   `json:"in_force,omitempty"`
	Fault    *Fault     `json:"fault,omitempty"`
	Leaving  *Leaving   `json:"leaving,omitempty"`
	Gap      *Gap       `json:"gap,omitempty"`
	Stop     *Stop      `json:"stop,omitempty"`
	RunEnded *RunEnded  `json:"run_ended,omitempty"`
}

// Run opens a history: what ran, and the bounds that its promises have.
type Run struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Replay is the command that runs it again.
	Replay string `json:"replay,omitempty"`
	// The bounds; zero takes the default. MoveBound is how long the records of
	// a branch may be used outside of its zones after these were narrowed.
	LeavingBound  time.Duration `json:"leaving_bound,omitempty"`
	SettingsBound time.Duration `json:"settings_bound,omitempty"`
	MoveBound     time.Duration `json:"move_bound,omitempty"`
	MemoryBound   time.Duration `json:"memory_bound,omitempty"`
}

// RunEnded closes a history.
type RunEnded struct {
	// Settled says that every fault was healed and that the run waited long
	// enough for every request to be answered and every sweep to pass.
	Settled bool `json:"settled"`
}

// Operation names what a caller asks for.
type Operation string

// The operations that a history tells apart.
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
	// Request is unique within the history; Got and Lost repeat it.
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
	// Repeatable is set for model calls and for tool calls that may run twice.
	Repeatable bool   `json:"repeatable,omitempty"`
	Input      string `json:"input,omitempty"`
	// OutputCap is the largest answer that was asked for, in tokens.
	OutputCap int `json:"output_cap,omitempty"`
}

// Got is the answer to a request.
type Got struct {
	Request  string         `json:"request"`
	Program  api.ProgramID  `json:"program,omitempty"`
	Sequence uint64         `json:"sequence,omitempty"`
	Status   api.CallStatus `json:"status,omitempty"`
	Output   string         `json:"output,omitempty"`
	// Offset is where Output begins, for a caller that re-attached.
	Offset int       `json:"offset,omitempty"`
	Usage  api.Usage `json:"usage"`
	// Code and Ran are set when the request has no successful answer.
	Code api.Code `json:"code,omitempty"`
	Ran  api.Ran  `json:"ran,omitempty"`
	// SpentTokens and BudgetTokens are what a describe answered.
	SpentTokens  int64 `json:"spent_tokens,omitempty"`
	BudgetTokens int64 `json:"budget_tokens,omitempty"`
}

// Lost says that a request's connection ended without an answer.
type Lost struct {
	Request string `json:"request"`
	// HungUp is set when the caller itself closed the connection.
	HungUp bool `json:"hung_up,omitempty"`
	// NotSent is set when no connection was had, so that nothing was sent.
	NotSent bool `json:"not_sent,omitempty"`
}

// Read is a program's whole history as a caller read it.
type Read struct {
	Program api.ProgramID `json:"program"`
	// SentAt is when the caller asked for it.
	SentAt time.Time  `json:"sent_at"`
	Calls  []ReadCall `json:"calls"`
}

// ReadCall is one call of a history that was read.
type ReadCall struct {
	Sequence uint64         `json:"sequence"`
	Key      string         `json:"key"`
	Status   api.CallStatus `json:"status"`
	Input    string         `json:"input"`
	Output   string         `json:"output"`
}

// Started says that a back end began to run an attempt. For an attempt that
// resumes the stream of the same attempt, nothing is recorded.
type Started struct {
	Backend    machine.ID    `json:"backend"`
	Zone       zone.Name     `json:"zone,omitempty"`
	Program    api.ProgramID `json:"program"`
	Sequence   uint64        `json:"sequence"`
	Attempt    int           `json:"attempt"`
	Kind       api.CallKind  `json:"kind"`
	Repeatable bool          `json:"repeatable,omitempty"`
	// PromptHash is HashText of the whole prompt; zero when it is not known.
	PromptHash uint64 `json:"prompt_hash,omitempty"`
}

// Outcome is how an attempt ended at its back end.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeCut: the back end stopped while it ran.
	OutcomeCut Outcome = "cut"
)

// Finished says that a back end ended an attempt.
type Finished struct {
	Backend  machine.ID    `json:"backend"`
	Program  api.ProgramID `json:"program"`
	Sequence uint64        `json:"sequence"`
	Attempt  int           `json:"attempt"`
	Outcome  Outcome       `json:"outcome"`
	Output   string        `json:"output,omitempty"`
	Usage    api.Usage     `json:"usage"`
}

// Ended says that a node announced a call's end, which was durable then: a
// call may end without its back end's word, by a time-out or a look-up.
type Ended struct {
	Node     machine.ID     `json:"node"`
	Program  api.ProgramID  `json:"program"`
	Sequence uint64         `json:"sequence"`
	Status   api.CallStatus `json:"status"`
}

// Held lists the programs whose prefixes an engine keeps.
type Held struct {
	Backend  machine.ID      `json:"backend"`
	Programs []api.ProgramID `json:"programs"`
}

// Opened says that a program exists.
type Opened struct {
	Program      api.ProgramID `json:"program"`
	Branch       string        `json:"branch"`
	Parent       api.ProgramID `json:"parent,omitempty"`
	BudgetTokens int64         `json:"budget_tokens"`
}

// Closed says that a program's end was acknowledged.
type Closed struct {
	Program api.ProgramID `json:"program"`
}

// Placed says where the data of a branch is permitted from Since on.
type Placed struct {
	Branch    string         `json:"branch"`
	Placement zone.Placement `json:"placement"`
	Since     time.Time      `json:"since"`
}

// StreamUse says that a machine read or wrote the stream of a partition, which
// holds programs of one branch.
type StreamUse struct {
	Machine machine.ID `json:"machine"`
	Zone    zone.Name  `json:"zone"`
	Stream  string     `json:"stream"`
	Branch  string     `json:"branch"`
}

// Change is a change of the settings as its operator sent it, with the
// verdict that the operator got. Sent and At bound when it took effect.
type Change struct {
	ID       string    `json:"id"`
	SentAt   time.Time `json:"sent_at"`
	Based    uint64    `json:"based"`
	Paths    []string  `json:"paths"`
	Accepted bool      `json:"accepted"`
	Revision uint64    `json:"revision,omitempty"`
}

// Verdict is what a node decided about a change.
type Verdict struct {
	Node     machine.ID `json:"node"`
	ID       string     `json:"id"`
	Accepted bool       `json:"accepted"`
	Revision uint64     `json:"revision,omitempty"`
}

// InForce says that a node works with a revision from now on.
type InForce struct {
	Node        machine.ID `json:"node"`
	Incarnation uint64     `json:"incarnation,omitempty"`
	Revision    uint64     `json:"revision"`
}

// FaultKind names a disturbance.
type FaultKind string

// The disturbances that excuse a delay.
const (
	FaultDown  FaultKind = "down"  // the machine's process is dead
	FaultPause FaultKind = "pause" // the machine's process does not run
	FaultCut   FaultKind = "cut"   // the machine's links are cut
	FaultStore FaultKind = "store" // the platform is down or slow, for all
	FaultList  FaultKind = "list"  // the machine list shows less than there is
)

// Fault begins or ends a disturbance. Machine is empty when it touches all.
type Fault struct {
	Kind    FaultKind  `json:"kind"`
	Machine machine.ID `json:"machine,omitempty"`
	Begin   bool       `json:"begin"`
}

// Leaving says that a back end was marked as leaving in the machine list.
type Leaving struct {
	Backend machine.ID `json:"backend"`
}

// Stop begins a planned stop of a node or a back end, or ends it.
type Stop struct {
	Machine machine.ID `json:"machine"`
	Done    bool       `json:"done,omitempty"`
}
