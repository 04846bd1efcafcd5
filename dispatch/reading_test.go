package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
)

// addTurns adds turns whose first event takes a base time plus a time per uncached token,
// both in units of the token time.
func addTurns(estimator *dispatch.PrefillEstimator, from time.Time, turns int, base, ratio float64) time.Time {
	for index := range turns {
		uncached := 500 + 700*(index%19)
		first := time.Duration((base + ratio*float64(uncached)) * float64(steady))
		estimator.Observe(from, uncached, first, steady)
		from = from.Add(100 * time.Millisecond)
	}
	return from
}

func TestPrefillLearnsBaseAndRatio(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.PrefillEstimator
	_, ratio := estimator.Fit()
	g.Expect(ratio).To(Equal(dispatch.DefaultPrefillRatio))
	addTurns(&estimator, begin, 300, 12, 1.0/80)
	base, ratio := estimator.Fit()
	g.Expect(ratio).To(BeNumerically("~", 1.0/80, 1.0/800))
	g.Expect(base).To(BeNumerically("~", 12, 6))
}

func TestPrefillFollowsAChange(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.PrefillEstimator
	now := addTurns(&estimator, begin, 300, 12, 1.0/80)
	addTurns(&estimator, now, 600, 12, 1.0/300)
	_, ratio := estimator.Fit()
	g.Expect(ratio).To(BeNumerically("~", 1.0/300, 1.0/1500))
}

func TestOutlierChangesPrefillLittle(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.PrefillEstimator
	now := addTurns(&estimator, begin, 300, 12, 1.0/200)
	base, ratio := estimator.Fit()
	estimator.Observe(now, 10, time.Hour, steady)
	estimator.Observe(now, -1, time.Hour, steady)
	estimator.Observe(now, 10, time.Second, 0)
	after, afterShare := estimator.Fit()
	g.Expect(after).To(BeNumerically("~", base, 3))
	g.Expect(afterShare).To(BeNumerically("~", ratio, ratio/10))
}
