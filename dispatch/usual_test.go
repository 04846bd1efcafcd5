package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRemainingTimeIsLearned uses programs of two to six turns of 250 ms each, whose
// clients grant 400 ms per turn.
func TestRemainingTimeIsLearned(t *testing.T) {
	g := NewWithT(t)
	estimator := NewRemainingTimeEstimator()
	now := epoch
	for number := range 40 {
		turns := 2 + number%5
		for range turns {
			estimator.Begin(now, "ask", fmt.Sprint(number), time.Duration(turns)*400*time.Millisecond)
			now = now.Add(250 * time.Millisecond)
			estimator.End(now, fmt.Sprint(number))
		}
	}
	now = now.Add(time.Minute)
	for _, turns := range []int{2, 4, 6} {
		program := fmt.Sprint("of ", turns)
		for left := turns; left > 0; left-- {
			estimator.Begin(now, "ask", program, time.Duration(turns)*400*time.Millisecond)
			want := time.Duration(left) * 250 * time.Millisecond
			g.Expect(estimator.Remaining("ask", program)).To(BeNumerically("~", want, 20*time.Millisecond), "%d of %d left", left, turns)
		}
	}
	estimator.Begin(now, "ask", "from elsewhere", 0)
	g.Expect(estimator.Remaining("ask", "from elsewhere")).To(BeNumerically("~", 250*time.Millisecond, 20*time.Millisecond))
	g.Expect(estimator.Remaining("other", "1")).To(BeZero(), "a route that is not known")
}

// TestRemainingTimeEstimatorIsBounded checks the bounds on tracked programs and routes.
func TestRemainingTimeEstimatorIsBounded(t *testing.T) {
	g := NewWithT(t)
	estimator := NewRemainingTimeEstimator()
	now := epoch
	for number := range 5000 {
		now = now.Add(time.Millisecond)
		estimator.Begin(now, fmt.Sprint("route", number), fmt.Sprint(number), time.Second)
	}
	estimator.Begin(now.Add(time.Minute), "last", "last", time.Second)
	g.Expect(len(estimator.programs)).To(BeNumerically("<=", maxTrackedPrograms))
	g.Expect(len(estimator.routes)).To(BeNumerically("<=", maxTrackedRoutes))
}
