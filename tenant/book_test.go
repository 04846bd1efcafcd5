package tenant_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/tenant"
)

var begun = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// limit lets 100 requests pass in a window of five seconds.
var limit = tenant.Limit{Rate: 16, Burst: 20}

const windowLimit = 100

// establishedLimiter returns a Limiter whose node has been the only counting node for
// longer than a window.
func establishedLimiter() *tenant.Limiter {
	return tenant.NewLimiter(begun.Add(-time.Minute), tenant.DefaultConfig())
}

func request(id string) tenant.Request {
	return tenant.Request{ID: id, Limit: limit, Version: 1}
}

func turn(id, program string) tenant.Request {
	asked := request(id)
	asked.Program, asked.Route = program, "route"
	return asked
}

// busiestWindow returns the largest number of events in any window.
func busiestWindow(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for index, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

// saturate sends a request every millisecond for a time, and returns when requests were
// granted.
func saturate(limiter *tenant.Limiter, from time.Time, span time.Duration, ask func(index int) tenant.Request) (granted []time.Time) {
	for index := range int(span / time.Millisecond) {
		now := from.Add(time.Duration(index) * time.Millisecond)
		if limiter.Take(now, "t", ask(index)).Granted {
			granted = append(granted, now)
		}
	}
	return granted
}

func plain(index int) tenant.Request { return request(fmt.Sprint(index)) }

var _ = Describe("An account", func() {
	It("grants the limit in any window, and no more", func() {
		granted := saturate(establishedLimiter(), begun, 30*time.Second, plain)
		Expect(busiestWindow(granted, 5*time.Second)).To(Equal(windowLimit))
		Expect(len(granted)).To(BeNumerically(">=", 6*windowLimit-windowLimit/20))
	})

	It("refuses next to nothing of a steady load below the limit", func() {
		limiter := establishedLimiter()
		random := rand.New(rand.NewPCG(1, 2))
		asked, refused := 0, 0
		for index := range 60_000 {
			if random.Float64() >= 0.010 {
				continue
			}
			asked++
			if !limiter.Take(begun.Add(time.Duration(index)*time.Millisecond), "t", plain(index)).Granted {
				refused++
			}
		}
		Expect(asked).To(BeNumerically(">", 500))
		Expect(refused * 200).To(BeNumerically("<", asked))
	})

	It("counts a repeated request once, and refunds it if it did not run", func() {
		limiter := establishedLimiter()
		first := limiter.Take(begun, "t", request("a"))
		again := limiter.Take(begun, "t", request("a"))
		Expect(again).To(Equal(first))
		Expect(limiter.Take(begun, "t", request("b")).Balance).To(Equal(first.Balance - 1))
		limiter.Refund("t", request("a"))
		limiter.Refund("t", request("a"))
		limiter.Refund("t", request("never"))
		Expect(limiter.Take(begun, "t", request("c")).Balance).To(Equal(first.Balance - 1))
	})

	It("returns a retry delay, and grants a retry after it", func() {
		limiter := establishedLimiter()
		now := begun.Add(time.Second)
		saturate(limiter, begun, time.Second, plain)
		limiter.Take(now, "t", request("one more"))
		refused := limiter.Take(now, "t", request("later"))
		Expect(refused.Granted).To(BeFalse())
		Expect(refused.RetryAfter).To(And(BeNumerically(">=", 50*time.Millisecond), BeNumerically("<=", 5*time.Second)))
		Expect(limiter.Take(now.Add(refused.RetryAfter), "t", request("later")).Granted).To(BeTrue())
	})

	It("follows a newer limit, lower or higher, and no older one", func() {
		limiter := establishedLimiter()
		saturate(limiter, begun, 10*time.Second, plain)
		at := func(version uint64, rate float64) func(int) tenant.Request {
			return func(index int) tenant.Request {
				asked := request(fmt.Sprint(version, "/", index))
				asked.Version, asked.Limit = version, tenant.Limit{Rate: rate}
				return asked
			}
		}
		low := saturate(limiter, begun.Add(10*time.Second), 15*time.Second, at(2, 2))
		Expect(busiestWindow(low[len(low)/2:], 5*time.Second)).To(BeNumerically("<=", 10))
		Expect(busiestWindow(saturate(limiter, begun.Add(25*time.Second), 10*time.Second, at(1, 1000)), 5*time.Second)).To(BeNumerically("<=", 10))
		high := saturate(limiter, begun.Add(35*time.Second), 15*time.Second, at(3, 40))
		Expect(busiestWindow(high, 5*time.Second)).To(BeNumerically("~", 200, 10))
	})

	DescribeTable("starts empty after the loss of another counting node, and both stay within the accepted overrun",
		func(limit tenant.Limit) {
			// The first node grants all it can until it is lost, and the second all it can
			// from then on; both count for 0.4 s.
			config := tenant.DefaultConfig()
			accepted := (limit.Rate*config.Window.Seconds()+limit.Burst)*(1+config.Overrun) + config.Slack
			const overlap = 400 * time.Millisecond
			for lostAfter := 500 * time.Millisecond; lostAfter < 10*time.Second; lostAfter += 500 * time.Millisecond {
				first := establishedLimiter()
				lost := begun.Add(lostAfter)
				next := tenant.NewLimiter(begun.Add(-time.Minute), config)
				next.NodeLost(lost.Add(-overlap))
				var granted []time.Time
				for tick := range 15_000 {
					now := begun.Add(time.Duration(tick) * time.Millisecond)
					asked := request(fmt.Sprint(tick))
					asked.Limit = limit
					if now.Before(lost) && first.Take(now, "t", asked).Granted {
						granted = append(granted, now)
					}
					if !now.Before(lost.Add(-overlap)) && next.Take(now, "t", asked).Granted {
						granted = append(granted, now)
					}
				}
				Expect(float64(busiestWindow(granted, 5*time.Second))).To(BeNumerically("<=", accepted), "lost after %v", lostAfter)
			}
		},
		Entry("a small tenant", tenant.Limit{Rate: 3, Burst: 3}),
		Entry("a small burst", tenant.Limit{Rate: 16, Burst: 20}),
		Entry("a large tenant", tenant.Limit{Rate: 430, Burst: 430}),
		Entry("no burst", tenant.Limit{Rate: 100}),
		Entry("a large burst", tenant.Limit{Rate: 20, Burst: 400}),
	)

	It("grants only its share while other nodes may count separately", func() {
		limiter := establishedLimiter()
		limiter.SetShare(0.5)
		Expect(busiestWindow(saturate(limiter, begun, 15*time.Second, plain), 5*time.Second)).To(BeNumerically("<=", windowLimit/2))
	})

	It("drops the tenants that another node counts for", func() {
		limiter := establishedLimiter()
		limiter.Take(begun, "t", request("a"))
		limiter.Take(begun, "u", request("b"))
		limiter.Retain(func(name string) bool { return name == "u" })
		Expect(limiter.Count()).To(Equal(1))
	})
})

// requestsPerProgram is how many requests a simulated program makes, one per 100 ms.
const requestsPerProgram = 10

// simulateOverload starts a program every 100 ms, which is five times what the limit of 20
// requests per second allows, and returns how many programs had all their requests granted
// and how many requests were granted.
func simulateOverload(config tenant.Config) (ended, asked int) {
	limiter := tenant.NewLimiter(begun.Add(-time.Minute), config)
	type run struct{ made, failed int }
	runs := map[int]*run{}
	random := rand.New(rand.NewPCG(3, 4))
	for tick := range 300 {
		now := begun.Add(time.Duration(tick) * 100 * time.Millisecond)
		runs[tick] = &run{}
		first := max(0, tick-requestsPerProgram*2)
		for _, offset := range random.Perm(tick - first + 1) {
			index := first + offset
			one := runs[index]
			if one.made == requestsPerProgram || one.failed > 2 {
				continue
			}
			if limiter.Take(now, "t", turn(fmt.Sprint(index, "/", one.made), fmt.Sprint("p-", index))).Granted {
				one.made++
			} else {
				one.failed++
			}
		}
	}
	for _, one := range runs {
		asked += one.made
		if one.made == requestsPerProgram {
			ended++
		}
	}
	return ended, asked
}

var _ = Describe("A tenant over its limit", func() {
	It("finishes more programs if started ones have precedence", func() {
		config := tenant.DefaultConfig()
		ended, granted := simulateOverload(config)
		config.ArrivalOrder = true
		endedFirstCome, grantedFirstCome := simulateOverload(config)
		Expect(grantedFirstCome).To(BeNumerically("~", granted, 60))
		Expect(ended).To(BeNumerically(">=", 10*endedFirstCome))
		Expect(float64(ended * requestsPerProgram)).To(BeNumerically(">=", 0.6*float64(granted)))
	})

	It("tells refused programs to retry one after the other", func() {
		limiter := establishedLimiter()
		saturate(limiter, begun, 3*time.Second, func(index int) tenant.Request { return turn(fmt.Sprint(index), fmt.Sprint("p-", index%50)) })
		var waits []time.Duration
		for index := range 5 {
			waits = append(waits, limiter.Take(begun.Add(3*time.Second), "t", turn(fmt.Sprint("n", index), fmt.Sprint("new-", index))).RetryAfter)
		}
		for index := 1; index < len(waits); index++ {
			Expect(waits[index]).To(Or(BeNumerically(">", waits[index-1]), BeNumerically("==", 5*time.Second)))
		}
	})
})
