package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// Under overload some programs must fail. Refusing a program at its first call,
// before any service has been spent on it, costs least: every admitted program
// can then finish, and goodput stays at the capacity of the engines. So a call
// of a program that has received no service is refused if its predicted hold is
// too large a share of the time until its hold deadline. Calls of started
// programs are held until they are placed or expire.
//
// The predicted hold depends on the tenant's own unstarted programs and on how
// often they have started, so that a flooding tenant's programs are refused and
// not those of other tenants.

// minRetryAfter is the shortest retry time of a refusal for overload.
const minRetryAfter = 100 * time.Millisecond

// startEstimator estimates how often a tenant's waiting programs start.
type startEstimator struct {
	// waiting is the number of held calls of unstarted programs.
	waiting int
	// waitStart is when the wait for the next start began: the time of the last
	// start, or when the first program began to wait.
	waitStart time.Time
	// interval is the moving average of the time between two starts, in seconds.
	interval movingAverage
}

// addWaiting records that one more program waits to start.
func (e *startEstimator) addWaiting(now time.Time) {
	if e.waiting == 0 {
		e.waitStart = now
	}
	e.waiting++
}

// removeWaiting records that a waiting program started or was withdrawn. Only
// programs that had to wait change the interval; one that starts at once is no
// measure of the time between starts under load.
func (e *startEstimator) removeWaiting(now time.Time, started, waited bool) {
	e.waiting--
	if !started {
		return
	}
	if waited {
		e.interval.add(now.Sub(e.waitStart).Seconds())
	}
	e.waitStart = now
}

// meanInterval returns the mean time between two starts, or prior if none has
// been observed.
func (e *startEstimator) meanInterval(prior time.Duration) time.Duration {
	if e.interval.count == 0 {
		return prior
	}
	return seconds(e.interval.value)
}

// expectedWait predicts how long a program waits if ahead others start before
// it. The next of them takes at least as long as it has already waited.
func (e *startEstimator) expectedWait(now time.Time, ahead int, prior time.Duration) time.Duration {
	if ahead == 0 {
		return 0
	}
	meanInterval := e.meanInterval(prior)
	return max(meanInterval, now.Sub(e.waitStart)) + time.Duration(ahead-1)*meanInterval
}

// isUnstarted reports whether no work has been spent on the program yet, so
// that refusing the call wastes none.
func isUnstarted(request *Request) bool {
	return request.Kind == api.CallModel && request.AttainedTokens == 0 && len(request.Avoid) == 0
}

// checkAdmission returns nil if the call may be held, and the refusal if not.
func (s *Scheduler) checkAdmission(now time.Time, call *heldCall) *api.Error {
	request := &call.request
	if !isUnstarted(request) {
		return nil
	}
	expectedWait := call.subqueue.share.starts.expectedWait(now, call.subqueue.callsAhead(call), s.priorStartInterval(call))
	limit := time.Duration(s.config.AdmissionShare * float64(call.expires.Sub(now)))
	if expectedWait <= limit {
		return nil
	}
	retry := s.nextRetryAfter(now, call, expectedWait-limit)
	refusal := api.Refuse(api.CodeOverloaded, "%s: the hold would take %v, more than %v",
		request.Tenant, expectedWait.Round(time.Millisecond), limit.Round(time.Millisecond))
	return refusal.WithRetryAfter(retry.Milliseconds())
}

// priorStartInterval returns the time between two starts if all slots of the
// subqueue's back ends served calls like this one.
func (s *Scheduler) priorStartInterval(call *heldCall) time.Duration {
	return call.expectedService / time.Duration(max(s.capacity(call.subqueue, call.pool), 1))
}

// capacity returns the number of calls that the back ends of a subqueue serve
// at once.
func (s *Scheduler) capacity(subqueue *subqueue, pool *pool) int {
	if subqueue.revision == s.view.revision {
		return subqueue.capacity
	}
	request := Request{Kind: pool.kind, Model: pool.name, Tool: pool.name, Placement: subqueue.placement}
	s.candidates = s.view.feasible(&request, s.candidates[:0])
	subqueue.capacity = 0
	for _, candidate := range s.candidates {
		subqueue.capacity += max(candidate.machine.Slots, 1)
	}
	subqueue.revision = s.view.revision
	return subqueue.capacity
}

// nextRetryAfter returns a retry time at which the call can be expected to be
// admitted: after the excess of the wait over its limit, and one start interval
// after the retry time of the tenant's previous refusal, so that retries are
// spread over time.
func (s *Scheduler) nextRetryAfter(now time.Time, call *heldCall, excess time.Duration) time.Duration {
	tenantShare := call.subqueue.share
	if earliest := now.Add(excess); tenantShare.lastRetryAt.Before(earliest) {
		tenantShare.lastRetryAt = earliest
	}
	tenantShare.lastRetryAt = tenantShare.lastRetryAt.Add(tenantShare.starts.meanInterval(s.priorStartInterval(call)))
	return max(tenantShare.lastRetryAt.Sub(now), minRetryAfter)
}

// holdDeadline returns when a held call expires: after maximumHold, or at its
// deadline if that is earlier.
func holdDeadline(request Request, maximumHold time.Duration) time.Time {
	until := request.Enqueued.Add(maximumHold)
	if !request.Deadline.IsZero() && request.Deadline.Before(until) {
		return request.Deadline
	}
	return until
}

// refuse returns the decision that refuses a call that was not placed.
func refuse(request Request, refusal *api.Error) Decision {
	return Decision{
		Action:  ActionRefuse,
		Call:    request.Call,
		Program: request.Call.Program,
		Error:   withRanStatus(request, refusal),
		Terms:   Terms{Reason: string(refusal.Code)},
	}
}

// noBackendError returns the refusal of a call that no back end may serve.
func noBackendError(request Request) *api.Error {
	refusal := api.Refuse(api.CodeNoPermittedPlace, "no back end in %s serves %s%s",
		request.Placement, request.Model, request.Tool)
	refusal.Retry = true
	return refusal
}

// withRanStatus sets the refusal's Ran to unknown if an earlier attempt of the
// call failed: the call was sent to the back ends in Request.Avoid and may have
// run there. Only a call that was never sent counts as not run.
func withRanStatus(request Request, refusal *api.Error) *api.Error {
	if len(request.Avoid) > 0 {
		refusal.Ran = api.RanOutcomeUnknown
	}
	return refusal
}
