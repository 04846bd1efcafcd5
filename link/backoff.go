package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// BackoffConfig sets up a Backoff.
type BackoffConfig struct {
	// Initial is the longest wait before the first retry.
	Initial time.Duration
	// Maximum bounds the wait before any retry.
	Maximum time.Duration
	// Multiplier is the growth of the wait from one retry to the next.
	Multiplier float64
}

// DefaultBackoffConfig waits up to 100 ms first and up to 10 s later on.
func DefaultBackoffConfig() BackoffConfig {
	return BackoffConfig{Initial: 100 * time.Millisecond, Maximum: 10 * time.Second, Multiplier: 2}
}

func (c BackoffConfig) validate() error {
	var findings []error
	if c.Initial <= 0 {
		findings = append(findings, fmt.Errorf("field Initial: got %v, want more than 0", c.Initial))
	}
	if c.Maximum < c.Initial {
		findings = append(findings, fmt.Errorf("field Maximum: got %v, want at least Initial, %v", c.Maximum, c.Initial))
	}
	if c.Multiplier < 1 {
		findings = append(findings, fmt.Errorf("field Multiplier: got %v, want at least 1", c.Multiplier))
	}
	return errors.Join(findings...)
}

// Backoff computes the wait before each retry: exponential, of which the
// upper half is random. It holds no state, so one value serves any number of
// requests. A library would bring its own clock and random source, which
// decision parts must not use.
type Backoff struct {
	config BackoffConfig
}

// NewBackoff checks the settings.
func NewBackoff(config BackoffConfig) (Backoff, error) {
	if err := config.validate(); err != nil {
		return Backoff{}, fmt.Errorf("backoff settings: %w", err)
	}
	return Backoff{config: config}, nil
}

// Delay returns the wait before the given retry, counted from 1. It lies
// between half of the exponential step and the whole step.
func (b Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	step := b.step(retry)
	half := step / 2
	return half + time.Duration(random.Int64N(int64(step-half)+1))
}

func (b Backoff) step(retry int) time.Duration {
	step := float64(b.config.Initial)
	for range retry - 1 {
		step *= b.config.Multiplier
		if step >= float64(b.config.Maximum) {
			return b.config.Maximum
		}
	}
	return time.Duration(step)
}
