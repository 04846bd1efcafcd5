package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// Under overload some program must fail. Refusing it at its first call, when
// nothing has been spent on it, costs least: every program that is let in can
// then finish, and goodput stays at what the engines can do. So a call of a
// program that has received no service is refused as soon as its predicted
// hold exceeds Config.AdmissionWait, and calls of programs under way are held
// until they are served or expire.
//
// The prediction counts only the tenant's own backlog against the tenant's
// own share of the engines: a flood gets its own callers refused, not others.

// smallestRetry is the shortest retry time of a refusal.
const smallestRetry = 100 * time.Millisecond

// predictedWait is how long one more call of the line would be held.
func (s *Scheduler) predictedWait(line *line, pool *pool) time.Duration {
	if line.share.held == 0 {
		return 0
	}
	rate := s.drainRate(line, pool)
	return seconds(line.share.work.Seconds() / rate * pool.drag)
}

// drainRate is the tenant's share of the pool, in seconds of service a
// second.
func (s *Scheduler) drainRate(line *line, pool *pool) float64 {
	active := line.share.weight
	for _, other := range pool.active {
		if other.share != line.share && other.calls.Len() > 0 {
			active += other.share.weight
		}
	}
	return float64(max(s.capacity(line, pool), 1)) * line.share.weight / active
}

// capacity is the number of calls that the back ends of a line serve at once.
func (s *Scheduler) capacity(line *line, pool *pool) int {
	if line.revision == s.view.revision {
		return line.capacity
	}
	request := Request{Kind: pool.kind, Model: pool.name, Tool: pool.name, Placement: line.placement}
	s.candidates = s.view.feasible(&request, s.candidates[:0])
	line.capacity = 0
	for _, candidate := range s.candidates {
		line.capacity += max(candidate.machine.Slots, 1)
	}
	line.revision = s.view.revision
	return line.capacity
}

// admit decides whether a call may be held. It returns the refusal if not.
func (s *Scheduler) admit(now time.Time, call *heldCall) *api.Error {
	request := &call.request
	call.predictedWait = s.predictedWait(call.line, call.pool)
	started := request.Attained > 0 || len(request.Avoid) > 0
	if started || request.Kind == api.CallTool || call.predictedWait <= s.config.AdmissionWait {
		return nil
	}
	retry := s.promise(now, call)
	reason := api.Refuse(api.CodeOverloaded, "%s: the hold would take %v, more than %v",
		request.Tenant, call.predictedWait.Round(time.Millisecond), s.config.AdmissionWait)
	return reason.After(retry.Milliseconds())
}

// promise returns a retry time that can be kept: the wait in excess, behind
// the retries that were promised to the same tenant before.
func (s *Scheduler) promise(now time.Time, call *heldCall) time.Duration {
	owner := call.line.share
	earliest := now.Add(call.predictedWait - s.config.AdmissionWait)
	if owner.nextRetry.Before(earliest) {
		owner.nextRetry = earliest
	}
	owner.nextRetry = owner.nextRetry.Add(seconds(call.cost.Seconds() / s.drainRate(call.line, call.pool)))
	return max(owner.nextRetry.Sub(now), smallestRetry)
}

// learnDrag compares a call's hold with its prediction. Other nodes share the
// engines, so that a pool drains slower than this node's slots suggest.
func (p *pool) learnDrag(now time.Time, call *heldCall) {
	const (
		shortest = 50 * time.Millisecond
		weight   = 0.05
		smallest = 0.25
		largest  = 16
	)
	if call.predictedWait < shortest {
		return
	}
	ratio := p.drag * float64(now.Sub(call.request.Enqueued)) / float64(call.predictedWait)
	p.drag += weight * (min(max(ratio, smallest), largest) - p.drag)
}

// holdUntil is when a held call is refused at the latest.
func holdUntil(request Request, maximumHold time.Duration) time.Time {
	until := request.Enqueued.Add(maximumHold)
	if !request.Deadline.IsZero() && request.Deadline.Before(until) {
		return request.Deadline
	}
	return until
}

// refuse ends a call that was not placed.
func refuse(request Request, reason *api.Error) Decision {
	return Decision{
		Action:  ActionRefuse,
		Call:    request.Call,
		Program: request.Call.Program,
		Error:   truthful(request, reason),
		Terms:   Terms{Reason: string(reason.Code)},
	}
}

// noPlaceError says that no back end may serve the call.
func noPlaceError(request Request) *api.Error {
	reason := api.Refuse(api.CodeNoPermittedPlace, "no back end in %s serves %s%s",
		request.Placement, request.Model, request.Tool)
	reason.Retry = true
	return reason
}

// truthful says "not run" only of a call that was never sent: one that has
// back ends to avoid was tried before, and may have run there.
func truthful(request Request, reason *api.Error) *api.Error {
	if len(request.Avoid) > 0 {
		reason.Ran = api.RanOutcomeUnknown
	}
	return reason
}
