package program

import (
	"time"

	"birchwood.example/birchwood/api"
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
