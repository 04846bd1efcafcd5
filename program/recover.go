package program

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// Recover replays one record. The offset is its position in the log, or NoOffset
// for a record that mirrors have and the log does not have yet.
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

// Resume continues the programs once all records are replayed: waiting calls are
// handed to the scheduler, repeatable calls that were sent are scheduled again,
// and other calls that were sent are looked up. The epoch is the new owner's.
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

// refundOrphans refunds budget allocated to sub-agents whose Created record was
// lost with the previous owner.
func (t *transition) refundOrphans(p *programState) {
	for _, id := range p.sortedChildren() {
		if _, ok := t.store.programs[id]; !ok {
			t.refundBudget(p, id, p.children[id])
		}
	}
}

// prepareCalls sets the state of the calls that is not durable, according to what
// an earlier epoch may have done with them. It may have sent the head call
// without a durable record if that is repeatable, so that call can no longer end
// as not run.
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

// resumeCall continues a call of an earlier epoch.
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

// resumeEnd handles a program that has ended. If its parent has not been refunded,
// it completes the end. Otherwise the end was complete before, and EffectRelease
// is not repeated: the periodic sweep of the engines frees memory that is left.
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
