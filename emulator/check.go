package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/workload"
)

const (
	// leavingBound is how long after it began to leave a back end may still get
	// new work.
	leavingBound = 3 * time.Second
	// maximumFindings is the number of violations that are described; the others
	// are only counted.
	maximumFindings = 20
)

// checker verifies the invariants of a run. It observes the actions of callers,
// back ends and nodes and does not rely on the state of the policy.
type checker struct {
	count    int
	findings []string
	// toolRuns counts the runs of each call that must not be repeated.
	toolRuns map[callKey]int
}

// newChecker returns a checker without findings.
func newChecker() *checker { return &checker{toolRuns: make(map[callKey]int)} }

// report records a violation of the named invariant.
func (c *checker) report(invariant, format string, arguments ...any) {
	c.count++
	if len(c.findings) < maximumFindings {
		c.findings = append(c.findings, invariant+": "+fmt.Sprintf(format, arguments...))
	}
}

// accepted checks that the previous call of the program is closed.
func (c *checker) accepted(next *call) {
	before := callKey{next.agent.id, next.sequence - 1}
	if next.agent.node.calls[before] != nil {
		c.report("order", "call %d of %s was accepted while the previous call is open", next.sequence, next.agent.id)
	}
}

// placed checks the placement of a call against the program's permitted zones and
// the limit of one attempt for non-repeatable tool calls. It reports whether the
// call may be sent.
func (c *checker) placed(run *simulation, sent *call) bool {
	in := run.backendZone(sent)
	if !sent.agent.placement.Contains(in) {
		c.report("place", "call %d of %s was placed in zone %q, permitted %s", sent.sequence, sent.agent.id, in, sent.agent.placement)
		return false
	}
	if sent.sent && sent.step.Kind == workload.StepTool && !sent.step.Repeatable {
		c.report("at most once", "call %d of %s was sent again", sent.sequence, sent.agent.id)
		return false
	}
	return true
}

// arrives checks that a leaving back end gets no new work after leavingBound.
func (c *checker) arrives(run *simulation, sent *call, leavingSince time.Time) {
	if !leavingSince.IsZero() && run.clock.now.Sub(leavingSince) > leavingBound {
		c.report("leaving", "%s got work %v after it began to leave", sent.backend, run.clock.now.Sub(leavingSince))
	}
}

// toolRan checks that a call that must not be repeated runs at most once.
func (c *checker) toolRan(ran *call) {
	if ran.step.Repeatable {
		return
	}
	key := callKey{ran.agent.id, ran.sequence}
	c.toolRuns[key]++
	if c.toolRuns[key] > 1 {
		c.report("at most once", "call %d of %s ran %d times", ran.sequence, ran.agent.id, c.toolRuns[key])
	}
}

// answered checks that an answer belongs to its call and is complete.
func (c *checker) answered(ended *call, answer enginemodel.Finished) {
	if answer.Owner != ended.agent.id || answer.Usage.PromptTokens != ended.prompt {
		c.report("own answer", "call %d of %s got the answer of %s", ended.sequence, ended.agent.id, answer.Stream)
	}
	if !answer.Cancelled && answer.Usage.OutputTokens < min(ended.step.OutputTokens, ended.step.OutputCap) {
		c.report("whole answer", "call %d of %s got %d of %d tokens", ended.sequence, ended.agent.id,
			answer.Usage.OutputTokens, ended.step.OutputTokens)
	}
}

// closed checks that a call reported as not run was not sent.
func (c *checker) closed(ended *call, status api.CallStatus) {
	if status == api.StatusNotRun && ended.sent {
		c.report("true not_run", "call %d of %s was sent but answered as not run", ended.sequence, ended.agent.id)
	}
}

// delivered checks that the answer is that of the program's latest call.
func (c *checker) delivered(ended *call) {
	if ended.sequence != ended.agent.sequence {
		c.report("order", "call %d of %s was answered after call %d was submitted", ended.sequence, ended.agent.id, ended.agent.sequence)
	}
}

// budget checks that a program stays within its token budget.
func (c *checker) budget(spender *agent) {
	if limit := spender.branch.BudgetTokens; limit > 0 && spender.spent > limit {
		c.report("budget", "%s has spent %d of %d tokens", spender.id, spender.spent, limit)
	}
}

// checkFinalState checks that no call is left open and that engines hold no prefix
// of an ended program.
func (c *checker) checkFinalState(run *simulation) {
	for _, each := range run.nodes {
		for range each.calls {
			c.report("whole answer", "node %d has an open call after the run", each.index)
		}
	}
	for _, host := range run.engines {
		if host.down {
			continue
		}
		_ = host.model.Step(run.clock.now, enginemodel.Event{})
		for _, held := range host.model.Prefixes() {
			if _, running := run.owners[held.Owner]; !running {
				c.report("engine memory", "%s holds %d tokens of %s, which has ended", host.machine.ID, held.Tokens, held.Owner)
			}
		}
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](items map[K]V) []K {
	keys := make([]K, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
