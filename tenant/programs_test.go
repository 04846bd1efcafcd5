package tenant_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/tenant"
)

// simulation simulates the programs of one tenant in virtual time. They consist of turns,
// each followed by concurrent tool calls. A refused turn is retried once, then sent as a
// new request up to twice; a refused call is retried once. A program ends with the first
// request that is given up.
type simulation struct {
	limiter *tenant.Limiter
	limit   tenant.Limit
	random  *rand.Rand
	now     time.Time
	queue   events
	number  int

	asked, ended, inTime, granted, wasted int
}

// slack is how long a program may wait and still finish in time.
const slack = 300 * time.Millisecond

// simulatedProgram is one simulated program.
type simulatedProgram struct {
	name, route string
	turns       int
	calls       int
	used        int
	// waited is the total time that its requests waited after refusals.
	waited time.Duration
	over   bool
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (a *simulation) after(wait time.Duration, do func()) {
	heap.Push(&a.queue, event{at: a.now.Add(wait), do: do})
}

// arrive starts programs at a rate that changes with time, until the given end.
func (a *simulation) arrive(end time.Time, perSecond func(time.Time) float64) {
	wait := time.Duration(a.random.ExpFloat64() / perSecond(a.now) * float64(time.Second))
	a.after(wait, func() {
		if a.now.After(end) {
			return
		}
		a.asked++
		one := &simulatedProgram{name: fmt.Sprint("p", a.asked), route: "short", turns: a.between(2, 4)}
		if a.random.Float64() < 0.47 {
			one.route, one.turns = "long", a.between(4, 10)
		}
		a.turn(one, 0)
		a.arrive(end, perSecond)
	})
}

func (a *simulation) between(least, most int) int { return least + a.random.IntN(most-least+1) }

func (a *simulation) spread(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.6*a.random.NormFloat64()))
}

// ask sends a request; a refused one is retried the given number of times, each after at
// most a third of its remaining time.
func (a *simulation) ask(one *simulatedProgram, route string, left time.Duration, tries int, granted, refused func()) {
	if one.over {
		return
	}
	a.number++
	decision := a.limiter.Take(a.now, "t", tenant.Request{ID: fmt.Sprint(a.number), Program: one.name, Route: route, Limit: a.limit, Version: 1})
	switch {
	case decision.Granted:
		a.granted++
		one.used++
		granted()
	case tries == 0:
		refused()
	default:
		wait := min(decision.RetryAfter, left/3)
		one.waited += wait
		a.after(wait, func() { a.ask(one, route, left-wait, tries-1, granted, refused) })
	}
}

func (a *simulation) turn(one *simulatedProgram, failed int) {
	a.ask(one, one.route, 3*time.Second, 1, func() {
		a.after(a.spread(110*time.Millisecond), func() { a.tools(one) })
	}, func() {
		if failed == 2 {
			a.abandon(one)
			return
		}
		wait := time.Duration(a.between(100, 400)) * time.Millisecond
		one.waited += wait
		a.after(wait, func() { a.turn(one, failed+1) })
	})
}

func (a *simulation) tools(one *simulatedProgram) {
	one.turns--
	if one.turns == 0 {
		a.ended++
		if one.waited <= slack {
			a.inTime++
		}
		one.over = true
		return
	}
	number := 0
	for _, tool := range []struct {
		share float64
		times int
	}{{0.7, 3}, {0.4, 1}, {0.2, 1}} {
		if a.random.Float64() < tool.share {
			number += tool.times
		}
	}
	pause := func() { a.after(a.spread(60*time.Millisecond), func() { a.turn(one, 0) }) }
	one.calls = number
	if number == 0 {
		pause()
	}
	for range number {
		a.ask(one, "tool", 1200*time.Millisecond, 1, func() {
			a.after(a.spread(30*time.Millisecond), func() {
				if one.calls--; one.calls == 0 {
					pause()
				}
			})
		}, func() { a.abandon(one) })
	}
}

func (a *simulation) abandon(one *simulatedProgram) {
	if !one.over {
		a.wasted += one.used
		one.over = true
	}
}

func (a *simulation) run() {
	for len(a.queue) > 0 {
		next := heap.Pop(&a.queue).(event)
		a.now = next.at
		next.do()
	}
}

// simulateBurst simulates a tenant that sends its usual load for 4 s, a multiple of it for
// 5 s, and its usual load again, with twenty seeds.
func simulateBurst(config tenant.Config, rate, usual, times float64) (sum simulation) {
	for seed := range uint64(20) {
		played := &simulation{
			limiter: tenant.NewLimiter(begun.Add(-time.Minute), config), limit: tenant.Limit{Rate: rate, Burst: rate},
			random: rand.New(rand.NewPCG(seed, 7)), now: begun,
		}
		played.arrive(begun.Add(16*time.Second), func(now time.Time) float64 {
			if since := now.Sub(begun); since > 4*time.Second && since < 9*time.Second {
				return usual * times
			}
			return usual
		})
		played.run()
		sum.asked += played.asked
		sum.ended += played.ended
		sum.inTime += played.inTime
		sum.granted += played.granted
		sum.wasted += played.wasted
	}
	return sum
}

var _ = Describe("Programs of a tenant that sends many times its usual load", func() {
	DescribeTable("finish in time as far as the limit allows, and waste few requests",
		func(rate, usual, times, inTime, wasted float64) {
			played := simulateBurst(tenant.DefaultConfig(), rate, usual, times)
			Expect(float64(played.inTime) / float64(played.asked)).To(BeNumerically(">=", inTime))
			Expect(float64(played.wasted) / float64(played.granted)).To(BeNumerically("<=", wasted))
		},
		Entry("a large tenant as usual", 134.0, 7.0, 1.0, 0.999, 0.001),
		Entry("a large tenant, its limit and a tenth", 134.0, 7.0, 1.8, 0.83, 0.03),
		Entry("a large tenant, three times its usual", 134.0, 7.0, 3.0, 0.59, 0.07),
		Entry("a large tenant, ten times its usual", 134.0, 7.0, 10.0, 0.25, 0.12),
		Entry("a small tenant as usual", 15.0, 0.8, 1.0, 0.81, 0.13),
		Entry("a small tenant, six times its usual", 15.0, 0.8, 6.0, 0.35, 0.28),
	)

	It("finish in time less often if refused programs that retry start like new ones", func() {
		config := tenant.DefaultConfig()
		first := simulateBurst(config, 134, 7, 10)
		config.RetriesAsNew = true
		inTurn := simulateBurst(config, 134, 7, 10)
		Expect(first.inTime).To(BeNumerically(">", inTurn.inTime*12/10))
	})
})
