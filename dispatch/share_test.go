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

var shareBegun = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestSharesLeaveFreePlaces never count a tenant as over its share while a place is free,
// nor one with few programs, nor by what was told too long ago.
func TestSharesLeaveFreePlaces(t *testing.T) {
	g := NewWithT(t)
	shares := NewShares()
	shares.Observe(shareBegun, "hot", 100, 10)
	shares.Observe(shareBegun, "large", 60, 60)
	shares.Observe(shareBegun, "small", 2, 1)
	g.Expect(shares.Over(shareBegun, "hot", 0.99)).To(BeFalse())
	g.Expect(shares.Over(shareBegun, "hot", 1.2)).To(BeTrue())
	g.Expect(shares.Over(shareBegun, "large", 1.2)).To(BeFalse())
	g.Expect(shares.Over(shareBegun, "small", 3)).To(BeFalse())
	g.Expect(shares.Over(shareBegun, "unknown", 3)).To(BeFalse())
	g.Expect(shares.Over(shareBegun.Add(useKnownFor+time.Millisecond), "hot", 1.2)).To(BeFalse())
}

// TestSharesAreBounded keep a bounded number of tenants, and forget the old ones first.
func TestSharesAreBounded(t *testing.T) {
	g := NewWithT(t)
	shares := NewShares()
	for index := range mostTenants + 10 {
		shares.Observe(shareBegun, fmt.Sprint(index), 5, 1)
	}
	g.Expect(shares.uses).To(HaveLen(mostTenants))
	shares.Observe(shareBegun.Add(2*useKnownFor), "new", 5, 1)
	g.Expect(shares.uses).To(HaveLen(1))
}

// tenantsReplay is a fleet before places for 300 programs, and 73 tenants of which one
// sends ten times its usual for 6 s. Programs that find no place are refused; those under
// way are slowed by what is over the places.
type tenantsReplay struct {
	random *rand.Rand
	shares *Shares
	fair   bool
	// under is how many programs each tenant has under way, and told what nodes know of it.
	under         []int
	asked, served []float64
}

const (
	replayTenants = 73
	replayPlaces  = 300
	replayHot     = 1
	// replayTell is after what time nodes know of a change.
	replayTell = 100 * time.Millisecond
	replayStep = 10 * time.Millisecond
)

// usual is how many programs a second each tenant begins: three quarters of what the
// places bear, a few of the tenants large.
var usual = func() (rates [replayTenants]float64) {
	sum := 0.
	for index := range rates {
		rates[index] = math.Pow(float64(index+1), -1.2)
		sum += rates[index]
	}
	for index := range rates {
		rates[index] *= 0.75 * replayPlaces / sum
	}
	return rates
}()

func (r *tenantsReplay) run() {
	type end struct {
		at     time.Time
		tenant int
	}
	var ends []end
	for tick := range int(16 * time.Second / replayStep) {
		now := shareBegun.Add(time.Duration(tick) * replayStep)
		ends = slices.DeleteFunc(ends, func(one end) bool {
			if one.at.After(now) {
				return false
			}
			r.under[one.tenant]--
			return true
		})
		if tick%int(replayTell/replayStep) == 0 {
			r.tell(now)
		}
		since := now.Sub(shareBegun)
		hot := since > 5*time.Second && since < 11*time.Second
		for _, tenant := range r.random.Perm(replayTenants) {
			rate := usual[tenant]
			if tenant == replayHot && hot {
				rate *= 10
			}
			for arrivals := rate * replayStep.Seconds(); arrivals > 0; arrivals-- {
				if r.random.Float64() < arrivals && r.begin(now, tenant, hot, len(ends)) {
					ends = append(ends, end{now.Add(time.Duration(r.random.ExpFloat64() * float64(time.Second))), tenant})
				}
			}
		}
	}
}

func (r *tenantsReplay) tell(now time.Time) {
	for tenant, under := range r.under {
		r.shares.Observe(now, fmt.Sprint(tenant), under, 16*usual[tenant])
	}
}

// begin has a program of a tenant begin, or refuses it.
func (r *tenantsReplay) begin(now time.Time, tenant int, counts bool, under int) bool {
	full := float64(under) / replayPlaces
	if counts {
		r.asked[tenant]++
	}
	if full >= 1.25 || r.fair && r.shares.Over(now, fmt.Sprint(tenant), full) {
		return false
	}
	r.under[tenant]++
	if counts {
		r.served[tenant]++
	}
	return true
}

// othersServed returns the part of programs that the tenants who send their usual have
// served: the mean, and that of the worst tenth of them.
func othersServed(fair bool) (mean, worst, hot float64) {
	asked, served := make([]float64, replayTenants), make([]float64, replayTenants)
	for seed := range uint64(30) {
		replay := &tenantsReplay{
			random: rand.New(rand.NewPCG(seed, 5)), shares: NewShares(), fair: fair, under: make([]int, replayTenants),
			asked: asked, served: served,
		}
		replay.run()
	}
	var parts []float64
	for tenant := range asked {
		part := served[tenant] / max(1, asked[tenant])
		if tenant == replayHot {
			hot = part
			continue
		}
		parts = append(parts, part)
		mean += part / (replayTenants - 1)
	}
	slices.Sort(parts)
	tenth := parts[:replayTenants/10]
	for _, part := range tenth {
		worst += part / float64(len(tenth))
	}
	return mean, worst, hot
}

// TestSharesInAHotTenantsBurst has the others served as if it were not there, where they
// are refused as often as the hot one otherwise.
func TestSharesInAHotTenantsBurst(t *testing.T) {
	g := NewWithT(t)
	meanBefore, worstBefore, _ := othersServed(false)
	mean, worst, hot := othersServed(true)
	t.Logf("before: mean %.3f, worst tenth %.3f; shares: mean %.3f, worst tenth %.3f, hot %.3f", meanBefore, worstBefore, mean, worst, hot)
	g.Expect(worstBefore).To(BeNumerically("<", 0.85))
	g.Expect(mean).To(BeNumerically(">=", 0.95))
	g.Expect(worst).To(BeNumerically(">=", mean-0.05))
	g.Expect(hot).To(BeNumerically(">", 0.2))
}

// BenchmarkSharesOver decides for one of 600 tenants.
func BenchmarkSharesOver(b *testing.B) {
	shares := NewShares()
	for index := range 600 {
		shares.Observe(shareBegun, fmt.Sprint(index), 3+index%50, float64(1+index%7))
	}
	for b.Loop() {
		shares.Over(shareBegun, "599", 1.1)
	}
}
