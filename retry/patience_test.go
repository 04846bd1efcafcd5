package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Patience", func() {
	newTimeout := func() *Patience {
		return &Patience{Minimum: 50 * time.Millisecond, Maximum: time.Second, Factor: 6}
	}

	It("repeats a call soon while answers come fast", func() {
		timeout := newTimeout()
		for range 20 {
			timeout.Observe(7 * time.Millisecond)
		}
		Expect(timeout.Timeout(1)).To(Equal(50 * time.Millisecond))
		Expect(timeout.Timeout(2)).To(Equal(100 * time.Millisecond))
	})

	It("gives a server that has become slow more time, within its bound", func() {
		timeout := newTimeout()
		for range 40 {
			timeout.Observe(100 * time.Millisecond)
		}
		Expect(timeout.Timeout(1)).To(BeNumerically("~", 600*time.Millisecond, 10*time.Millisecond))
		Expect(timeout.Timeout(2)).To(Equal(time.Second))
		Expect(timeout.Timeout(9)).To(Equal(time.Second))
	})
})
