package tenant

import "time"

// What programs need is learned from those that have ended; until then it is taken
// for this. The figures are those of the users' shifted deployment, over all kinds.
const (
	firstRequests = 8.0
	firstSpan     = 2 * time.Second
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

// cost is what the programs of one route need on the mean.
type cost struct {
	requests float64
	span     time.Duration
}

func newCost() *cost { return &cost{requests: firstRequests, span: firstSpan} }

// observe takes in a program that has ended.
func (c *cost) observe(ended *program) {
	if ended.joined || ended.refused {
		return
	}
	c.requests += costWeight * (ended.used - c.requests)
	span := min(max(ended.last.Sub(ended.first), leastSpan), mostSpan)
	c.span += time.Duration(costWeight * float64(span-c.span))
}

// rest is how many requests a program is still expected to need.
func (c *cost) rest(now time.Time, known *program) float64 {
	fresh := 1 - float64(now.Sub(known.last))/float64(restIdle)
	return max(0, fresh) * max(1, c.requests-known.used)
}
