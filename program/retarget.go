package program

import "reflect"

// retarget puts a newer revision of the contract in force. It binds the next
// dispatch: a call that waits in the scheduler is handed over anew, and one
// that the contract no longer permits ends. An older revision changes
// nothing.
func (t *transition) retarget(p *heldProgram, terms Terms) {
	t.showProgram(p)
	if p.closed || terms.Revision < p.terms.Revision {
		return
	}
	same := *p.terms
	same.Revision = terms.Revision
	if reflect.DeepEqual(same, terms) {
		return
	}
	t.record(Record{Program: p.id, Terms: &terms})
	head := p.head()
	if head != nil && head.phase == phaseStarted {
		t.withdraw(p, head)
		t.restart(p, head)
	}
	t.advance(p)
	t.settle(p)
	t.showProgram(p)
}

// restart hands a withdrawn call to the scheduler with the terms in force.
func (t *transition) restart(p *heldProgram, live *liveCall) {
	live.phase = phaseQueued
	refusal := t.hindrance(p, live)
	if refusal != nil {
		t.endUnsent(p, live, refusal)
		return
	}
	delay := t.store.config.RetryBase
	if live.restarts == 0 {
		delay = 0
	}
	t.start(p, live, delay)
}
