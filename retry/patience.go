package retry

import "time"

// AdaptiveTimeout sets the time-out of each try of a repeatable call from how long
// answered calls took. A try whose answer is lost is repeated soon, and a server that has
// become slow gets more time with each try.
type AdaptiveTimeout struct {
	// Minimum and Maximum limit the time-out of one try.
	Minimum time.Duration
	Maximum time.Duration
	// Factor multiplies the average duration of a call to give the time-out of the first
	// try.
	Factor float64

	average time.Duration
}

// newestWeight is the weight of the newest observation in the moving average.
const newestWeight = 0.2

// Observe records how long an answered call took.
func (t *AdaptiveTimeout) Observe(took time.Duration) {
	if t.average == 0 {
		t.average = took
		return
	}
	t.average += time.Duration(newestWeight * float64(took-t.average))
}

// Timeout returns the time-out of the given try, counted from 1. It doubles with each
// try, up to Maximum.
func (t *AdaptiveTimeout) Timeout(try int) time.Duration {
	timeout := min(max(time.Duration(t.Factor*float64(t.average)), t.Minimum), t.Maximum)
	for step := 1; step < try && timeout < t.Maximum; step++ {
		timeout *= 2
	}
	return min(timeout, t.Maximum)
}
