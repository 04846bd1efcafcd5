package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestUsualLearnsWhatIsLeft of programs of four turns, each 200 ms with 50 ms between.
func TestUsualLearnsWhatIsLeft(t *testing.T) {
	g := NewWithT(t)
	usual := NewUsual()
	now := epoch
	for number := range 20 {
		for step := range 4 {
			g.Expect(usual.Begin(now, "ask", fmt.Sprint(number))).To(Equal(step))
			now = now.Add(200 * time.Millisecond)
			usual.End(now, fmt.Sprint(number))
			now = now.Add(50 * time.Millisecond)
		}
	}
	now = now.Add(time.Minute)
	usual.Begin(now, "ask", "next")
	for step, want := range []time.Duration{950, 700, 450, 200} {
		rest, known := usual.Rest("ask", step)
		g.Expect(known).To(BeTrue())
		g.Expect(rest).To(BeNumerically("~", want*time.Millisecond, time.Millisecond), "step %d", step)
	}
	_, known := usual.Rest("ask", 9)
	g.Expect(known).To(BeFalse(), "no program had so many turns")
	_, known = usual.Rest("other", 0)
	g.Expect(known).To(BeFalse())
}

// TestUsualIsBounded in programs and routes, whatever comes.
func TestUsualIsBounded(t *testing.T) {
	g := NewWithT(t)
	usual := NewUsual()
	now := epoch
	for number := range 5000 {
		now = now.Add(time.Millisecond)
		usual.Begin(now, fmt.Sprint("route", number), fmt.Sprint(number))
	}
	usual.Begin(now.Add(time.Minute), "last", "last")
	g.Expect(len(usual.programs)).To(BeNumerically("<=", usualPrograms))
	g.Expect(len(usual.routes)).To(BeNumerically("<=", usualRoutes))
}
