package retry

import (
	"birchwood.example/birchwood/findings"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// PerSuccess is how many retries each success adds.
	PerSuccess float64
	// Capacity is the largest number of retries that can accumulate.
	Capacity float64
}

// validate returns all findings about the configuration, joined.
func (c BudgetConfig) validate() error {
	found := findings.Of("retry budget config")
	found.Require(c.PerSuccess >= 0 && c.PerSuccess <= 1, "PerSuccess", "got %v, want 0 to 1", c.PerSuccess)
	findings.AtLeast(found, "Capacity", c.Capacity, 1)
	return found.Err()
}

// Budget is a token bucket that successes fill and retries empty. Over any time span,
// retries <= Capacity + PerSuccess * successes. During an outage there are no successes,
// so the load on the failed service hardly exceeds the load without retries.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a full budget, or all findings about the configuration.
func NewBudget(config BudgetConfig) (*Budget, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Budget{config: config, tokens: config.Capacity}, nil
}

// Success records a request that succeeded.
func (b *Budget) Success() {
	b.tokens = min(b.config.Capacity, b.tokens+b.config.PerSuccess)
}

// Withdraw reports whether a retry may be made, and takes it from the budget if so.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
