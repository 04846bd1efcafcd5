package link

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

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
	Entry("breaker", BreakerConfig{MaximumOpenTime: -1}.validate, "Failures", "OpenTime", "MaximumOpenTime", "Trials", "TrialTimeout"),
	Entry("limiter", LimiterConfig{Queue: -1}.validate, "InFlight", "Queue"),
)
