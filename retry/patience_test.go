package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An adaptive time-out", func() {
	newTimeout := func() *AdaptiveTimeout {
		return &AdaptiveTimeout{Minimum: 50 * time.Millisecond, Maximum: time.Second, Factor: 6}
	}

	It("is short while answers are fast", func() {
		timeout := newTimeout()
		for range 20 {
			timeout.Observe(7 * time.Millisecond)
		}
		Expect(timeout.Timeout(1)).To(Equal(50 * time.Millisecond))
		Expect(timeout.Timeout(2)).To(Equal(100 * time.Millisecond))
	})

	It("grows up to its maximum when the server becomes slow", func() {
		timeout := newTimeout()
		for range 40 {
			timeout.Observe(100 * time.Millisecond)
		}
		Expect(timeout.Timeout(1)).To(BeNumerically("~", 600*time.Millisecond, 10*time.Millisecond))
		Expect(timeout.Timeout(2)).To(Equal(time.Second))
		Expect(timeout.Timeout(9)).To(Equal(time.Second))
	})
})
