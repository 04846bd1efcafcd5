package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
)

// addTurns adds turns whose first event takes a base time plus a time per uncached token,
// both in units of the token time.
func addTurns(reading *dispatch.PrefillEstimator, from time.Time, turns int, base, ratio float64) time.Time {
	for index := range turns {
		uncached := 500 + 700*(index%19)
		first := time.Duration((base + ratio*float64(uncached)) * float64(steady))
		reading.Observe(from, uncached, first, steady)
		from = from.Add(100 * time.Millisecond)
	}
	return from
}

func TestPrefillLearnsBaseAndRatio(t *testing.T) {
	g := NewWithT(t)
	var reading dispatch.PrefillEstimator
	_, ratio := reading.Fit()
	g.Expect(ratio).To(Equal(dispatch.DefaultPrefillRatio))
	addTurns(&reading, begin, 300, 12, 1.0/80)
	base, ratio := reading.Fit()
	g.Expect(ratio).To(BeNumerically("~", 1.0/80, 1.0/800))
	g.Expect(base).To(BeNumerically("~", 12, 6))
}

func TestPrefillFollowsAChange(t *testing.T) {
	g := NewWithT(t)
	var reading dispatch.PrefillEstimator
	now := addTurns(&reading, begin, 300, 12, 1.0/80)
	addTurns(&reading, now, 600, 12, 1.0/300)
	_, ratio := reading.Fit()
	g.Expect(ratio).To(BeNumerically("~", 1.0/300, 1.0/1500))
}

func TestOutlierChangesPrefillLittle(t *testing.T) {
	g := NewWithT(t)
	var reading dispatch.PrefillEstimator
	now := addTurns(&reading, begin, 300, 12, 1.0/200)
	base, ratio := reading.Fit()
	reading.Observe(now, 10, time.Hour, steady)
	reading.Observe(now, -1, time.Hour, steady)
	reading.Observe(now, 10, time.Second, 0)
	after, afterShare := reading.Fit()
	g.Expect(after).To(BeNumerically("~", base, 3))
	g.Expect(afterShare).To(BeNumerically("~", ratio, ratio/10))
}
