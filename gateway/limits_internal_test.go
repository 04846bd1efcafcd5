package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
)

var _ = Describe("The limits of a caller", func() {
	var config Config
	start := time.Unix(1000, 0)

	BeforeEach(func() {
		config = DefaultConfig()
		config.CallerRate = 20
		config.CallerBurst = 2
	})

	It("refuse above the rate with the time after which they accept, and not sooner", func() {
		limits := newLimits(config)
		for range config.CallerBurst {
			_, refusal := limits.acquire(tokenHash{1}, start)
			Expect(refusal).To(BeNil())
		}
		_, refusal := limits.acquire(tokenHash{1}, start)
		Expect(refusal.Code).To(Equal(api.CodeLimitReached))
		Expect(refusal.Retry).To(BeTrue())
		wait := time.Duration(refusal.RetryAfterMilliseconds) * time.Millisecond
		_, refusal = limits.acquire(tokenHash{2}, start)
		Expect(refusal).To(BeNil(), "another caller has a rate of its own")
		_, refusal = limits.acquire(tokenHash{1}, start.Add(wait-2*time.Millisecond))
		Expect(refusal).NotTo(BeNil())
		_, refusal = limits.acquire(tokenHash{1}, start.Add(wait))
		Expect(refusal).To(BeNil())
	})

	It("forget idle callers, so that their number stays bounded", func() {
		limits := newLimits(config)
		for i := range removeIdleThreshold {
			release, refusal := limits.acquire(tokenHash{byte(i), byte(i >> 8)}, start)
			Expect(refusal).To(BeNil())
			release()
			limits.callers[tokenHash{byte(i), byte(i >> 8)}].lastActive = start
		}
		_, _ = limits.acquire(tokenHash{9, 9, 9}, start.Add(2*idleCallerTTL))
		Expect(limits.callers).To(HaveLen(1))
	})
})
