package edge

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/dispatch"
)

// returns follows this node's refusals, so that those who are refused together do not
// come back together. It is safe for concurrent use.
type returns struct {
	mutex sync.Mutex
	state dispatch.RefusalTracker
}

// refuse notes a refusal and returns when the caller is to come back.
func (s *returns) refuse(now time.Time, refusal *dispatch.Refusal) time.Duration {
	s.mutex.Lock()
	s.state.ObserveRefusal(now, refusal)
	s.mutex.Unlock()
	return refusal.RetryAfter()
}

// served notes that a turn was served.
func (s *returns) served(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.ObserveServed(now)
}

// pace returns how many turns were served here in the last second.
func (s *returns) pace(now time.Time) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.ServiceRate(now)
}

// turnAway answers that the request was not run, and when to come back. The caller fills
// in what it knows of the cause; what concerns the request is added here.
func (n *Node) turnAway(r *requestState, refusal dispatch.Refusal, reason string) {
	now := time.Now()
	if r.route != nil {
		refusal.Left, refusal.Begun = max(r.deadline.Sub(now), 0), r.begun()
		refusal.Urgency = r.priority()
	}
	if refusal.Cause.DependsOnStore() && !n.store.reached(now) {
		refusal.Lasted = max(refusal.Lasted, now.Sub(n.store.at()))
	}
	r.comeBack = n.comeBackAfter(&refusal)
	r.cause = refusal.Cause.String()
	n.metrics.turnedAway(r.cause, r.comeBack)
	r.fail(fasthttp.StatusServiceUnavailable, reason, r.comeBack)
}

// comeBackAfter returns when the caller of a refused request is to come back.
func (n *Node) comeBackAfter(refusal *dispatch.Refusal) time.Duration {
	if !n.settings.uses(SpreadReturns) {
		return refusal.RetryAfter()
	}
	refusal.Draw = n.draw()
	return n.returns.refuse(time.Now(), refusal)
}

// begun reports whether the request's program is known to be under way.
func (r *requestState) begun() bool {
	return r.previous != "" || r.admission.Verdict != "" && !r.admission.NewProgram
}
