package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Invariant names one promise.
type Invariant string

// The promises that Check verifies.
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

// Invariants lists all of them, in the order in which reports show them.
func Invariants() []Invariant {
	return []Invariant{
		InvariantOrder, InvariantHistory, InvariantBudget, InvariantMemory,
		InvariantAnswer, InvariantNotRun, InvariantAtMostOnce, InvariantLeaving,
		InvariantPlannedStop, InvariantSettings, InvariantPlacement,
	}
}

// Finding is one broken promise.
type Finding struct {
	Invariant Invariant `json:"invariant"`
	Message   string    `json:"message"`
	// Lines are the events that show it, as line numbers from 1 in the order
	// of the files that were read.
	Lines []int  `json:"lines"`
	Seed  uint64 `json:"seed"`
}

// String describes the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s (lines %v, seed %d)", f.Invariant, f.Message, f.Lines, f.Seed)
}

// Report is what Check found.
type Report struct {
	Run      Run       `json:"run"`
	Events   int       `json:"events"`
	Programs int       `json:"programs"`
	Calls    int       `json:"calls"`
	Findings []Finding `json:"findings"`
	// Undecided counts linearizability checks that ran out of time; they
	// neither passed nor failed.
	Undecided int `json:"undecided"`
	// Outcomes counts the answers by status or error code.
	Outcomes map[string]int `json:"outcomes"`
	// Outages sums up, by the disturbance that caused them, how long programs
	// left their observers without an answer.
	Outages map[string]Outage `json:"outages,omitempty"`
}

// Broken returns the distinct invariants of the findings.
func (r Report) Broken() []Invariant {
	var broken []Invariant
	for _, invariant := range Invariants() {
		if slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Invariant == invariant }) {
			broken = append(broken, invariant)
		}
	}
	return broken
}

// String gives the report as text, one finding a line.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d events, %d programs, %d calls, %d findings, %d undecided\n",
		r.Events, r.Programs, r.Calls, len(r.Findings), r.Undecided)
	text.WriteString(outageLines(r.Outages))
	for _, finding := range r.Findings {
		fmt.Fprintln(&text, finding)
	}
	return text.String()
}

// sortFindings orders findings by invariant, then by the first event.
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
