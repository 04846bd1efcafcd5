package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/zone"
)

// Terms are the parts of a contract that apply to one program. They are
// recorded at its creation and replaced when a later contract revision takes
// effect.
type Terms struct {
	Revision     uint64         `json:"revision"`
	Placement    zone.Placement `json:"placement"`
	Models       []string       `json:"models,omitempty"`
	Tools        []string       `json:"tools,omitempty"`
	Priority     int            `json:"priority"`
	BudgetTokens int64          `json:"budget_tokens"`
	MaxTurns     int            `json:"max_turns"`
	// MaxDuration is the longest a program may run, from its creation.
	MaxDuration time.Duration `json:"max_duration"`
	// IdleTimeout is how long a program may make no call before it is ended.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// CallTimeout bounds a call from its acceptance, and ToolTimeout one attempt
	// at a tool call from its dispatch.
	CallTimeout time.Duration `json:"call_timeout"`
	ToolTimeout time.Duration `json:"tool_timeout"`
	// MaxOutputTokens caps the output of one model call.
	MaxOutputTokens int `json:"max_output_tokens"`
	// DrainedBackends get no new calls.
	DrainedBackends []string `json:"drained,omitempty"`
	// Attempts bounds how often a call is tried. Attempts that were not sent
	// because the log could not be read do not count.
	Attempts int `json:"attempts"`
	// Retention is how long an ended program is kept, with its history readable
	// and its keys in use. Zero means no time limit.
	Retention time.Duration `json:"retention,omitempty"`
}

// CallRef identifies one call of one program.
type CallRef struct {
	Program  api.ProgramID `json:"program"`
	Sequence uint64        `json:"sequence"`
}

// AttemptRef identifies one attempt at a call. Outcomes are matched by it.
type AttemptRef struct {
	CallRef
	Attempt int `json:"attempt"`
}
