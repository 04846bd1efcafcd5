package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var shareEpoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestSharesAllowFreeSlots checks that no tenant counts as over its share while a slot is
// free, if it runs few programs, or by an expired report.
func TestSharesAllowFreeSlots(t *testing.T) {
	g := NewWithT(t)
	shares := NewShares()
	shares.Observe(shareEpoch, "hot", 100, 10)
	shares.Observe(shareEpoch, "large", 60, 60)
	shares.Observe(shareEpoch, "small", 2, 1)
	g.Expect(shares.Over(shareEpoch, "hot", 0.99)).To(BeFalse())
	g.Expect(shares.Over(shareEpoch, "hot", 1.2)).To(BeTrue())
	g.Expect(shares.Over(shareEpoch, "large", 1.2)).To(BeFalse())
	g.Expect(shares.Over(shareEpoch, "small", 3)).To(BeFalse())
	g.Expect(shares.Over(shareEpoch, "unknown", 3)).To(BeFalse())
	g.Expect(shares.Over(shareEpoch.Add(usageTTL+time.Millisecond), "hot", 1.2)).To(BeFalse())
}

// TestSharesAreBounded checks that the number of tracked tenants is bounded, and that
// expired ones are dropped first.
func TestSharesAreBounded(t *testing.T) {
	g := NewWithT(t)
	shares := NewShares()
	for index := range maxTenants + 10 {
		shares.Observe(shareEpoch, fmt.Sprint(index), 5, 1)
	}
	g.Expect(shares.usages).To(HaveLen(maxTenants))
	shares.Observe(shareEpoch.Add(2*usageTTL), "new", 5, 1)
	g.Expect(shares.usages).To(HaveLen(1))
}

// shareSimulation simulates a fleet with slots for 300 programs and 73 tenants, one of
// which sends ten times its usual load for 6 s. Programs run for 1 s on average; new ones
// are refused at 1.25 programs per slot.
type shareSimulation struct {
	random *rand.Rand
	shares *Shares
	fair   bool
	// running is how many programs each tenant runs.
	running       []int
	asked, served []float64
}

const (
	simTenants      = 73
	simProgramSlots = 300
	simHotTenant    = 1
	// simReportInterval is the interval at which nodes receive changes.
	simReportInterval = 100 * time.Millisecond
	shareStep         = 10 * time.Millisecond
)

// usualRates is how many programs per second each tenant starts: three quarters of
// capacity, with a few large tenants.
var usualRates = func() (rates [simTenants]float64) {
	sum := 0.
	for index := range rates {
		rates[index] = math.Pow(float64(index+1), -1.2)
		sum += rates[index]
	}
	for index := range rates {
		rates[index] *= 0.75 * simProgramSlots / sum
	}
	return rates
}()

func (r *shareSimulation) run() {
	type end struct {
		at     time.Time
		tenant int
	}
	var ends []end
	for tick := range int(16 * time.Second / shareStep) {
		now := shareEpoch.Add(time.Duration(tick) * shareStep)
		ends = slices.DeleteFunc(ends, func(one end) bool {
			if one.at.After(now) {
				return false
			}
			r.running[one.tenant]--
			return true
		})
		if tick%int(simReportInterval/shareStep) == 0 {
			r.report(now)
		}
		since := now.Sub(shareEpoch)
		hot := since > 5*time.Second && since < 11*time.Second
		for _, tenant := range r.random.Perm(simTenants) {
			rate := usualRates[tenant]
			if tenant == simHotTenant && hot {
				rate *= 10
			}
			for arrivals := rate * shareStep.Seconds(); arrivals > 0; arrivals-- {
				if r.random.Float64() < arrivals && r.begin(now, tenant, hot, len(ends)) {
					ends = append(ends, end{now.Add(time.Duration(r.random.ExpFloat64() * float64(time.Second))), tenant})
				}
			}
		}
	}
}

func (r *shareSimulation) report(now time.Time) {
	for tenant, running := range r.running {
		r.shares.Observe(now, fmt.Sprint(tenant), running, 16*usualRates[tenant])
	}
}

// begin starts a program of a tenant, or refuses it.
func (r *shareSimulation) begin(now time.Time, tenant int, counts bool, running int) bool {
	utilisation := float64(running) / simProgramSlots
	if counts {
		r.asked[tenant]++
	}
	if utilisation >= 1.25 || r.fair && r.shares.Over(now, fmt.Sprint(tenant), utilisation) {
		return false
	}
	r.running[tenant]++
	if counts {
		r.served[tenant]++
	}
	return true
}

// othersServed returns which fraction of the programs of the tenants with usual load is
// served, as the mean over these tenants and over the worst tenth of them, and that of the
// hot tenant.
func othersServed(fair bool) (mean, worst, hot float64) {
	asked, served := make([]float64, simTenants), make([]float64, simTenants)
	for seed := range uint64(30) {
		replay := &shareSimulation{
			random: rand.New(rand.NewPCG(seed, 5)), shares: NewShares(), fair: fair, running: make([]int, simTenants),
			asked: asked, served: served,
		}
		replay.run()
	}
	var parts []float64
	for tenant := range asked {
		part := served[tenant] / max(1, asked[tenant])
		if tenant == simHotTenant {
			hot = part
			continue
		}
		parts = append(parts, part)
		mean += part / (simTenants - 1)
	}
	slices.Sort(parts)
	tenth := parts[:simTenants/10]
	for _, part := range tenth {
		worst += part / float64(len(tenth))
	}
	return mean, worst, hot
}

// TestSharesDuringABurstOfOneTenant checks that a burst of one tenant leaves the others
// nearly unaffected. Without shares, they are refused as often as the hot tenant.
func TestSharesDuringABurstOfOneTenant(t *testing.T) {
	g := NewWithT(t)
	meanBefore, worstBefore, _ := othersServed(false)
	mean, worst, hot := othersServed(true)
	t.Logf("before: mean %.3f, worst tenth %.3f; shares: mean %.3f, worst tenth %.3f, hot %.3f", meanBefore, worstBefore, mean, worst, hot)
	g.Expect(worstBefore).To(BeNumerically("<", 0.85))
	g.Expect(mean).To(BeNumerically(">=", 0.95))
	g.Expect(worst).To(BeNumerically(">=", mean-0.05))
	g.Expect(hot).To(BeNumerically(">", 0.2))
}

// BenchmarkSharesOver measures the decision for one of 600 tenants.
func BenchmarkSharesOver(b *testing.B) {
	shares := NewShares()
	for index := range 600 {
		shares.Observe(shareEpoch, fmt.Sprint(index), 3+index%50, float64(1+index%7))
	}
	for b.Loop() {
		shares.Over(shareEpoch, "599", 1.1)
	}
}
