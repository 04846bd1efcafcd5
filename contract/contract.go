package contract

import (
	"time"

	"birchwood.example/birchwood/zone"
)

// Contract holds the effective settings of a branch, with inheritance
// resolved. Every field has a value.
type Contract struct {
	Path            Path
	Revision        Revision
	Placement       zone.Placement
	Models          []string
	Tools           []string
	Priority        int
	BudgetTokens    int64
	MaxTurns        int
	MaxOutputTokens int
	Attempts        int
	MaxDuration     time.Duration
	IdleTimeout     time.Duration
	CallTimeout     time.Duration
	ToolTimeout     time.Duration
	Retention       time.Duration
	DrainedBackends []string
}
