package edge

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/retry"
	"birchwood.example/birchwood/routing"
)

// callStats holds the latency estimates of calls and the budget that bounds how many of
// them are sent again. It is safe for concurrent use.
type callStats struct {
	mutex     sync.Mutex
	latencies *replica.LatencyTracker
	budget    *retry.Budget
}

// The budget of repeats: late calls may be repeated in proportion to the answered ones.
const (
	repeatsPerAnswer = 0.1
	repeatCapacity   = 10
)

// defaultLateDivisor is the divisor of a route's timeout that gives the time after which a
// call is late, as long as there are no latency estimates and the operator has set no
// objective.
const defaultLateDivisor = 4

// errAllRefused means that the maximum number of replicas refused a request.
var errAllRefused = errors.New("every replica refused the request")

// errSuperseded means that another attempt of the same request was answered first.
var errSuperseded = errors.New("another attempt was answered first")

func newCallStats() (*callStats, error) {
	budget, err := retry.NewBudget(retry.BudgetConfig{PerSuccess: repeatsPerAnswer, Capacity: repeatCapacity})
	if err != nil {
		return nil, err
	}
	return &callStats{latencies: replica.NewLatencyTracker(), budget: budget}, nil
}

// observeAnswer records the duration of an answered call.
func (c *callStats) observeAnswer(route *routing.Route, took time.Duration, status int) {
	if status >= fasthttp.StatusInternalServerError {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.budget.Success()
	if route.Repeatable() {
		c.latencies.Observe(time.Now(), route.Name, took)
	}
}

// mayRepeat takes one repeat from the budget, and reports whether there was one left.
func (c *callStats) mayRepeat() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budget.Withdraw()
}

// typicalDuration returns the median duration of the route's calls, or 0 if unknown.
func (c *callStats) typicalDuration(route *routing.Route) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.latencies.Median(route.Name)
}

// lateAfter returns how long after its start a call of the route is late.
func (n *Node) lateAfter(route *routing.Route) time.Duration {
	otherwise := route.LatencyObjective
	if otherwise <= 0 {
		otherwise = route.Timeout / defaultLateDivisor
	}
	n.callStats.mutex.Lock()
	defer n.callStats.mutex.Unlock()
	return n.callStats.latencies.LateAfter(route.Name, otherwise)
}
