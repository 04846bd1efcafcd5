package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces the retries of one request. Each wait is drawn between half
// and the whole of a bound that doubles from Minimum to Maximum.
type Backoff struct {
	// Minimum is the bound of the first wait, and Maximum that of every wait.
	Minimum time.Duration
	Maximum time.Duration
	// Random draws the jitter.
	Random *rand.Rand

	retries int
}

// Next returns the wait before the next retry.
func (b *Backoff) Next() time.Duration {
	b.retries++
	return b.Delay(b.retries)
}

// Reset starts again at Minimum, after a request that succeeded.
func (b *Backoff) Reset() {
	b.retries = 0
}

// Delay returns the wait before the given retry, counted from 1, for callers
// that count the retries themselves.
func (b Backoff) Delay(retry int) time.Duration {
	bound := b.bound(retry)
	half := bound / 2
	return half + time.Duration(b.Random.Int64N(int64(bound-half)+1))
}

// bound returns the longest wait before the given retry.
func (b Backoff) bound(retry int) time.Duration {
	bound := b.Minimum
	for step := 1; step < retry && bound < b.Maximum; step++ {
		bound *= 2
	}
	return min(bound, b.Maximum)
}
