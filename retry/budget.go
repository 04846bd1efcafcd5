package retry

import (
	"errors"
	"fmt"
	"time"
)

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// PerSuccess is what each success earns, in retries.
	PerSuccess float64
	// PerSecond is what each second earns, in retries, so that a client with
	// few requests can retry too.
	PerSecond float64
	// Capacity bounds what can be saved up, in retries.
	Capacity float64
}

// DefaultBudgetConfig allows retries for a tenth of what succeeds.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{PerSuccess: 0.1, PerSecond: 0.5, Capacity: 10}
}

func (c BudgetConfig) validate() error {
	var findings []error
	if c.PerSuccess < 0 || c.PerSuccess > 1 {
		findings = append(findings, fmt.Errorf("field PerSuccess: got %v, want 0 to 1", c.PerSuccess))
	}
	if c.PerSecond < 0 {
		findings = append(findings, fmt.Errorf("field PerSecond: got %v, want at least 0", c.PerSecond))
	}
	if c.Capacity < 1 {
		findings = append(findings, fmt.Errorf("field Capacity: got %v, want at least 1", c.Capacity))
	}
	return errors.Join(findings...)
}

// Budget is a token bucket that successes fill and retries empty. Over
// any time span, retries <= Capacity + PerSuccess * successes + PerSecond *
// seconds. During an outage there are no successes, so the load on what has
// failed hardly exceeds the load without retries.
type Budget struct {
	config BudgetConfig
	tokens float64
	filled time.Time
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) (*Budget, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("retry budget settings: %w", err)
	}
	return &Budget{config: config, tokens: config.Capacity}, nil
}

// Success notes a request that succeeded.
func (b *Budget) Success(now time.Time) {
	b.fill(now)
	b.tokens = min(b.config.Capacity, b.tokens+b.config.PerSuccess)
}

// Withdraw reports whether a retry may be made now, and pays for it.
func (b *Budget) Withdraw(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill(now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
	}
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = now
	b.tokens = min(b.config.Capacity, b.tokens+b.config.PerSecond*elapsed.Seconds())
}
