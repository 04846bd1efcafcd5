package link

import (
	"time"

	"birchwood.example/birchwood/findings"
)

// BreakerState is the state of a Breaker.
type BreakerState string

// The states of a Breaker.
const (
	// BreakerClosed allows all requests.
	BreakerClosed BreakerState = "closed"
	// BreakerOpen refuses all requests.
	BreakerOpen BreakerState = "open"
	// BreakerHalfOpen allows a few trial requests.
	BreakerHalfOpen BreakerState = "half_open"
)

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// Failures is the number of consecutive failures that open the breaker.
	Failures int
	// OpenTime is how long the breaker stays open at first. The time doubles
	// with each failed trial.
	OpenTime time.Duration
	// MaximumOpenTime bounds the doubled open time.
	MaximumOpenTime time.Duration
	// Trials is the number of requests that may be in flight while half open.
	Trials int
	// TrialTimeout is how long a trial may go without a result before another
	// trial may take its place.
	TrialTimeout time.Duration
}

// DefaultBreakerConfig returns a configuration that opens after five consecutive
// failures, for half a second at first.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{
		Failures:        5,
		OpenTime:        500 * time.Millisecond,
		MaximumOpenTime: 4 * time.Second,
		Trials:          1,
		TrialTimeout:    5 * time.Second,
	}
}

func (c BreakerConfig) validate() error {
	found := findings.Of("breaker config")
	findings.AtLeast(found, "Failures", c.Failures, 1)
	findings.Positive(found, "OpenTime", c.OpenTime)
	findings.AtLeast(found, "MaximumOpenTime", c.MaximumOpenTime, c.OpenTime)
	findings.AtLeast(found, "Trials", c.Trials, 1)
	findings.Positive(found, "TrialTimeout", c.TrialTimeout)
	return found.Err()
}

// Breaker is a circuit breaker: it refuses requests to a peer that keeps failing.
// The caller must call Success or Failure once for each allowed request.
type Breaker struct {
	config    BreakerConfig
	state     BreakerState
	failures  int
	openTime  time.Duration
	openUntil time.Time
	trials    int
	lastTrial time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) (*Breaker, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Breaker{config: config, state: BreakerClosed, openTime: config.OpenTime}, nil
}

// Allow reports whether a request may be sent now.
func (b *Breaker) Allow(now time.Time) bool {
	switch b.State(now) {
	case BreakerClosed:
		return true
	case BreakerOpen:
		return false
	}
	b.state = BreakerHalfOpen
	if b.trials > 0 && now.Sub(b.lastTrial) >= b.config.TrialTimeout {
		b.trials = 0
	}
	if b.trials >= b.config.Trials {
		return false
	}
	b.trials++
	b.lastTrial = now
	return true
}

// State returns the state at now.
func (b *Breaker) State(now time.Time) BreakerState {
	if b.state == BreakerOpen && !now.Before(b.openUntil) {
		return BreakerHalfOpen
	}
	return b.state
}

// Success records an answered request and closes the breaker.
func (b *Breaker) Success() {
	b.state = BreakerClosed
	b.failures = 0
	b.trials = 0
	b.openTime = b.config.OpenTime
}

// Failure records a failed request.
func (b *Breaker) Failure(now time.Time) {
	switch b.state {
	case BreakerOpen:
		// The request was sent before the breaker opened.
		return
	case BreakerHalfOpen:
		b.openTime = min(2*b.openTime, b.config.MaximumOpenTime)
	default:
		b.failures++
		if b.failures < b.config.Failures {
			return
		}
	}
	b.state = BreakerOpen
	b.failures = 0
	b.trials = 0
	b.openUntil = now.Add(b.openTime)
}
