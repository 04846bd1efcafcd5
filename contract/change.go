package contract

import "time"

// Revision identifies a version of the settings: the offset of the accepted
// change in the settings stream plus one. Zero is the empty tree.
type Revision uint64

// Edit changes the overrides of one branch, or removes the branch.
type Edit struct {
	Path Path `json:"path"`
	// Values holds the new overrides; nil fields are left unchanged.
	Values Values `json:"values"`
	// Unset lists the fields, by their JSON names, that are inherited again.
	Unset []string `json:"unset,omitempty"`
	// Remove deletes the branch. Branches below it must be removed by earlier
	// edits of the same change, so that no branch is removed implicitly.
	Remove bool `json:"remove,omitempty"`
}

// Change is one record of the settings stream: edits that are accepted or
// refused together. It is a compare-and-set: it conflicts when a path that it
// edits, or an ancestor or descendant of one, was changed after Based.
type Change struct {
	// ID is unique. A change that is appended twice takes effect once.
	ID    string    `json:"id"`
	Based Revision  `json:"based"`
	Actor string    `json:"actor"`
	At    time.Time `json:"at"`
	Edits []Edit    `json:"edits"`
}

// Finding is one validation error. Place is the path of the offending value,
// such as "edits[1].values.zones[0]".
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Verdict is the result of applying a change. Every node that applies the same
// stream reaches the same verdict.
type Verdict struct {
	ID       string   `json:"id"`
	Accepted bool     `json:"accepted"`
	Revision Revision `json:"revision"`
	// Winner is the ID of the accepted change that this change conflicts with.
	Winner   string    `json:"winner,omitempty"`
	Findings []Finding `json:"findings,omitempty"`
}
