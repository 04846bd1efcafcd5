package gateway

import (
	"context"
	"math/rand/v2"
	"sync"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/retry"
)

// retryBudget is a retry.Budget that all requests share. Only successful
// requests refill it, so that during an outage no more retries are sent than
// the budget holds at its start.
type retryBudget struct {
	mutex  sync.Mutex
	budget *retry.Budget
}

func newRetryBudget(config Config) (*retryBudget, error) {
	budget, err := retry.NewBudget(retry.BudgetConfig{
		PerSuccess: config.RetryRatio,
		Capacity:   float64(config.RetryBurst),
	})
	return &retryBudget{budget: budget}, err
}

// earn adds the retries for one successful request to the budget.
func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Success()
}

// spend takes one retry from the budget and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.Withdraw()
}

// waitRetryDelay waits for the delay between the given attempt and the next
// one. It reports false if the context ended first.
func (g *Gateway) waitRetryDelay(ctx context.Context, attempt int) bool {
	backoff := retry.Backoff{Minimum: g.config.RetryDelay, Maximum: g.config.MaximumRetryDelay, Random: g.random}
	return wait.For(ctx, backoff.Delay(attempt))
}

// lockedSource makes the configured source safe for concurrent use. A
// rand.Rand has no state besides its source.
type lockedSource struct {
	mutex  sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (s *lockedSource) Uint64() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.source.Uint64()
}
