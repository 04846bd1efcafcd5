package emulator

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/workload"
)

// callKey identifies a call in maps.
type callKey struct {
	program  api.ProgramID
	sequence uint64
}

// call is one model or tool call of a program, from its submission to its answer.
type call struct {
	agent    *agent
	sequence uint64
	step     workload.Step
	prompt   int
	attempt  int
	// backend is the back end of the last attempt, and stream the name of the
	// attempt's stream at an engine.
	backend machine.ID
	stream  string
	// avoid lists the back ends at which an attempt failed.
	avoid []machine.ID
	// sent is set once an attempt may have reached a back end; inFlight is set
	// while an attempt is in transit or running.
	sent     bool
	inFlight bool
	// heldSince is when the call was last passed to the policy.
	heldSince time.Time
	// answered is set once the caller has the result or has disconnected.
	answered bool
	// closed is set once the node has decided the outcome of the call.
	closed bool
}

// ref returns the reference to the call that the policy uses.
func (c *call) ref() program.CallRef {
	return program.CallRef{Program: c.agent.id, Sequence: c.sequence}
}

// sortedCalls returns the calls sorted by stream name, which keeps runs
// deterministic.
func sortedCalls(calls map[string]*call) []*call {
	sorted := make([]*call, 0, len(calls))
	for _, each := range calls {
		sorted = append(sorted, each)
	}
	slices.SortFunc(sorted, func(a, b *call) int { return strings.Compare(a.stream, b.stream) })
	return sorted
}
