package contract

import "time"

// Revision counts the accepted changes. It is the offset of the accepted
// change in the settings stream plus one; zero is the empty tree.
type Revision uint64

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
