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
	// Arrived is the program's arrival, by which held calls are ordered; zero
	// means Enqueued. Deadline bounds the call; zero means no bound.
	Arrived  time.Time
	Enqueued time.Time
	Deadline time.Time
	// Avoid are back ends that failed an earlier attempt of this call.
	Avoid []machine.ID
	// Excluded are back ends that the contract takes out of use.
	Excluded []string
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
