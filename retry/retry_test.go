package retry

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Budget", func() {
	It("never allows more retries than its bound", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			config := BudgetConfig{
				PerSuccess: rapid.Float64Range(0, 1).Draw(t, "per success"),
				Capacity:   rapid.Float64Range(1, 20).Draw(t, "capacity"),
			}
			budget, err := NewBudget(config)
			if err != nil {
				t.Fatal(err)
			}
			retries, successes := 0, 0
			t.Repeat(map[string]func(*rapid.T){
				"success": func(*rapid.T) { budget.Success(); successes++ },
				"retry": func(*rapid.T) {
					if budget.Withdraw() {
						retries++
					}
				},
				"": func(t *rapid.T) {
					bound := config.Capacity + config.PerSuccess*float64(successes)
					if float64(retries) > bound+1e-6 {
						t.Fatalf("%d retries, bound %v", retries, bound)
					}
				},
			})
		})
	})

	It("keeps an outage's load near the load without retries", func() {
		Expect(outageAmplification(true)).To(BeNumerically("<", 1.05))
		Expect(outageAmplification(false)).To(BeNumerically(">", 3))
	})
})

// outageAmplification returns the number of requests sent to a service that fails all of
// them, for each request of a caller: 100 requests per second for a minute, with up to
// three retries each.
func outageAmplification(budgeted bool) float64 {
	const (
		rate         = 100
		seconds      = 60
		retriesAtMax = 3
	)
	budget, err := NewBudget(BudgetConfig{PerSuccess: 0.1, Capacity: 10})
	Expect(err).NotTo(HaveOccurred())
	sent := 0
	for range rate * seconds {
		sent++
		for range retriesAtMax {
			if budgeted && !budget.Withdraw() {
				break
			}
			sent++
		}
	}
	return float64(sent) / (rate * seconds)
}

var _ = Describe("Backoff", func() {
	It("stays between half a step and the step, and below the maximum", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			backoff := Backoff{
				Minimum: time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "minimum")),
				Maximum: time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "maximum")),
				Random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			}
			step := backoff.Minimum
			for range rapid.IntRange(1, 1000).Draw(t, "retries") {
				if delay := backoff.Next(); delay < step/2 || delay > step {
					t.Fatalf("delay %v, step %v", delay, step)
				}
				step = min(2*step, backoff.Maximum)
			}
			backoff.Reset()
			if delay := backoff.Next(); delay > backoff.Minimum {
				t.Fatalf("delay %v after a reset, want at most %v", delay, backoff.Minimum)
			}
		})
	})

	It("spreads clients that failed together", func() {
		backoff := Backoff{Minimum: 100 * time.Millisecond, Maximum: 10 * time.Second, Random: rand.New(rand.NewPCG(1, 1))}
		delays := make(map[time.Duration]bool)
		for range 100 {
			delays[backoff.Delay(3)] = true
		}
		Expect(len(delays)).To(BeNumerically(">", 95))
	})
})

var _ = It("Budget settings name every finding", func() {
	err := BudgetConfig{PerSuccess: -1}.validate()
	for _, field := range []string{"PerSuccess", "Capacity"} {
		Expect(err).To(MatchError(ContainSubstring(field)))
	}
})
