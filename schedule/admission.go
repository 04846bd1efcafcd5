package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// Under overload some program must fail. Refusing it at its first call, when
// nothing has been spent on it, costs least: every program that is let in can
// then finish, and goodput stays at what the engines can do. So a call of a
// program that has received no service is refused when its predicted hold is
// too large a share of the time that its caller has, and calls of programs
// under way are held until they are served or expire.
//
// The prediction counts the tenant's own programs that wait to start, and the
// pace at which they have started: a flood gets its own callers refused, not
// others.

// minRetryAfter is the shortest retry time of a refusal.
const minRetryAfter = 100 * time.Millisecond

// startEstimator is how often a tenant's waiting programs start.
type startEstimator struct {
	// waiting counts the held calls of programs without service.
	waiting int
	// waitStart is when the wait for the next start began.
	waitStart time.Time
	// interval is the learned time between two starts.
	interval movingAverage
}

// addWaiting counts one more waiting program.
func (p *startEstimator) addWaiting(now time.Time) {
	if p.waiting == 0 {
		p.waitStart = now
	}
	p.waiting++
}

// removeWaiting counts a waiting program that started, or was taken back. The pace
// follows those that had to wait: one that starts at once says nothing of it.
func (p *startEstimator) removeWaiting(now time.Time, started, waited bool) {
	p.waiting--
	if !started {
		return
	}
	if waited {
		p.interval.add(now.Sub(p.waitStart).Seconds())
	}
	p.waitStart = now
}

// meanInterval is the time between two starts, a prior until one is known.
func (p *startEstimator) meanInterval(prior time.Duration) time.Duration {
	if p.interval.count == 0 {
		return prior
	}
	return seconds(p.interval.value)
}

// expectedWait is how long a program waits behind others: as long as those take to
// start, of which the next takes at least as long as it has already.
func (p *startEstimator) expectedWait(now time.Time, ahead int, prior time.Duration) time.Duration {
	if ahead == 0 {
		return 0
	}
	meanInterval := p.meanInterval(prior)
	return max(meanInterval, now.Sub(p.waitStart)) + time.Duration(ahead-1)*meanInterval
}

// isUnstarted reports whether refusing the call spares the program's whole
// work.
func isUnstarted(request *Request) bool {
	return request.Kind == api.CallModel && request.Attained == 0 && len(request.Avoid) == 0
}

// checkAdmission decides whether a call may be held. It returns the refusal if not.
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
	return refusal.After(retry.Milliseconds())
}

// priorStartInterval is the time between two starts that the slots would allow.
func (s *Scheduler) priorStartInterval(call *heldCall) time.Duration {
	return call.expectedService / time.Duration(max(s.capacity(call.subqueue, call.pool), 1))
}

// capacity is the number of calls that the back ends of a line serve at once.
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

// nextRetryAfter returns a retry time that can be kept: after the excess of the
// wait, and one start behind the retry that was promised before.
func (s *Scheduler) nextRetryAfter(now time.Time, call *heldCall, excess time.Duration) time.Duration {
	tenantShare := call.subqueue.share
	if earliest := now.Add(excess); tenantShare.lastRetryAt.Before(earliest) {
		tenantShare.lastRetryAt = earliest
	}
	tenantShare.lastRetryAt = tenantShare.lastRetryAt.Add(tenantShare.starts.meanInterval(s.priorStartInterval(call)))
	return max(tenantShare.lastRetryAt.Sub(now), minRetryAfter)
}

// holdDeadline is when a held call is refused at the latest.
func holdDeadline(request Request, maximumHold time.Duration) time.Time {
	until := request.Enqueued.Add(maximumHold)
	if !request.Deadline.IsZero() && request.Deadline.Before(until) {
		return request.Deadline
	}
	return until
}

// refuse ends a call that was not placed.
func refuse(request Request, refusal *api.Error) Decision {
	return Decision{
		Action:  ActionRefuse,
		Call:    request.Call,
		Program: request.Call.Program,
		Error:   withRanStatus(request, refusal),
		Terms:   Terms{Reason: string(refusal.Code)},
	}
}

// noBackendError says that no back end may serve the call.
func noBackendError(request Request) *api.Error {
	refusal := api.Refuse(api.CodeNoPermittedPlace, "no back end in %s serves %s%s",
		request.Placement, request.Model, request.Tool)
	refusal.Retry = true
	return refusal
}

// withRanStatus says "not run" only of a call that was never sent: one that has
// back ends to avoid was tried before, and may have run there.
func withRanStatus(request Request, refusal *api.Error) *api.Error {
	if len(request.Avoid) > 0 {
		refusal.Ran = api.RanOutcomeUnknown
	}
	return refusal
}
