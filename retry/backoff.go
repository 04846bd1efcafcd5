package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces the retries of one request. Each delay is drawn uniformly between half
// of a limit and the whole of it; the limit doubles from Minimum to Maximum.
type Backoff struct {
	// Minimum is the limit of the first delay, and Maximum that of any delay.
	Minimum time.Duration
	Maximum time.Duration
	// Random is the source of the jitter.
	Random *rand.Rand

	retries int
}

// Next returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	b.retries++
	return b.Delay(b.retries)
}

// Reset starts again at Minimum, after a request has succeeded.
func (b *Backoff) Reset() {
	b.retries = 0
}

// Delay returns the delay before the given retry, counted from 1, for callers that count
// retries themselves.
func (b Backoff) Delay(retry int) time.Duration {
	bound := b.bound(retry)
	half := bound / 2
	return half + time.Duration(b.Random.Int64N(int64(bound-half)+1))
}

// bound returns the longest delay before the given retry.
func (b Backoff) bound(retry int) time.Duration {
	bound := b.Minimum
	for step := 1; step < retry && bound < b.Maximum; step++ {
		bound *= 2
	}
	return min(bound, b.Maximum)
}
