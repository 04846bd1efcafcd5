package link

import (
	"time"

	"birchwood.example/birchwood/findings"
)

// BreakerState tells what a Breaker does with requests.
type BreakerState string

// The states of a Breaker.
const (
	// BreakerClosed: requests pass.
	BreakerClosed BreakerState = "closed"
	// BreakerOpen: requests are refused.
	BreakerOpen BreakerState = "open"
	// BreakerHalfOpen: a few requests pass, to try the peer.
	BreakerHalfOpen BreakerState = "half_open"
)

// BreakerConfig sets up a Breaker.
type BreakerConfig struct {
	// Failures is how many failures in a row open the breaker.
	Failures int
	// OpenTime is how long the breaker stays open the first time. It doubles
	// with each trial that fails.
	OpenTime time.Duration
	// MaximumOpenTime bounds the doubling.
	MaximumOpenTime time.Duration
	// Trials is how many requests may be in flight while half open.
	Trials int
	// TrialTimeout is how long a trial may stay without a result before its
	// place is given to another.
	TrialTimeout time.Duration
}

// DefaultBreakerConfig opens after five failures, for half a second at first.
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

// Breaker refuses requests to a peer that keeps failing. Each allowed request
// reports Success or Failure once.
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

// Success notes a request that was answered: the breaker closes.
func (b *Breaker) Success() {
	b.state = BreakerClosed
	b.failures = 0
	b.trials = 0
	b.openTime = b.config.OpenTime
}

// Failure notes a request that failed.
func (b *Breaker) Failure(now time.Time) {
	switch b.state {
	case BreakerOpen:
		// A request from before the breaker opened.
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
