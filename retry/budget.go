package retry

import (
	"birchwood.example/birchwood/findings"
)

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// PerSuccess is what each success earns, in retries.
	PerSuccess float64
	// Capacity bounds what can be saved up, in retries.
	Capacity float64
}

// validate returns every finding about the config, joined.
func (c BudgetConfig) validate() error {
	found := findings.Of("retry budget config")
	found.Require(c.PerSuccess >= 0 && c.PerSuccess <= 1, "PerSuccess", "got %v, want 0 to 1", c.PerSuccess)
	findings.AtLeast(found, "Capacity", c.Capacity, 1)
	return found.Err()
}

// Budget is a token bucket that successes fill and retries empty. Over any
// time span, retries <= Capacity + PerSuccess * successes. During an outage
// there are no successes, so the load on what has failed hardly exceeds the
// load without retries.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a full budget, or every finding about the config.
func NewBudget(config BudgetConfig) (*Budget, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Budget{config: config, tokens: config.Capacity}, nil
}

// Success notes a request that succeeded.
func (b *Budget) Success() {
	b.tokens = min(b.config.Capacity, b.tokens+b.config.PerSuccess)
}

// Withdraw reports whether a retry may be made, and pays for it.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
