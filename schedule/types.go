package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/zone"
)

// Request is a call that waits for a back end.
type Request struct {
	Call  program.CallRef
	Kind  api.CallKind
	Model string // for model calls
	Tool  string // for tool calls
	// Tenant is the branch that pays; fairness and isolation count by it.
	Tenant    string
	Placement zone.Placement
	// Priority is the contract's urgency, higher first.
	Priority int
	// PromptTokens is the whole prompt; OutputCap bounds the answer.
	PromptTokens int
	OutputCap    int
	// Attained is the service the program has received so far, in tokens.
	Attained int64
	// Arrived is the program's arrival; Deadline bounds the call.
	Arrived  time.Time
	Enqueued time.Time
	Deadline time.Time
	// Avoid are back ends that failed an earlier attempt of this call.
	Avoid []machine.ID
}

// Load is a back end's state as it reported it.
type Load struct {
	Backend machine.ID `json:"backend"`
	// At is when the back end measured it, by the reader's clock.
	At time.Time `json:"at"`
	// Running and Queued count sequences.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens is the prefill work that waits, in tokens.
	QueuedTokens int `json:"queued_tokens"`
	// CachedTokens is how much of the prefix cache is in use.
	CachedTokens int `json:"cached_tokens"`
}

// Action tells what a Decision does.
type Action string

// The actions of a decision.
const (
	// ActionPlace sends the call to Backend.
	ActionPlace Action = "place"
	// ActionRefuse ends the call with Error; nothing was sent.
	ActionRefuse Action = "refuse"
	// ActionDrop releases Program's prefix at Backend: it is unlikely to be
	// used again, or left behind after the program moved.
	ActionDrop Action = "drop"
	// ActionExport moves Program's prefix from Backend to ExportTo.
	ActionExport Action = "export"
	// ActionLoad and ActionUnload order the engine Backend to load or unload
	// Model. Only the node that commands the engine decides them.
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Decision is what the scheduler decided about a call, or about a prefix.
type Decision struct {
	Action  Action
	Call    program.CallRef
	Program api.ProgramID
	Backend machine.ID
	// EnginePriority orders the call in the engine's own queue, lower first.
	EnginePriority int
	// ImportFrom is the engine that holds the prefix to transfer first.
	ImportFrom machine.ID
	// ExportTo is the engine that takes over an exported prefix.
	ExportTo machine.ID
	// Model is what an engine loads or unloads.
	Model string
	Error *api.Error
	// Terms explain the ranking, for `program trace`.
	Terms Terms
}

// Terms are the parts of the predicted finish, each a duration, and how many
// candidates were left after each step.
type Terms struct {
	Feasible int           `json:"feasible"`
	Queue    time.Duration `json:"queue"`
	Prefill  time.Duration `json:"prefill"`
	Transfer time.Duration `json:"transfer"`
	Decode   time.Duration `json:"decode"`
	Link     time.Duration `json:"link"`
	// MissingTokens is the prefill that the choice computes.
	MissingTokens int    `json:"missing_tokens"`
	Reason        string `json:"reason"`
}
