package link

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("RetryBudget", func() {
	It("never allows more retries than its bound", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			config := RetryBudgetConfig{
				PerSuccess: rapid.Float64Range(0, 1).Draw(t, "per success"),
				PerSecond:  rapid.Float64Range(0, 5).Draw(t, "per second"),
				Capacity:   rapid.Float64Range(1, 20).Draw(t, "capacity"),
			}
			budget, err := NewRetryBudget(config)
			if err != nil {
				t.Fatal(err)
			}
			now := start
			retries, successes := 0, 0
			t.Repeat(map[string]func(*rapid.T){
				"success": func(*rapid.T) { budget.Success(now); successes++ },
				"retry": func(*rapid.T) {
					if budget.Withdraw(now) {
						retries++
					}
				},
				"wait": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"": func(t *rapid.T) {
					bound := config.Capacity + config.PerSuccess*float64(successes) + config.PerSecond*now.Sub(start).Seconds()
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

// outageAmplification returns the requests that reach a service which fails
// all of them, for each request of a caller, over a minute of 100 requests a
// second with up to three retries each.
func outageAmplification(budgeted bool) float64 {
	const (
		rate         = 100
		seconds      = 60
		retriesAtMax = 3
	)
	budget, err := NewRetryBudget(DefaultRetryBudgetConfig())
	Expect(err).NotTo(HaveOccurred())
	sent := 0
	for i := range rate * seconds {
		now := start.Add(time.Duration(i) * time.Second / rate)
		sent++
		for range retriesAtMax {
			if budgeted && !budget.Withdraw(now) {
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
			config := BackoffConfig{
				Initial:    time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "initial")),
				Maximum:    time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "maximum")),
				Multiplier: rapid.Float64Range(1, 10).Draw(t, "multiplier"),
			}
			backoff, err := NewBackoff(config)
			if err != nil {
				t.Fatal(err)
			}
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			retry := rapid.IntRange(1, 1000).Draw(t, "retry")
			delay, step := backoff.Delay(retry, random), backoff.step(retry)
			if delay < step/2 || delay > step || step > config.Maximum || step < config.Initial {
				t.Fatalf("delay %v, step %v", delay, step)
			}
		})
	})

	It("spreads clients that failed together", func() {
		backoff, err := NewBackoff(DefaultBackoffConfig())
		Expect(err).NotTo(HaveOccurred())
		random := rand.New(rand.NewPCG(1, 1))
		delays := make(map[time.Duration]bool)
		for range 100 {
			delays[backoff.Delay(3, random)] = true
		}
		Expect(len(delays)).To(BeNumerically(">", 95))
	})
})

var _ = Describe("Breaker", func() {
	var (
		breaker *Breaker
		config  = BreakerConfig{
			Failures: 3, OpenTime: time.Second, MaximumOpenTime: 3 * time.Second, Trials: 1, TrialTimeout: 5 * time.Second,
		}
	)
	BeforeEach(func() {
		var err error
		breaker, err = NewBreaker(config)
		Expect(err).NotTo(HaveOccurred())
		for range config.Failures {
			Expect(breaker.Allow(start)).To(BeTrue())
			breaker.Failure(start)
		}
	})

	It("refuses while open, and lets one trial pass when half open", func() {
		Expect(breaker.Allow(start.Add(999 * time.Millisecond))).To(BeFalse())
		half := start.Add(time.Second)
		Expect(breaker.State(half)).To(Equal(BreakerHalfOpen))
		Expect(breaker.Allow(half)).To(BeTrue())
		Expect(breaker.Allow(half)).To(BeFalse())
		breaker.Success()
		Expect(breaker.State(half)).To(Equal(BreakerClosed))
	})

	It("doubles its time with each failed trial, up to the maximum", func() {
		now := start.Add(time.Second)
		for _, open := range []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second} {
			Expect(breaker.Allow(now)).To(BeTrue())
			breaker.Failure(now)
			Expect(breaker.Allow(now.Add(open - 1))).To(BeFalse())
			now = now.Add(open)
		}
	})

	It("gives the place of a trial without result to another", func() {
		now := start.Add(time.Second)
		Expect(breaker.Allow(now)).To(BeTrue())
		Expect(breaker.Allow(now.Add(4 * time.Second))).To(BeFalse())
		Expect(breaker.Allow(now.Add(5 * time.Second))).To(BeTrue())
	})

	It("counts only failures in a row", func() {
		fresh, err := NewBreaker(config)
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			fresh.Failure(start)
			fresh.Failure(start)
			fresh.Success()
		}
		Expect(fresh.State(start)).To(Equal(BreakerClosed))
	})
})

var _ = Describe("Limiter", func() {
	It("holds its bounds and order, and never starts a late or withdrawn request", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			checkLimiter(t)
		})
	})
})

// limiterOracle is a plain list of what must happen next.
type limiterOracle struct {
	running   int
	waiting   []int
	deadlines map[int]time.Time
}

func checkLimiter(t *rapid.T) {
	config := LimiterConfig{InFlight: rapid.IntRange(1, 3).Draw(t, "in flight"), Queue: rapid.IntRange(0, 3).Draw(t, "queue")}
	limiter, err := NewLimiter[int](config)
	if err != nil {
		t.Fatal(err)
	}
	oracle := limiterOracle{deadlines: make(map[int]time.Time)}
	now, next := start, 0
	t.Repeat(map[string]func(*rapid.T){
		"admit": func(t *rapid.T) {
			next++
			oracle.deadlines[next] = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
			got := limiter.Admit(next, oracle.deadlines[next])
			if want := oracle.admit(config, next); got != want {
				t.Fatalf("admit: got %s, want %s", got, want)
			}
		},
		"finish": func(t *rapid.T) {
			if oracle.running == 0 {
				t.Skip("nothing runs")
			}
			started, _ := limiter.Finish(now)
			oracle.running--
			for _, request := range started {
				if want := oracle.start(now); request != want {
					t.Fatalf("started %d, want %d", request, want)
				}
			}
			if want := min(config.InFlight, oracle.running+oracle.live(now)); oracle.running != want {
				t.Fatalf("%d run, want %d", oracle.running, want)
			}
		},
		"withdraw": func(t *rapid.T) {
			limiter.Expire(now)
			oracle.expire(now)
			if len(oracle.waiting) == 0 {
				t.Skip("nothing waits")
			}
			place := rapid.IntRange(0, len(oracle.waiting)-1).Draw(t, "place")
			if !limiter.Withdraw(oracle.waiting[place]) || limiter.Withdraw(oracle.waiting[place]) {
				t.Fatal("a waiting request is withdrawn exactly once")
			}
			oracle.waiting = append(oracle.waiting[:place:place], oracle.waiting[place+1:]...)
		},
		"wait": func(*rapid.T) { now = now.Add(time.Second) },
		"": func(t *rapid.T) {
			if limiter.Running() != oracle.running || limiter.Running() > config.InFlight || limiter.Waiting() > config.Queue {
				t.Fatalf("%d run and %d wait, want %d and at most %d", limiter.Running(), limiter.Waiting(), oracle.running, config.Queue)
			}
		},
	})
}

func (o *limiterOracle) admit(config LimiterConfig, request int) Admission {
	switch {
	case o.running < config.InFlight:
		o.running++
		return AdmissionStart
	case len(o.waiting) < config.Queue:
		o.waiting = append(o.waiting, request)
		return AdmissionWait
	}
	return AdmissionRefuse
}

// start returns the first waiting request that is not late.
func (o *limiterOracle) start(now time.Time) int {
	o.expire(now)
	if len(o.waiting) == 0 {
		return 0
	}
	first := o.waiting[0]
	o.waiting = o.waiting[1:]
	o.running++
	return first
}

func (o *limiterOracle) expire(now time.Time) {
	var kept []int
	for _, request := range o.waiting {
		if now.Before(o.deadlines[request]) {
			kept = append(kept, request)
		}
	}
	o.waiting = kept
}

func (o *limiterOracle) live(now time.Time) int {
	o.expire(now)
	return len(o.waiting)
}

var _ = Describe("Headers", func() {
	It("carry the time that is left, and never one that has passed", func() {
		text, ok := FormatDeadline(start, start.Add(1500*time.Millisecond))
		Expect(ok).To(BeTrue())
		Expect(ParseDeadline(start.Add(time.Hour), text)).To(Equal(start.Add(time.Hour + 1500*time.Millisecond)))
		_, ok = FormatDeadline(start, start)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("refuse a deadline that is", func(text string) {
		_, err := ParseDeadline(start, text)
		Expect(err).To(MatchError(ContainSubstring(HeaderDeadline)))
	},
		Entry("missing", ""), Entry("zero", "0"), Entry("negative", "-1"),
		Entry("not a number", "1s"), Entry("beyond the maximum", "86400001"))

	It("end the forwarding of a request after its hops", func() {
		limit, hops := InitialHopLimit, 0
		for {
			next, ok := limit.Forward()
			if !ok {
				break
			}
			parsed, err := ParseHopLimit(next.String())
			Expect(err).NotTo(HaveOccurred())
			limit, hops = parsed, hops+1
		}
		Expect(hops).To(Equal(int(InitialHopLimit)))
		_, err := ParseHopLimit("99")
		Expect(err).To(HaveOccurred())
	})
})

var _ = DescribeTable("Settings name every finding", func(validate func() error, fields ...string) {
	err := validate()
	for _, field := range fields {
		Expect(err).To(MatchError(ContainSubstring(field)))
	}
},
	Entry("retry budget", RetryBudgetConfig{PerSuccess: -1, PerSecond: -1}.validate, "PerSuccess", "PerSecond", "Capacity"),
	Entry("backoff", BackoffConfig{Maximum: -1}.validate, "Initial", "Maximum", "Multiplier"),
	Entry("breaker", BreakerConfig{MaximumOpenTime: -1}.validate, "Failures", "OpenTime", "MaximumOpenTime", "Trials", "TrialTimeout"),
	Entry("limiter", LimiterConfig{Queue: -1}.validate, "InFlight", "Queue"),
)
