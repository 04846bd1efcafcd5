package program

import (
	"maps"
	"slices"

	"birchwood.example/birchwood/api"
)

// end ends a program and its sub-agents.
func (t *transition) end(p *heldProgram, reason string) {
	t.closeTree(p, reason)
	t.showProgram(p)
}

// closeTree ends a program, then the sub-agents that it still has.
func (t *transition) closeTree(p *heldProgram, reason string) {
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
	t.settle(p)
}

// endCalls ends the calls of a closed program: what waits is not run, what
// may run twice is stopped, and what may not is awaited until its deadline.
func (t *transition) endCalls(p *heldProgram) {
	for _, live := range slices.Clone(p.live) {
		switch {
		case live.phase == phaseQueued, live.phase == phaseStarted:
			t.endUnsent(p, live, programEnded(p.closedReason))
		case live.repeatable():
			t.endGivenUp(p, live, programEnded(p.closedReason))
		}
	}
}

func (p *heldProgram) sortedChildren() []api.ProgramID {
	return slices.Sorted(maps.Keys(p.children))
}

// settle completes the end of a program once its calls and sub-agents have
// ended: what is unspent returns to the parent, engines free its memory.
func (t *transition) settle(p *heldProgram) {
	if p.released || !p.finished() {
		return
	}
	p.released = true
	t.touch(p)
	t.store.finished = append(t.store.finished, p.id)
	t.effect(releaseEffect(p.id))
	parent, ok := t.store.programs[p.parent]
	if !ok {
		return
	}
	t.returnCarved(parent, p.id, p.budget.limit-p.budget.committed())
	t.settle(parent)
}

// returnCarved gives a parent back what its sub-agent has not used.
func (t *transition) returnCarved(parent *heldProgram, child api.ProgramID, unspent int64) {
	if _, carved := parent.children[child]; !carved {
		return
	}
	t.record(Record{Program: parent.id, Carved: &Carved{Child: child, Tokens: -unspent}})
}
