package link

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

var _ = It("Breaker settings name every finding", func() {
	err := BreakerConfig{MaximumOpenTime: -1}.validate()
	for _, field := range []string{"Failures", "OpenTime", "MaximumOpenTime", "Trials", "TrialTimeout"} {
		Expect(err).To(MatchError(ContainSubstring(field)))
	}
})
