package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
)

// A planned stop has three steps. Until the platform has noticed that the node is not ready, clients
// are accepted. Then the requests under way end, and last the process exits. In all of them a
// request runs only if it is expected to end before the node does.
const (
	// readinessPropagation is how long the platform takes to notice that the node is not
	// ready and to stop sending new connections.
	readinessPropagation = 3 * time.Second
	// maxExitMargin is how long before the kill the process exits at most.
	maxExitMargin = 700 * time.Millisecond
	// exitDivisor is the divisor of the grace that gives the time for exiting, and as much for
	// requests that take longer than expected.
	exitDivisor = 12
)

// errStopping means that the node stops before the request is expected to end.
var errStopping = errors.New("the node stops")

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	// acceptUntil is until when clients are accepted, expectBy by when a request must be expected
	// to end to be run, and endBy when the last ones are cut.
	acceptUntil, expectBy, endBy time.Time
}

// newStopPlan returns the plan of a node that begins to stop.
func newStopPlan(start time.Time, grace time.Duration) *stopPlan {
	margin := min(grace/exitDivisor, maxExitMargin)
	endBy := start.Add(grace - margin)
	expectBy := endBy.Add(-margin)
	return &stopPlan{acceptUntil: minTime(start.Add(readinessPropagation), expectBy), expectBy: expectBy, endBy: endBy}
}

// Stop ends the node: it reports that it is not ready, releases its partitions, closes
// connections as their answers end, and waits for the requests in progress.
func (n *Node) Stop() {
	start := time.Now()
	plan := newStopPlan(start, n.settings.Grace)
	if !n.stop.CompareAndSwap(nil, plan) {
		return
	}
	n.stopping.Store(true)
	n.logger.Info().Int("active", n.clients.Active()).Dur("accepts", plan.acceptUntil.Sub(start)).Dur("expects", plan.expectBy.Sub(start)).Dur("ends", plan.endBy.Sub(start)).Msg("edge: stopping")
	n.control.post(coordinator.Leave{})
	n.clients.Drain()
	wait.Until(n.ctx, plan.acceptUntil)
	ctx, cancel := context.WithDeadline(context.Background(), plan.endBy)
	defer cancel()
	err := n.clients.Shutdown(ctx)
	n.cancel()
	n.logger.Info().Bool("cut", err != nil).Dur("took", time.Since(start)).Msg("edge: stopped")
}

// checkStop returns errStopping if the node stops before the request is expected to end. A request
// that may run once is expected to take as long as nearly all of its route do, and as long as any of
// them has been under way; another one, which its client can repeat or resume elsewhere, as long as
// half of them.
func (n *Node) checkStop(r *requestState) error {
	plan := n.stop.Load()
	if plan == nil || !r.deadline.After(plan.expectBy) {
		return nil
	}
	if time.Now().Add(n.durations.expected(r.route)).After(plan.expectBy) {
		return errStopping
	}
	return nil
}

// requestDurations tracks how long the requests of each route run. It is safe for concurrent use.
type requestDurations struct {
	mutex   sync.Mutex
	tracker *replica.LatencyTracker
	// underWay are the routes of the requests under way, and since when each is.
	underWay map[*requestState]requestBegin
}

// requestBegin is the begin of a request.
type requestBegin struct {
	route string
	at    time.Time
}

func newRequestDurations() requestDurations {
	return requestDurations{tracker: replica.NewLatencyTracker(), underWay: make(map[*requestState]requestBegin)}
}

// begin records that a request of a route is under way.
func (d *requestDurations) begin(r *requestState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.underWay[r] = requestBegin{route: r.route.Name, at: r.handledAt}
}

// end records that a request has ended, and how long it took if it was answered whole.
func (d *requestDurations) end(r *requestState) {
	d.mutex.Lock()
	delete(d.underWay, r)
	d.mutex.Unlock()
	d.observe(r)
}

// longestUnderWay returns how long the oldest request of a route has been under way. The caller
// holds the mutex.
func (d *requestDurations) longestUnderWay(now time.Time, route string) (longest time.Duration) {
	for _, begin := range d.underWay {
		if begin.route == route {
			longest = max(longest, now.Sub(begin.at))
		}
	}
	return longest
}

// observe records a request that was answered whole.
func (d *requestDurations) observe(r *requestState) {
	if r.route == nil || r.status >= fasthttp.StatusInternalServerError || r.reason != "answered" {
		return
	}
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tracker.Observe(now, r.route.Name, now.Sub(r.handledAt))
}

// expected returns how long a request of the route is expected to run.
func (d *requestDurations) expected(route *routing.Route) time.Duration {
	otherwise := route.Timeout / defaultLateDivisor
	if route.Kind != routing.KindStream && route.LatencyObjective > 0 {
		otherwise = route.LatencyObjective
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	nearlyAll := d.tracker.LateAfter(route.Name, otherwise)
	if median := d.tracker.Median(route.Name); route.Repeatable() && median > 0 {
		return median
	}
	return max(nearlyAll, d.longestUnderWay(time.Now(), route.Name))
}

func minTime(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
