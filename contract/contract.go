package contract

import (
	"time"

	"birchwood.example/birchwood/zone"
)

// Contract is what a branch gets once inheritance is resolved. Every field
// has a value.
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
