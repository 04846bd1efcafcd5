package tenant

import "time"

// The need of a route's programs is estimated from those that have ended. The initial
// values are averages over programs of all kinds.
const (
	initialRequests = 8.0
	initialSpan     = 2 * time.Second
	// initialWeight is how many programs the initial values count as, and maxEnds how many
	// programs the mean covers.
	initialWeight = 3.0
	maxEnds       = 50.0
	// minRemainingFraction is the fraction of the mean that a program is still expected to
	// need once it has used up the mean.
	minRemainingFraction = 0.25
	// spanWeight is the weight of a new program in the mean span.
	spanWeight = 0.1
	// minSpan and maxSpan bound the span of one program, so that a few unusual programs do
	// not block a tenant.
	minSpan = 500 * time.Millisecond
	maxSpan = 4 * time.Second
	// programIdleTime is the time without a new request after which a program counts as
	// ended: the longest turn that its client waits for.
	programIdleTime = 3 * time.Second
	// idleDecayTime is the time without a new request over which the expected remaining
	// requests of a program decay to 0: most programs that continue do so within a turn
	// and a pause.
	idleDecayTime = 2 * time.Second
)

// cost is the average need of the programs of one route: the number of requests divided by
// the number of programs that ended. Programs that are running or were refused before
// their end count with their requests and without an end, so that long programs, which are
// refused more often, raise the average.
type cost struct {
	// requests and ends are sums in which older programs have less and less weight.
	requests, ends float64
	span           time.Duration
}

func newCost() *cost {
	return &cost{requests: initialRequests * initialWeight, ends: initialWeight, span: initialSpan}
}

// recordUse adds a request of a program.
func (c *cost) recordUse() { c.requests++ }

// mean returns how many requests a program needs on average.
func (c *cost) mean() float64 { return c.requests / c.ends }

// observe adds a program that has ended.
func (c *cost) observe(ended *program) {
	if ended.inherited || ended.refused {
		return
	}
	c.ends++
	if c.ends > maxEnds {
		c.requests *= maxEnds / c.ends
		c.ends = maxEnds
	}
	span := min(max(ended.lastAt.Sub(ended.firstAt), minSpan), maxSpan)
	c.span += time.Duration(spanWeight * float64(span-c.span))
}

// remaining returns how many more requests a program is expected to need.
func (c *cost) remaining(now time.Time, known *program) float64 {
	fresh := 1 - float64(now.Sub(known.lastAt))/float64(idleDecayTime)
	mean := c.mean()
	return max(0, fresh) * max(minRemainingFraction*mean, mean-known.requests)
}
