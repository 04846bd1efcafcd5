package retry

import "time"

// Patience bounds how long one try of a repeatable call may take, from how long
// calls took that were answered: a try whose answer is lost is repeated soon,
// and a server that has become slow is given more time with each try.
type Patience struct {
	// Minimum and Maximum bound the time of one try.
	Minimum time.Duration
	Maximum time.Duration
	// Factor is how many times the usual time the first try gets.
	Factor float64

	average time.Duration
}

// newestWeight is the weight of the newest answer in the usual time.
const newestWeight = 0.2

// Observe takes in how long an answered call took.
func (t *Patience) Observe(took time.Duration) {
	if t.average == 0 {
		t.average = took
		return
	}
	t.average += time.Duration(newestWeight * float64(took-t.average))
}

// Timeout returns the time of the given try, counted from 1. It doubles with
// each try.
func (t *Patience) Timeout(try int) time.Duration {
	timeout := min(max(time.Duration(t.Factor*float64(t.average)), t.Minimum), t.Maximum)
	for step := 1; step < try && timeout < t.Maximum; step++ {
		timeout *= 2
	}
	return min(timeout, t.Maximum)
}
