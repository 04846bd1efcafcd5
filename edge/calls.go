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

// calls guards what this node has learnt of the times of calls, and bounds how
// many of them are sent again.
type callStats struct {
	mutex     sync.Mutex
	latencies *replica.LatencyTracker
	budget    *retry.Budget
}

// Calls that are sent beside a late one are bounded by those that were answered.
const (
	repeatsPerAnswer = 0.1
	repeatCapacity   = 10
)

// lateUnknown is the share of a route's time after which a call is late while
// nothing is known of the route's times and the operator names no objective.
const defaultLateDivisor = 4

// errOffered says that a request was offered to as many replicas as it may be.
var errAllRefused = errors.New("every replica refused the request")

// errOvertaken says that another attempt of the same request was answered first.
var errSuperseded = errors.New("another attempt was answered first")

func newCallStats() (*callStats, error) {
	budget, err := retry.NewBudget(retry.BudgetConfig{PerSuccess: repeatsPerAnswer, Capacity: repeatCapacity})
	if err != nil {
		return nil, err
	}
	return &callStats{latencies: replica.NewLatencyTracker(), budget: budget}, nil
}

// answered takes in how long a call took that was answered.
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

// mayRepeat reports whether one more call may be sent beside a late one, and
// counts it.
func (c *callStats) mayRepeat() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budget.Withdraw()
}

// usual returns what a call of the route takes as a rule; 0 where that is not known.
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
