package program

import "reflect"

// updateTerms applies the terms of a newer contract revision. They take effect
// with the next dispatch: a call that waits in the scheduler is scheduled again,
// and a call that the contract no longer permits ends. An older revision has no
// effect.
func (t *transition) updateTerms(p *programState, terms Terms) {
	t.setProgramReply(p)
	if p.closed || terms.Revision < p.terms.Revision {
		return
	}
	current := *p.terms
	current.Revision = terms.Revision
	if reflect.DeepEqual(current, terms) {
		return
	}
	t.record(Record{Program: p.id, Terms: &terms})
	head := p.head()
	if head != nil && head.phase == phaseScheduled {
		t.stopCall(p, head)
		t.reschedule(p, head)
	}
	t.advance(p)
	t.completeEnd(p)
	t.setProgramReply(p)
}

// reschedule hands a call that was stopped to the scheduler with the current
// terms, or ends it if it can no longer run.
func (t *transition) reschedule(p *programState, live *liveCall) {
	live.phase = phaseQueued
	refusal := t.checkSchedulable(p, live)
	if refusal != nil {
		t.endWaiting(p, live, refusal)
		return
	}
	delay := t.store.config.RetryBase
	if live.reschedules == 0 {
		delay = 0
	}
	t.schedule(p, live, delay)
}
