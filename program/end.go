package program

import (
	"maps"
	"slices"

	"birchwood.example/birchwood/api"
)

// end ends a program and its sub-agents.
func (t *transition) end(p *programState, reason string) {
	t.closeTree(p, reason)
	t.setProgramReply(p)
}

// closeTree ends a program, then the sub-agents that it still has.
func (t *transition) closeTree(p *programState, reason string) {
	if p.closed {
		return
	}
	t.record(Record{Program: p.id, Closed: &Closed{Reason: reason}})
	t.endCalls(p)
	for _, id := range p.sortedChildren() {
		if child, ok := t.store.programs[id]; ok {
			t.closeTree(child, ReasonParent)
		}
	}
	t.completeEnd(p)
}

// endCalls ends the calls of a closed program: what waits is not run, what
// may run twice is stopped, and what may not is awaited until its deadline.
func (t *transition) endCalls(p *programState) {
	for _, live := range slices.Clone(p.live) {
		switch {
		case live.phase == phaseQueued, live.phase == phaseScheduled:
			t.endWaiting(p, live, programEnded(p.closedReason))
		case live.repeatable():
			t.endMayHaveRun(p, live, programEnded(p.closedReason))
		}
	}
}

func (p *programState) sortedChildren() []api.ProgramID {
	return slices.Sorted(maps.Keys(p.children))
}

// completeEnd completes the end of a program once its calls and sub-agents have
// ended: what is unspent returns to the parent, engines free its memory.
func (t *transition) completeEnd(p *programState) {
	if p.endCompleted || !p.finished() {
		return
	}
	p.endCompleted = true
	t.markTimer(p)
	t.store.finished = append(t.store.finished, p.id)
	t.effect(releaseEffect(p.id))
	parent, ok := t.store.programs[p.parent]
	if !ok {
		return
	}
	t.refundBudget(parent, p.id, p.budget.limit-p.budget.committed())
	t.completeEnd(parent)
}

// refundBudget gives a parent back what its sub-agent has not used.
func (t *transition) refundBudget(parent *programState, child api.ProgramID, unspent int64) {
	if _, carved := parent.children[child]; !carved {
		return
	}
	t.record(Record{Program: parent.id, BudgetTransferred: &BudgetTransferred{Child: child, Tokens: -unspent}})
}
