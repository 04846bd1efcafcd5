package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/retry"
)

// outcome handles the result of an attempt. Only the outcome of the current
// attempt of a call that was sent is accepted: late outcomes, duplicates and
// outcomes of other attempts have no effect.
func (t *transition) outcome(p *programState, outcome Outcome) {
	live := p.liveCall(outcome.Attempt.Sequence)
	if live == nil || live.attempt != outcome.Attempt.Attempt || outcome.Attempt.Program != p.id {
		return
	}
	if live.phase != phaseSent && live.phase != phaseLookup {
		return
	}
	if outcome.Epoch != 0 && outcome.Epoch != live.epoch {
		return
	}
	t.markTimer(p)
	switch outcome.Status {
	case api.StatusSucceeded:
		t.endCall(p, live, CallEnded{Status: api.StatusSucceeded, Output: outcome.Output, Usage: outcome.Usage})
	case api.StatusFailed:
		t.attemptFailed(p, live, outcome)
	case api.StatusNotRun:
		t.attemptNotSent(p, live, outcome.Error)
	default:
		t.attemptUnknown(p, live, outcome.Error)
	}
	t.advance(p)
	t.completeEnd(p)
}

// attemptFailed handles an attempt that the back end ran and that failed.
func (t *transition) attemptFailed(p *programState, live *liveCall, outcome Outcome) {
	cause := outcome.Error
	if cause == nil {
		cause = callError(api.CodeBackendFailed, api.RanFailed, "the back end failed")
	}
	live.lastError = cause
	if live.repeatable() && !permanent(cause) && t.retry(p, live) {
		return
	}
	t.endCall(p, live, CallEnded{Status: api.StatusFailed, Output: outcome.Output, Usage: outcome.Usage, Error: cause})
}

// permanent reports whether another attempt would fail with the same error.
func permanent(cause *api.Error) bool {
	switch cause.Code {
	case api.CodeBadRequest, api.CodeUnknownModel, api.CodeUnknownTool, api.CodeBodyTooLarge:
		return true
	}
	return false
}

// attemptNotSent handles an attempt of which nothing reached the back end. After
// it, even a call that is not repeatable may be dispatched again.
func (t *transition) attemptNotSent(p *programState, live *liveCall, cause *api.Error) {
	live.mayHaveRun = live.mayHaveRunBefore
	live.lastError = cause
	if live.phase != phaseLookup && t.retryNotSent(p, live, cause) {
		return
	}
	if live.phase == phaseLookup && live.lookup.cancelled {
		t.endWaiting(p, live, api.Refuse(api.CodeCancelled, "the call was cancelled before anything was sent"))
		return
	}
	code, message := api.CodeBackendFailed, "the back end cannot be reached"
	if cause != nil {
		code, message = cause.Code, cause.Message
	}
	t.endWaiting(p, live, notRun(code, t.store.config.RetryMaximum, "%s", message))
}

// retryNotSent retries a call of which nothing was sent and reports whether it
// did. If the cause is that the log cannot be read, no back end is at fault: the
// call is then retried until its deadline, regardless of the number of attempts.
func (t *transition) retryNotSent(p *programState, live *liveCall, cause *api.Error) bool {
	if cause != nil && cause.Code == api.CodeStoreUnavailable {
		return t.rescheduleAfterBackoff(p, live)
	}
	return t.retry(p, live)
}

// attemptUnknown handles an attempt that may or may not have run.
func (t *transition) attemptUnknown(p *programState, live *liveCall, cause *api.Error) {
	if !live.repeatable() {
		t.startLookup(p, live)
		return
	}
	if cause == nil {
		cause = unknownOutcome("the back end's answer was lost")
	}
	live.lastError = cause
	if !t.retry(p, live) {
		t.endMayHaveRun(p, live, cause)
	}
}

// retry counts the attempt as a failure of its back end and schedules the call
// again, unless its attempts or its time are used up. It reports whether it did.
func (t *transition) retry(p *programState, live *liveCall) bool {
	live.failures++
	live.avoid = append(live.avoid, live.backend)
	if live.failures >= max(1, p.terms.Attempts) {
		return false
	}
	return t.rescheduleAfterBackoff(p, live)
}

// rescheduleAfterBackoff schedules the call again after a backoff, unless the
// program has ended or the call would expire first. It reports whether it did.
func (t *transition) rescheduleAfterBackoff(p *programState, live *liveCall) bool {
	if p.closed {
		return false
	}
	live.reschedules++
	delay := t.store.backoff(live.reschedules)
	if live.expired(t.now.Add(delay)) {
		return false
	}
	t.schedule(p, live, delay)
	return true
}

// backoff returns the delay after this number of consecutive failures.
func (s *Store) backoff(failures int) time.Duration {
	policy := retry.Backoff{Minimum: s.config.RetryBase, Maximum: s.config.RetryMaximum, Random: s.config.Random}
	return policy.Delay(failures)
}
