package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
)

const (
	quick  = 700 * time.Microsecond
	steady = 1500 * time.Microsecond
)

var begin = time.Unix(1000, 0)

// addSamples adds one measurement per period, and returns the time after the last.
func addSamples(estimator *dispatch.TokenTimeEstimator, from time.Time, lasting, period time.Duration, token time.Duration) time.Time {
	for at := time.Duration(0); at < lasting; at += period {
		estimator.Observe(from.Add(at), token)
	}
	return from.Add(lasting)
}

// near expects an estimate within a tenth of the given token time.
func near(g *WithT, estimator *dispatch.TokenTimeEstimator, now time.Time, want time.Duration) {
	g.Expect(float64(estimator.Token(now, steady))).To(BeNumerically("~", float64(want), 0.1*float64(want)))
}

func TestTokenTimeWithoutSamplesIsTheMedian(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.TokenTimeEstimator
	g.Expect(estimator.Known()).To(BeFalse())
	near(g, &estimator, begin, steady)
}

func TestTokenTimeFollowsAChangeWithinTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.TokenTimeEstimator
	now := addSamples(&estimator, begin, 10*time.Second, 250*time.Millisecond, quick)
	near(g, &estimator, now, quick)
	now = addSamples(&estimator, now, 2*time.Second, 250*time.Millisecond, 3*quick)
	near(g, &estimator, now, 3*quick)
}

func TestTokenTimeIgnoresAShortSlowdown(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.TokenTimeEstimator
	now := addSamples(&estimator, begin, 4*time.Second, 200*time.Millisecond, quick)
	now = addSamples(&estimator, now, 600*time.Millisecond, 200*time.Millisecond, quick*5/2)
	now = addSamples(&estimator, now, 200*time.Millisecond, 200*time.Millisecond, quick)
	near(g, &estimator, now, quick)
}

func TestTokenTimeForgetsOldSamples(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.TokenTimeEstimator
	now := addSamples(&estimator, begin, 4*time.Second, 200*time.Millisecond, quick)
	near(g, &estimator, now.Add(5*time.Second), quick)
	near(g, &estimator, now.Add(2*time.Minute), steady)
}

func TestTokenTimeFromReports(t *testing.T) {
	g := NewWithT(t)
	var estimator dispatch.TokenTimeEstimator
	estimator.ObserveReport(begin, quick, 10)
	near(g, &estimator, begin, quick)
}

func TestFalseReportMovesTokenTimeByABoundedFactor(t *testing.T) {
	g := NewWithT(t)
	for _, falseToken := range []time.Duration{time.Nanosecond, time.Hour} {
		var estimator dispatch.TokenTimeEstimator
		now := addSamples(&estimator, begin, 4*time.Second, 100*time.Millisecond, steady)
		estimator.ObserveReport(now, falseToken, 1_000_000)
		g.Expect(estimator.Token(now, steady)).To(And(BeNumerically(">=", steady/4), BeNumerically("<=", 4*steady)))
		estimator.ObserveReport(now, -falseToken, 5)
		estimator.ObserveReport(now, falseToken, 0)
		g.Expect(estimator.Token(now, steady)).To(And(BeNumerically(">=", steady/4), BeNumerically("<=", 4*steady)))
	}
}

func TestExpectedLengthLiesBetweenHintAndUsual(t *testing.T) {
	g := NewWithT(t)
	lengths := dispatch.NewLengths()
	g.Expect(lengths.Expected("route", 0, 500)).To(BeZero())
	g.Expect(lengths.Expected("route", 120, 500)).To(Equal(120))
	for range 50 {
		lengths.Observe(begin, "route", 200)
	}
	g.Expect(lengths.Expected("route", 0, 500)).To(Equal(200))
	g.Expect(lengths.Expected("route", 800, 500)).To(Equal(400))
	g.Expect(lengths.Expected("route", 0, 100)).To(Equal(100))
	g.Expect(lengths.Expected("other", 0, 100)).To(BeZero())
}

func TestCostRisesWithLoadAndAtAllSlots(t *testing.T) {
	g := NewWithT(t)
	job := dispatch.Job{Tokens: 200}
	before := 0.0
	for load := range 24 {
		state := dispatch.ReplicaState{Load: float64(load), Slots: 16, Token: 1e6, PrefillTime: 5e3, UncachedTokens: 1000}
		cost := job.Cost(&state)
		g.Expect(cost).To(BeNumerically(">", before))
		g.Expect(cost).To(BeNumerically(">", job.End(&state)-1))
		before = cost
	}
}

func TestLengthsAreBounded(t *testing.T) {
	g := NewWithT(t)
	lengths := dispatch.NewLengths()
	for index := range 1000 {
		lengths.Observe(begin.Add(time.Duration(index)*time.Second), time.Duration(index).String(), 100)
	}
	g.Expect(lengths.Expected(time.Duration(999).String(), 0, 0)).To(Equal(100))
	g.Expect(lengths.Expected(time.Duration(1).String(), 0, 0)).To(BeZero())
}
