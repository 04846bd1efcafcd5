package contract

import (
	"time"

	"birchwood.example/birchwood/zone"
)

// Path names a branch of the tree, such as "koudeketting/triage"; the root is
// the empty path.
type Path string

// Revision counts the accepted changes. It is the offset of the accepted
// change in the settings stream plus one; zero is the empty tree.
type Revision uint64

// Values are the settings that one branch overrides. A nil field is
// inherited from the nearest ancestor that sets it.
type Values struct {
	// Zones are the places that data of the branch may visit. A branch can
	// only narrow what its parent permits.
	Zones  []zone.Name `json:"zones,omitempty" yaml:"zones"`
	Models []string    `json:"models,omitempty" yaml:"models"`
	Tools  []string    `json:"tools,omitempty" yaml:"tools"`
	// Priority orders programs, 0 (least urgent) to 9.
	Priority        *int           `json:"priority,omitempty" yaml:"priority"`
	BudgetTokens    *int64         `json:"budget_tokens,omitempty" yaml:"budget_tokens"`
	MaxTurns        *int           `json:"max_turns,omitempty" yaml:"max_turns"`
	MaxOutputTokens *int           `json:"max_output_tokens,omitempty" yaml:"max_output_tokens"`
	Attempts        *int           `json:"attempts,omitempty" yaml:"attempts"`
	MaxDuration     *time.Duration `json:"max_duration,omitempty" yaml:"max_duration"`
	IdleTimeout     *time.Duration `json:"idle_timeout,omitempty" yaml:"idle_timeout"`
	CallTimeout     *time.Duration `json:"call_timeout,omitempty" yaml:"call_timeout"`
	ToolTimeout     *time.Duration `json:"tool_timeout,omitempty" yaml:"tool_timeout"`
	// Retention is how long an ended program's history stays readable.
	Retention *time.Duration `json:"retention,omitempty" yaml:"retention"`
	// DrainedBackends get no new work of programs of the branch. They add to
	// those of the branches above.
	DrainedBackends []string `json:"drained_backends,omitempty" yaml:"drained_backends"`
	// CallerTokens are hex SHA-256 hashes of the bearer tokens whose holders
	// act on this branch and below it. They are not inherited values: a token
	// counts at the branch that lists it.
	CallerTokens []string `json:"caller_tokens,omitempty" yaml:"caller_tokens"`
	// OperatorTokens may change settings at this branch and below it.
	OperatorTokens []string `json:"operator_tokens,omitempty" yaml:"operator_tokens"`
}

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

// Edit replaces or removes the overrides of one branch. Fields that Set names
// take the value from Values; fields that Unset names are inherited again.
type Edit struct {
	Path Path `json:"path"`
	// Values holds the new overrides; nil fields are left as they are.
	Values Values `json:"values"`
	// Unset lists the field names, as in JSON, that become inherited.
	Unset []string `json:"unset,omitempty"`
	// Remove deletes the branch. Branches below it must be removed by earlier
	// edits of the same change, so that no branch goes without being named.
	Remove bool `json:"remove,omitempty"`
}

// Change is one record of the settings stream: edits that are accepted or
// refused together. It is a compare-and-set: it conflicts when a path that it
// touches, or an ancestor or descendant of one, was changed after Based.
type Change struct {
	// ID is unique; a change that appears twice counts once.
	ID    string    `json:"id"`
	Based Revision  `json:"based"`
	Actor string    `json:"actor"`
	At    time.Time `json:"at"`
	Edits []Edit    `json:"edits"`
}

// Finding is one thing that is wrong, with its place.
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Verdict is what became of a change. Every node that folds the same stream
// reaches the same verdict.
type Verdict struct {
	ID       string   `json:"id"`
	Accepted bool     `json:"accepted"`
	Revision Revision `json:"revision"`
	// Winner is the id of the change that a conflicting one lost to.
	Winner   string    `json:"winner,omitempty"`
	Findings []Finding `json:"findings,omitempty"`
}
