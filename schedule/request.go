package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/zone"
)

// Request is a call to be placed on a back end.
type Request struct {
	Call  program.CallRef
	Kind  api.CallKind
	Model string // for model calls
	Tool  string // for tool calls
	// Tenant is the branch that the call is charged to, the unit of fair
	// sharing and isolation.
	Tenant    string
	Placement zone.Placement
	// Priority is the priority that the contract sets, higher first.
	Priority int
	// PromptTokens is the length of the whole prompt; OutputCap is the maximum
	// length of the answer, in tokens.
	PromptTokens int
	OutputCap    int
	// AttainedTokens is the service that the program has received so far.
	AttainedTokens int64
	// Arrived is when the program arrived; held calls are ordered by it. Zero
	// means the time in Enqueued. Deadline is when the call must end; zero
	// means no limit.
	Arrived  time.Time
	Enqueued time.Time
	Deadline time.Time
	// Avoid lists the back ends that failed an earlier attempt of this call.
	Avoid []machine.ID
	// Excluded lists the back ends that the contract takes out of use.
	Excluded []string
}

// Terms explain a decision: the number of back ends considered, the terms of
// the predicted completion time, and the reason.
type Terms struct {
	Feasible int           `json:"feasible"`
	Queue    time.Duration `json:"queue"`
	Prefill  time.Duration `json:"prefill"`
	Transfer time.Duration `json:"transfer"`
	Decode   time.Duration `json:"decode"`
	Link     time.Duration `json:"link"`
	// MissingTokens is the part of the prompt that the chosen back end has to
	// prefill, or the size of a dropped prefix.
	MissingTokens int    `json:"missing_tokens"`
	Reason        string `json:"reason"`
}
