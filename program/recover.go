package program

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// Recover folds one record of the journal. The offset locates it; NoOffset
// stands for a record that mirrors hold and the log does not have yet.
func (s *Store) Recover(offset uint64, record Record) error {
	if err := record.validate(); err != nil {
		return err
	}
	if err := s.validateSequence(record); err != nil {
		return err
	}
	s.apply(offset, record)
	return nil
}

// Resume starts what the recovered records leave to do, once they are all
// folded: calls that wait are handed to the scheduler, repeatable ones that
// were sent are sent again, and those that may not be repeated are looked up.
// The epoch is the new owner's.
func (s *Store) Resume(now time.Time, epoch uint64) Output {
	s.epoch = epoch
	t := newTransition(s, now)
	ids := s.sortedIDs()
	for _, id := range ids {
		s.programs[id].prepareCalls()
	}
	for _, id := range ids {
		p, ok := s.programs[id]
		if !ok {
			continue
		}
		t.resume(p)
		t.markTimer(p)
		t.setTimers()
	}
	s.sortFinished()
	return t.finish()
}

func (s *Store) sortedIDs() []api.ProgramID {
	return slices.Sorted(maps.Keys(s.programs))
}

func (t *transition) resume(p *programState) {
	t.refundOrphans(p)
	if parent, ok := t.store.programs[p.parent]; ok && parent.closed {
		t.closeTree(p, ReasonParent)
	}
	for _, live := range slices.Clone(p.live) {
		t.resumeCall(p, live)
	}
	t.advance(p)
	t.resumeEnd(p)
}

// refundOrphans takes back what was carved for a sub-agent whose creation was
// lost with the old owner.
func (t *transition) refundOrphans(p *programState) {
	for _, id := range p.sortedChildren() {
		if _, ok := t.store.programs[id]; !ok {
			t.refundBudget(p, id, p.children[id])
		}
	}
}

// prepareCalls notes what an older epoch may have done with the calls. It may
// have sent the repeatable call whose turn it was without a durable record:
// that one never ends as not run any more.
func (p *programState) prepareCalls() {
	for _, live := range p.live {
		switch {
		case live.attempt > 0:
			live.phase = phaseSent
		case live == p.head() && live.repeatable():
			live.mayHaveRun = true
		}
	}
}

// resumeCall continues a call that an older epoch has left.
func (t *transition) resumeCall(p *programState, live *liveCall) {
	switch {
	case live.phase == phaseQueued && p.closed:
		t.endWaiting(p, live, programEnded(p.closedReason))
	case live.phase != phaseSent:
		return
	case !live.repeatable():
		t.startLookup(p, live)
	case p.closed:
		t.endMayHaveRun(p, live, programEnded(p.closedReason))
	case live.expired(t.now):
		t.endMayHaveRun(p, live, callError(api.CodeTimeout, api.RanFailed, "the call ran out of time"))
	default:
		t.immediate(p.callEffect(EffectStop, live))
		t.reschedule(p, live)
	}
}

// resumeEnd completes the end of a program. One that was complete before is
// left alone: what engines may still hold of it, their sweep finds.
func (t *transition) resumeEnd(p *programState) {
	if p.endCompleted || !p.finished() {
		return
	}
	if parent, ok := t.store.programs[p.parent]; ok {
		if _, open := parent.children[p.id]; open {
			t.completeEnd(p)
			return
		}
	}
	p.endCompleted = true
	t.store.finished = append(t.store.finished, p.id)
}
