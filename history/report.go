package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Invariant names a property that must hold in every history.
type Invariant string

// The invariants that Check verifies. The package comment describes them.
const (
	InvariantOrder       Invariant = "order"
	InvariantHistory     Invariant = "history"
	InvariantBudget      Invariant = "budget"
	InvariantMemory      Invariant = "engine-memory"
	InvariantAnswer      Invariant = "answer"
	InvariantNotRun      Invariant = "not-run"
	InvariantAtMostOnce  Invariant = "at-most-once"
	InvariantLeaving     Invariant = "leaving"
	InvariantPlannedStop Invariant = "planned-stop"
	InvariantSettings    Invariant = "settings"
	InvariantPlacement   Invariant = "placement"
)

// Invariants returns all invariants in the order in which reports show them.
func Invariants() []Invariant {
	return []Invariant{
		InvariantOrder, InvariantHistory, InvariantBudget, InvariantMemory,
		InvariantAnswer, InvariantNotRun, InvariantAtMostOnce, InvariantLeaving,
		InvariantPlannedStop, InvariantSettings, InvariantPlacement,
	}
}

// Finding is one violation of an invariant.
type Finding struct {
	Invariant Invariant `json:"invariant"`
	Message   string    `json:"message"`
	// Lines are the line numbers of the events that show the violation,
	// counted from 1 over all files in the order in which they were read.
	Lines []int  `json:"lines"`
	Seed  uint64 `json:"seed"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s (lines %v, seed %d)", f.Invariant, f.Message, f.Lines, f.Seed)
}

// Report is the result of Check.
type Report struct {
	Run      Run       `json:"run"`
	Events   int       `json:"events"`
	Programs int       `json:"programs"`
	Calls    int       `json:"calls"`
	Findings []Finding `json:"findings"`
	// Undecided counts linearizability checks that timed out. They neither
	// passed nor failed.
	Undecided int `json:"undecided"`
	// Outcomes counts the requests by the status or error code of their
	// answer.
	Outcomes map[string]int `json:"outcomes"`
	// Outages summarizes the gaps in which programs did not answer, by the
	// fault or planned stop that caused them.
	Outages map[string]Outage `json:"outages,omitempty"`
}

// Broken returns the invariants that have findings, without repetition.
func (r Report) Broken() []Invariant {
	var broken []Invariant
	for _, invariant := range Invariants() {
		if slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Invariant == invariant }) {
			broken = append(broken, invariant)
		}
	}
	return broken
}

// String formats the report as text, one finding per line.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d events, %d programs, %d calls, %d findings, %d undecided\n",
		r.Events, r.Programs, r.Calls, len(r.Findings), r.Undecided)
	text.WriteString(formatOutages(r.Outages))
	for _, finding := range r.Findings {
		fmt.Fprintln(&text, finding)
	}
	return text.String()
}

// sortFindings sorts findings by invariant, then by their line numbers.
func sortFindings(findings []Finding) {
	rank := map[Invariant]int{}
	for i, invariant := range Invariants() {
		rank[invariant] = i
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(rank[a.Invariant], rank[b.Invariant]),
			slices.Compare(a.Lines, b.Lines),
		)
	})
}
