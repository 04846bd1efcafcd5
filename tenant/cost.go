package tenant

import "time"

// What programs need is learned from those that have ended; until then it is taken
// for this. The figures are those of the users' shifted deployment, over all kinds.
const (
	firstRequests = 8.0
	firstSpan     = 2 * time.Second
	// firstWeight is how many programs that counts for, and mostEnds how many the mean
	// is taken over.
	firstWeight = 3.0
	mostEnds    = 50.0
	// leastRest is the part of the mean that a program which used all of it is still
	// expected to need.
	leastRest = 0.25
	// costWeight is the weight of a new program in the means.
	costWeight = 0.1
	// leastSpan and mostSpan bound the mean, so that a few odd programs do not
	// stop a tenant.
	leastSpan = 500 * time.Millisecond
	mostSpan  = 4 * time.Second
	// programIdle is from when on a program without a new request has ended: the
	// longest turn that its client waits for.
	programIdle = 3 * time.Second
	// restIdle is over what time without a new request a program is less and less
	// expected to need any more: most that go on do so within a turn and a pause.
	restIdle = 2 * time.Second
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
	return &cost{requests: firstRequests * firstWeight, ends: firstWeight, span: firstSpan}
}

// use takes in a request of a program.
func (c *cost) use() { c.requests++ }

// mean is how many requests a program needs.
func (c *cost) mean() float64 { return c.requests / c.ends }

// observe takes in a program that has ended.
func (c *cost) observe(ended *program) {
	if ended.joined || ended.refused {
		return
	}
	c.ends++
	if c.ends > mostEnds {
		c.requests *= mostEnds / c.ends
		c.ends = mostEnds
	}
	span := min(max(ended.last.Sub(ended.first), leastSpan), mostSpan)
	c.span += time.Duration(costWeight * float64(span-c.span))
}

// rest is how many requests a program is still expected to need.
func (c *cost) rest(now time.Time, known *program) float64 {
	fresh := 1 - float64(now.Sub(known.last))/float64(restIdle)
	mean := c.mean()
	return max(0, fresh) * max(leastRest*mean, mean-known.used)
}
