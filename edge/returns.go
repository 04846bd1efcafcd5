package edge

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/dispatch"
)

// returns follows this node's refusals, so that those who are refused together do not
// come back together. It is safe for concurrent use.
type refusals struct {
	mutex sync.Mutex
	state dispatch.RefusalTracker
}

// refuse notes a refusal and returns when the caller is to come back.
func (s *refusals) observeRefusal(now time.Time, refusal *dispatch.Refusal) time.Duration {
	s.mutex.Lock()
	s.state.ObserveRefusal(now, refusal)
	s.mutex.Unlock()
	return refusal.RetryAfter()
}

// served notes that a turn was served.
func (s *refusals) observeServed(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.ObserveServed(now)
}

// pace returns how many turns were served here in the last second.
func (s *refusals) serviceRate(now time.Time) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.ServiceRate(now)
}

// turnAway answers that the request was not run, and when to come back. The caller fills
// in what it knows of the cause; what concerns the request is added here.
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

// comeBackAfter returns when the caller of a refused request is to come back.
func (n *Node) chooseRetryAfter(refusal *dispatch.Refusal) time.Duration {
	if !n.settings.uses(SpreadRetries) {
		return refusal.RetryAfter()
	}
	refusal.Draw = n.draw()
	return n.refusals.observeRefusal(time.Now(), refusal)
}

// begun reports whether the request's program is known to be under way.
func (r *requestState) programStarted() bool {
	return r.previous != "" || r.admission.Verdict != "" && !r.admission.NewProgram
}
