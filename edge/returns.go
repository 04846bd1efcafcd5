package edge

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/dispatch"
)

// refusals tracks this node's refusals, so that callers that are refused together do not
// retry together. It is safe for concurrent use.
type refusals struct {
	mutex sync.Mutex
	state dispatch.RefusalTracker
}

// observeRefusal records a refusal and returns the delay after which its caller should
// retry.
func (s *refusals) observeRefusal(now time.Time, refusal *dispatch.Refusal) time.Duration {
	s.mutex.Lock()
	s.state.ObserveRefusal(now, refusal)
	s.mutex.Unlock()
	return refusal.RetryAfter()
}

// observeServed records that a turn was served.
func (s *refusals) observeServed(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.ObserveServed(now)
}

// serviceRate returns how many turns this node served in the last second.
func (s *refusals) serviceRate(now time.Time) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.ServiceRate(now)
}

// refuse answers that the request was not run, with the delay after which to retry. The
// caller sets the fields that describe the cause; refuse adds those of the request.
func (n *Node) refuse(r *requestState, refusal dispatch.Refusal, reason string) {
	now := time.Now()
	if r.route != nil {
		refusal.Left, refusal.Begun = max(r.deadline.Sub(now), 0), r.programStarted()
		refusal.Urgency = r.priority()
	}
	if refusal.Cause.DependsOnStore() && !n.store.reached(now) {
		refusal.Lasted = max(refusal.Lasted, now.Sub(n.store.lastAnswer()))
	}
	r.retryAfter = n.chooseRetryAfter(&refusal)
	r.cause = refusal.Cause.String()
	n.metrics.refused(r.cause, r.retryAfter)
	r.fail(fasthttp.StatusServiceUnavailable, reason, r.retryAfter)
}

// chooseRetryAfter returns the delay after which the caller of a refused request should
// retry.
func (n *Node) chooseRetryAfter(refusal *dispatch.Refusal) time.Duration {
	if !n.settings.uses(SpreadRetries) {
		return refusal.RetryAfter()
	}
	refusal.Draw = n.draw()
	return n.refusals.observeRefusal(time.Now(), refusal)
}

// programStarted reports whether the request's program is known to have started.
func (r *requestState) programStarted() bool {
	return r.previous != "" || r.admission.Verdict != "" && !r.admission.NewProgram
}
