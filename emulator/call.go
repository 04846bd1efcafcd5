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

// callKey names a call for the maps of one node.
type callKey struct {
	program  api.ProgramID
	sequence uint64
}

// call is one call of a program on its way.
type call struct {
	agent    *agent
	sequence uint64
	step     workload.Step
	prompt   int
	attempt  int
	backend  machine.ID
	stream   string
	avoid    []machine.ID
	// sent says that some attempt may have reached a back end; inFlight that
	// one is on its way or runs.
	sent     bool
	inFlight bool
	// heldSince is when the policy got the call.
	heldSince time.Time
	// answered says that the caller has its result, or needs none.
	answered bool
	// closed says that the node is done with the call.
	closed bool
}

// ref names the call for the policy.
func (c *call) ref() program.CallRef {
	return program.CallRef{Program: c.agent.id, Sequence: c.sequence}
}

// sortedCalls returns the calls in the order of their streams.
func sortedCalls(calls map[string]*call) []*call {
	sorted := make([]*call, 0, len(calls))
	for _, each := range calls {
		sorted = append(sorted, each)
	}
	slices.SortFunc(sorted, func(a, b *call) int { return strings.Compare(a.stream, b.stream) })
	return sorted
}
