package program

import (
	"time"

	"birchwood.example/birchwood/api"
)

// lookupState is the progress of the lookups of a call whose outcome is
// unknown.
type lookupState struct {
	attempts int
	// timeoutAt is the deadline of the current lookup.
	timeoutAt time.Time
	cancelled bool
}

// startLookup begins to look up a call's outcome at the tool service, unless
// that has begun already.
func (t *transition) startLookup(p *programState, live *liveCall) {
	if live.phase == phaseLookup {
		return
	}
	live.phase = phaseLookup
	t.sendLookup(p, live, 0)
}

func (t *transition) sendLookup(p *programState, live *liveCall, delay time.Duration) {
	live.lookup.attempts++
	live.lookup.timeoutAt = t.now.Add(delay + t.store.config.LookupTimeout)
	effect := p.callEffect(EffectLookup, live)
	effect.Delay = delay
	t.effect(effect)
	t.markTimer(p)
}

// lookupResult handles the result of a lookup. A key that is found gives the
// outcome. A key that is not found proves nothing, because a send may still be
// in transit, so the lookup is repeated a bounded number of times.
func (t *transition) lookupResult(p *programState, result LookupResult) {
	live := p.liveCall(result.Call.Sequence)
	if live == nil || live.phase != phaseLookup {
		return
	}
	if result.Err == nil && result.Found {
		t.endCall(p, live, CallEnded{Status: api.StatusSucceeded, Output: result.Output})
	} else {
		t.retryLookup(p, live, result.Err != nil)
	}
	t.advance(p)
	t.completeEnd(p)
}

// retryLookup repeats the lookup, or ends the call with an unknown outcome once
// the attempts are used up. A service that did not answer may recover: until the
// call's deadline, and unless the call was cancelled, such failures do not end
// the lookups.
func (t *transition) retryLookup(p *programState, live *liveCall, unanswered bool) {
	unlimited := unanswered && !live.lookup.cancelled && !live.deadline.IsZero() && !live.expired(t.now)
	if unlimited || live.lookup.attempts < t.store.config.LookupAttempts {
		t.sendLookup(p, live, t.store.backoff(live.lookup.attempts))
		return
	}
	t.stopCall(p, live)
	t.endCall(p, live, CallEnded{
		Status:     api.StatusOutcomeUnknown,
		Error:      unknownOutcome("the call was sent, and the service does not tell what became of key %s", p.serviceKey(live)),
		HeldTokens: live.reserved,
	})
}
