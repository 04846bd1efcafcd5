package program

import (
	"maps"
	"slices"

	"birchwood.example/birchwood/api"
)

// end ends a program and its sub-agents on command.
func (t *transition) end(p *programState, reason string) {
	t.closeTree(p, reason)
	t.setProgramReply(p)
}

// closeTree ends a program and then its remaining sub-agents, recursively.
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

// endCalls ends the calls of a closed program: waiting calls are not run, and
// repeatable ones that are running are stopped. Others that are running are
// awaited until their deadline.
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
// ended: the parent is refunded the unspent tokens, and engines free the
// program's memory.
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

// refundBudget returns a sub-agent's unspent tokens to its parent.
func (t *transition) refundBudget(parent *programState, child api.ProgramID, unspent int64) {
	if _, allocated := parent.children[child]; !allocated {
		return
	}
	t.record(Record{Program: parent.id, BudgetTransferred: &BudgetTransferred{Child: child, Tokens: -unspent}})
}
