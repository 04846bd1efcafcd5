package tenant

import "time"

// What programs need is learned from those that have ended; until then it is taken
// for this. The figures are those of the users' shifted deployment, over all kinds.
const (
	initialRequests = 8.0
	initialSpan     = 2 * time.Second
	// initialWeight is how many programs that counts for, and mostEnds how many the mean
	// is taken over.
	initialWeight = 3.0
	maxEnds       = 50.0
	// minRemainingFraction is the part of the mean that a program which used all of it is still
	// expected to need.
	minRemainingFraction = 0.25
	// spanWeight is the weight of a new program in the means.
	spanWeight = 0.1
	// minSpan and mostSpan bound the mean, so that a few odd programs do not
	// stop a tenant.
	minSpan = 500 * time.Millisecond
	maxSpan = 4 * time.Second
	// programIdleTime is from when on a program without a new request has ended: the
	// longest turn that its client waits for.
	programIdleTime = 3 * time.Second
	// idleDecayTime is over what time without a new request a program is less and less
	// expected to need any more: most that go on do so within a turn and a pause.
	idleDecayTime = 2 * time.Second
)

// cost is what the programs of one route need on the mean: all requests by all ends. A
// program that is under way or was refused before its end brings requests and no end, so
// that long programs, which are refused more, count as long.
type cost struct {
	// requests and ends are those of late, and less and less those before.
	requests, ends float64
	span           time.Duration
}

func newCost() *cost {
	return &cost{requests: initialRequests * initialWeight, ends: initialWeight, span: initialSpan}
}

// addRequest takes in a request of a program.
func (c *cost) recordUse() { c.requests++ }

// mean is how many requests a program needs.
func (c *cost) mean() float64 { return c.requests / c.ends }

// observe takes in a program that has ended.
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

// remaining is how many requests a program is still expected to need.
func (c *cost) remaining(now time.Time, known *program) float64 {
	fresh := 1 - float64(now.Sub(known.lastAt))/float64(idleDecayTime)
	mean := c.mean()
	return max(0, fresh) * max(minRemainingFraction*mean, mean-known.requests)
}
