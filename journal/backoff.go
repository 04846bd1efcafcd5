package journal

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces the repeats of a request. Each wait is drawn between half
// and the whole of a bound that doubles from Minimum to Maximum, so that many
// writers that failed together do not repeat together.
type Backoff struct {
	Minimum time.Duration
	Maximum time.Duration
	Random  *rand.Rand

	bound time.Duration
}

// Next returns the wait before the next repeat.
func (b *Backoff) Next() time.Duration {
	b.bound = min(max(2*b.bound, b.Minimum), b.Maximum)
	half := b.bound / 2
	return half + time.Duration(b.Random.Int64N(int64(b.bound-half)+1))
}

// Reset starts again at Minimum.
func (b *Backoff) Reset() {
	b.bound = 0
}
