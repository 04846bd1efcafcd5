package replica_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

var _ = Describe("The lateness of calls", func() {
	const otherwise = 400 * time.Millisecond

	// observe records calls of 1 to 100 ms times the factor, one every 10 ms from begin on.
	observe := func(lateness *replica.LatencyTracker, begin time.Time, route string, count int, factor int) {
		for index := range count {
			now := begin.Add(time.Duration(index) * 10 * time.Millisecond)
			lateness.Observe(now, route, time.Duration(factor*(1+index%100))*time.Millisecond)
		}
	}

	It("returns the fallback while too little is known", func() {
		lateness := replica.NewLatencyTracker()
		Expect(lateness.LateAfter("a", otherwise)).To(Equal(otherwise))
		observe(lateness, start, "a", 10, 1)
		Expect(lateness.LateAfter("a", otherwise)).To(Equal(otherwise))
	})

	It("learns the median of each route", func() {
		lateness := replica.NewLatencyTracker()
		Expect(lateness.Median("a")).To(BeZero())
		observe(lateness, start, "a", 1000, 1)
		Expect(lateness.Median("a")).To(BeNumerically("~", 50*time.Millisecond, 6*time.Millisecond))
	})

	It("learns the tail of each route", func() {
		lateness := replica.NewLatencyTracker()
		observe(lateness, start, "a", 1000, 1)
		observe(lateness, start, "b", 1000, 10)
		Expect(lateness.LateAfter("a", otherwise)).To(BeNumerically("~", 125*time.Millisecond, 15*time.Millisecond))
		Expect(lateness.LateAfter("b", otherwise)).To(BeNumerically("~", 1250*time.Millisecond, 150*time.Millisecond))
	})

	It("follows a service that becomes slower, and forgets the time before", func() {
		lateness := replica.NewLatencyTracker()
		observe(lateness, start, "a", 1000, 10)
		observe(lateness, start.Add(10*time.Second), "a", 4000, 1)
		Expect(lateness.LateAfter("a", otherwise)).To(BeNumerically("~", 125*time.Millisecond, 15*time.Millisecond))
	})

	It("leaves room for pauses of this process", func() {
		lateness := replica.NewLatencyTracker()
		for index := range 100 {
			lateness.Observe(start.Add(time.Duration(index)*time.Millisecond), "a", 100*time.Microsecond)
		}
		Expect(lateness.LateAfter("a", otherwise)).To(Equal(20 * time.Millisecond))
	})

	It("bounds the routes that it knows", func() {
		lateness := replica.NewLatencyTracker()
		observe(lateness, start, "first", 1000, 1)
		for index := range 300 {
			observe(lateness, start.Add(time.Minute+time.Duration(index)*time.Second), fmt.Sprint(index), 50, 1)
		}
		Expect(lateness.LateAfter("first", otherwise)).To(Equal(otherwise))
		Expect(lateness.LateAfter("299", otherwise)).NotTo(Equal(otherwise))
	})
})
