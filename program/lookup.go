package program

import (
	"time"

	"birchwood.example/birchwood/api"
)

// lookupState counts the look-ups of a call whose outcome is unknown.
type lookupState struct {
	asked int
	// due is when the answer to the last look-up is overdue.
	due       time.Time
	cancelled bool
}

// startLookup asks the tool service about the call's key, the first time.
func (t *transition) startLookup(p *heldProgram, live *liveCall) {
	if live.phase == phaseLookup {
		return
	}
	live.phase = phaseLookup
	t.lookUp(p, live, 0)
}

func (t *transition) lookUp(p *heldProgram, live *liveCall, delay time.Duration) {
	live.lookup.asked++
	live.lookup.due = t.now.Add(delay + t.store.config.LookupTimeout)
	effect := p.callEffect(EffectLookup, live)
	effect.Delay = delay
	t.effect(effect)
	t.touch(p)
}

// lookedUp takes the tool service's answer about a key. A key that is found
// gives the outcome. One that is not found proves nothing, because a send may
// still be in flight; the service is asked again a bounded number of times.
func (t *transition) lookedUp(p *heldProgram, result LookupResult) {
	live := p.liveCall(result.Call.Sequence)
	if live == nil || live.phase != phaseLookup {
		return
	}
	if result.Err == nil && result.Found {
		t.endCall(p, live, CallEnded{Status: api.StatusSucceeded, Output: result.Output})
	} else {
		t.lookUpAgain(p, live, result.Err != nil)
	}
	t.advance(p)
	t.settle(p)
}

// lookUpAgain asks once more, or ends the call with an unknown outcome. A
// service that cannot be asked may come back: as long as the call has time
// and its caller waits, that does not use up the look-ups.
func (t *transition) lookUpAgain(p *heldProgram, live *liveCall, unanswered bool) {
	patient := unanswered && !live.lookup.cancelled && !live.deadline.IsZero() && !live.expired(t.now)
	if patient || live.lookup.asked < t.store.config.LookupAttempts {
		t.lookUp(p, live, t.store.backoff(live.lookup.asked))
		return
	}
	t.withdraw(p, live)
	t.endCall(p, live, CallEnded{
		Status:     api.StatusOutcomeUnknown,
		Error:      unknownOutcome("the call was sent, and the service does not tell what became of key %s", p.serviceKey(live)),
		HeldTokens: live.reserved,
	})
}
