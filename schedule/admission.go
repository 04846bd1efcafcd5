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

// smallestRetry is the shortest retry time of a refusal.
const smallestRetry = 100 * time.Millisecond

// pace is how often a tenant's waiting programs start.
type pace struct {
	// waiting counts the held calls of programs without service.
	waiting int
	// since is when the wait for the next start began.
	since time.Time
	// interval is the learned time between two starts.
	interval average
}

// enter counts one more waiting program.
func (p *pace) enter(now time.Time) {
	if p.waiting == 0 {
		p.since = now
	}
	p.waiting++
}

// leave counts a waiting program that started, or was taken back. The pace
// follows those that had to wait: one that starts at once says nothing of it.
func (p *pace) leave(now time.Time, started, waited bool) {
	p.waiting--
	if !started {
		return
	}
	if waited {
		p.interval.add(now.Sub(p.since).Seconds())
	}
	p.since = now
}

// typical is the time between two starts, a prior until one is known.
func (p *pace) typical(prior time.Duration) time.Duration {
	if p.interval.count == 0 {
		return prior
	}
	return seconds(p.interval.value)
}

// wait is how long a program waits behind others: as long as those take to
// start, of which the next takes at least as long as it has already.
func (p *pace) wait(now time.Time, ahead int, prior time.Duration) time.Duration {
	if ahead == 0 {
		return 0
	}
	typical := p.typical(prior)
	return max(typical, now.Sub(p.since)) + time.Duration(ahead-1)*typical
}

// unstarted reports whether refusing the call spares the program's whole
// work.
func unstarted(request *Request) bool {
	return request.Kind == api.CallModel && request.Attained == 0 && len(request.Avoid) == 0
}

// admit decides whether a call may be held. It returns the refusal if not.
func (s *Scheduler) admit(now time.Time, call *heldCall) *api.Error {
	request := &call.request
	if !unstarted(request) {
		return nil
	}
	wait := call.line.share.starts.wait(now, call.line.ahead(call), s.priorInterval(call))
	limit := time.Duration(s.config.AdmissionShare * float64(call.expires.Sub(now)))
	if wait <= limit {
		return nil
	}
	retry := s.promise(now, call, wait-limit)
	reason := api.Refuse(api.CodeOverloaded, "%s: the hold would take %v, more than %v",
		request.Tenant, wait.Round(time.Millisecond), limit.Round(time.Millisecond))
	return reason.After(retry.Milliseconds())
}

// priorInterval is the time between two starts that the slots would allow.
func (s *Scheduler) priorInterval(call *heldCall) time.Duration {
	return call.cost / time.Duration(max(s.capacity(call.line, call.pool), 1))
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

// promise returns a retry time that can be kept: after the excess of the
// wait, and one start behind the retry that was promised before.
func (s *Scheduler) promise(now time.Time, call *heldCall, excess time.Duration) time.Duration {
	owner := call.line.share
	if earliest := now.Add(excess); owner.nextRetry.Before(earliest) {
		owner.nextRetry = earliest
	}
	owner.nextRetry = owner.nextRetry.Add(owner.starts.typical(s.priorInterval(call)))
	return max(owner.nextRetry.Sub(now), smallestRetry)
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
