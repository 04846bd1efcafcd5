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
	usual := NewRemainingTimeEstimator()
	now := epoch
	for number := range 40 {
		turns := 2 + number%5
		for range turns {
			usual.Begin(now, "ask", fmt.Sprint(number), time.Duration(turns)*400*time.Millisecond)
			now = now.Add(250 * time.Millisecond)
			usual.End(now, fmt.Sprint(number))
		}
	}
	now = now.Add(time.Minute)
	for _, turns := range []int{2, 4, 6} {
		program := fmt.Sprint("of ", turns)
		for left := turns; left > 0; left-- {
			usual.Begin(now, "ask", program, time.Duration(turns)*400*time.Millisecond)
			want := time.Duration(left) * 250 * time.Millisecond
			g.Expect(usual.Remaining("ask", program)).To(BeNumerically("~", want, 20*time.Millisecond), "%d of %d left", left, turns)
		}
	}
	usual.Begin(now, "ask", "from elsewhere", 0)
	g.Expect(usual.Remaining("ask", "from elsewhere")).To(BeNumerically("~", 250*time.Millisecond, 20*time.Millisecond))
	g.Expect(usual.Remaining("other", "1")).To(BeZero(), "a route that is not known")
}

// TestRemainingTimeEstimatorIsBounded checks the bounds on tracked programs and routes.
func TestRemainingTimeEstimatorIsBounded(t *testing.T) {
	g := NewWithT(t)
	usual := NewRemainingTimeEstimator()
	now := epoch
	for number := range 5000 {
		now = now.Add(time.Millisecond)
		usual.Begin(now, fmt.Sprint("route", number), fmt.Sprint(number), time.Second)
	}
	usual.Begin(now.Add(time.Minute), "last", "last", time.Second)
	g.Expect(len(usual.programs)).To(BeNumerically("<=", maxTrackedPrograms))
	g.Expect(len(usual.routes)).To(BeNumerically("<=", maxTrackedRoutes))
}
