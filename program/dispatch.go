package program

import (
	"cmp"
	"time"

	"birchwood.example/birchwood/api"
)

// advance schedules the head call if it is still queued. Calls that can no
// longer run are ended until one can be scheduled.
func (t *transition) advance(p *programState) {
	for !p.closed {
		head := p.head()
		if head == nil || head.phase != phaseQueued {
			return
		}
		refusal := t.checkSchedulable(p, head)
		if refusal == nil {
			t.schedule(p, head, 0)
			return
		}
		t.endWaiting(p, head, refusal)
	}
}

// checkSchedulable returns why a call can no longer be scheduled, or nil if it
// can.
func (t *transition) checkSchedulable(p *programState, live *liveCall) *api.Error {
	if live.expired(t.now) {
		return waitTimedOut(p, live)
	}
	if refusal := checkKind(live.call, *p.terms); refusal != nil {
		return refusal
	}
	if !live.affordable() {
		return api.Refuse(api.CodeBudgetExhausted, "the call may cost %d tokens, the program has %d left",
			reservation(live.call, live.promptTokens), p.budget.free()+live.reserved)
	}
	return nil
}

func (c *liveCall) expired(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// schedule hands a call to the scheduler after the delay.
func (t *transition) schedule(p *programState, live *liveCall, delay time.Duration) {
	live.phase = phaseScheduled
	effect := p.callEffect(EffectSchedule, live)
	effect.Delay = delay
	t.effect(effect)
	t.markTimer(p)
}

// dispatch records the intent to send an attempt. The attempt of a call that is
// not repeatable is sent only once the record is durable, so that no later epoch
// can mistake it for a call that was never sent.
func (t *transition) dispatch(p *programState, dispatch Dispatch) *api.Error {
	live := p.liveCall(dispatch.Call.Sequence)
	if live == nil || live.phase != phaseScheduled || live != p.head() || live.expired(t.now) {
		return staleDispatch(dispatch.Call) // if the call has expired, Tick ends it
	}
	t.record(Record{Program: p.id, Dispatched: &Dispatched{
		Sequence: live.sequence,
		Attempt:  live.attempt + 1,
		Backend:  dispatch.Backend,
		Epoch:    cmp.Or(dispatch.Epoch, t.store.epoch),
	}})
	live.phase = phaseSent
	send := p.callEffect(EffectSend, live)
	if live.repeatable() {
		t.immediate(send)
	} else {
		t.effect(send)
	}
	t.setCallReply(p, live.sequence)
	return nil
}

// refuse ends a scheduled call that the scheduler refused.
func (t *transition) refuse(p *programState, refusal Refusal) {
	live := p.liveCall(refusal.Call.Sequence)
	if live == nil || live.phase != phaseScheduled {
		return
	}
	t.endWaiting(p, live, refusedByScheduler(refusal.Error))
	t.advance(p)
	t.completeEnd(p)
}

// refusedByScheduler converts the scheduler's refusal into the call's final
// error.
func refusedByScheduler(cause *api.Error) *api.Error {
	if cause == nil {
		return notRun(api.CodeOverloaded, queueRetryAfter, "the scheduler does not serve the call")
	}
	final := *cause
	if final.Retry {
		wait := max(time.Millisecond, time.Duration(final.RetryAfterMilliseconds)*time.Millisecond)
		refusal := notRun(final.Code, wait, "%s", final.Message)
		refusal.Location, refusal.ID = final.Location, final.ID
		return refusal
	}
	final.Ran = api.RanNotRun
	return &final
}
