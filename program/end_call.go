package program

import (
	"time"

	"birchwood.example/birchwood/api"
)

// endCall records a call's final outcome and answers its callers. The function
// that calls it must call advance afterwards, so that the next call can run.
func (t *transition) endCall(p *programState, live *liveCall, ended CallEnded) {
	ended.Sequence = live.sequence
	ended.Attempt = live.attempt
	ended.Backend = live.backend
	t.record(Record{Program: p.id, Ended: &ended})
	answer := p.apiCall(live.sequence, live.call, &ended)
	effect := Effect{
		Kind:    EffectAnswer,
		Attempt: AttemptRef{CallRef: CallRef{Program: p.id, Sequence: live.sequence}, Attempt: live.attempt},
		Branch:  p.branch,
		Answer:  &answer,
	}
	t.effect(effect)
	t.store.stats.count(ended.Status)
}

// endNotRun ends a call of which nothing was sent. Nothing can be sent
// afterwards either, because Dispatch refuses a call that has ended.
func (t *transition) endNotRun(p *programState, live *liveCall, cause *api.Error) {
	t.stopCall(p, live)
	t.endCall(p, live, CallEnded{Status: api.StatusNotRun, Error: cause})
}

// endWaiting ends a call that is not running at present: as not run if no earlier
// attempt can have run, and otherwise with endMayHaveRun.
func (t *transition) endWaiting(p *programState, live *liveCall, cause *api.Error) {
	if !live.mayHaveRun {
		t.endNotRun(p, live, cause)
		return
	}
	t.endMayHaveRun(p, live, cause)
}

// endMayHaveRun ends a call of which an attempt ran or may have run. The cost of
// that attempt is unknown, so the reservation stays held.
func (t *transition) endMayHaveRun(p *programState, live *liveCall, cause *api.Error) {
	t.stopCall(p, live)
	final := *cause
	if final.Ran != api.RanFailed || live.call.Kind == api.CallTool {
		final.Ran = api.RanOutcomeUnknown
	}
	status := api.StatusFailed
	if cause.Code == api.CodeCancelled || cause.Code == api.CodeProgramEnded {
		status = api.StatusCancelled
	}
	if !live.repeatable() {
		status = api.StatusOutcomeUnknown
	}
	t.endCall(p, live, CallEnded{Status: status, Error: &final, HeldTokens: live.reserved})
}

// stopCall removes a call from the scheduler or stops its running attempt. If
// the call is not repeatable, its send waits for the log, so the stop waits too
// and follows it.
func (t *transition) stopCall(p *programState, live *liveCall) {
	stop := p.callEffect(EffectStop, live)
	switch live.phase {
	case phaseScheduled:
		// EffectSchedule itself may still be waiting for the log; the second stop
		// is performed after it.
		stop.Attempt.Attempt = 0
		stop.Backend = ""
		t.immediate(stop)
		t.effect(stop)
	case phaseSent, phaseLookup:
		if live.repeatable() {
			t.immediate(stop)
		} else {
			t.effect(stop)
		}
	}
}

// timeoutRetryAfter is the RetryAfter of a call that ran out of time before it
// was sent.
const timeoutRetryAfter = time.Second

// waitTimedOut returns the error of a call that ran out of time before it was
// sent.
func waitTimedOut(p *programState, live *liveCall) *api.Error {
	if p.head() == nil {
		return notRun(api.CodeTimeout, timeoutRetryAfter, "call %d waited for call %d, which never came", live.sequence, p.headSequence)
	}
	return notRun(api.CodeTimeout, timeoutRetryAfter, "call %d found no back end before its deadline", live.sequence)
}

// cancel cancels a call. A call that was never sent ends as not run, and a
// repeatable one is stopped. For any other call the outcome is looked up, since
// stopping the attempt would not undo it.
func (t *transition) cancel(p *programState, sequence uint64) *api.Error {
	if p.entry(sequence) == nil {
		return callNotFound(p.id, sequence)
	}
	live := p.liveCall(sequence)
	if live != nil {
		t.cancelLive(p, live)
		t.advance(p)
		t.completeEnd(p)
	}
	t.setCallReply(p, sequence)
	return nil
}

func (t *transition) cancelLive(p *programState, live *liveCall) {
	cause := api.Refuse(api.CodeCancelled, "the caller cancelled the call")
	switch {
	case live.phase == phaseQueued, live.phase == phaseScheduled:
		t.endWaiting(p, live, cause)
	case live.repeatable():
		t.endMayHaveRun(p, live, cause)
	default:
		live.lookup.cancelled = true
		t.startLookup(p, live)
	}
}
