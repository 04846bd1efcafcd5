package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
)

// trained returns a Slack that observed programs with three seconds left at one stage.
func trained() *dispatch.Slack {
	slack := dispatch.NewSlack()
	for range 20 {
		slack.Observe("route", 2, 3*time.Second)
	}
	return slack
}

func TestProgressFollowsTheUsualTimeLeft(t *testing.T) {
	g := NewWithT(t)
	for left, want := range map[time.Duration]dispatch.Progress{
		-time.Second: dispatch.ProgressLost, 0: dispatch.ProgressLost, time.Second: dispatch.ProgressBehind,
		3 * time.Second: dispatch.ProgressEven, 6 * time.Second: dispatch.ProgressAhead,
	} {
		g.Expect(trained().Observe("route", 2, left)).To(Equal(want), left.String())
	}
	g.Expect(trained().Observe("route", 3, time.Second)).To(Equal(dispatch.ProgressEven), "an unknown stage")
	g.Expect(trained().Observe("route", 1_000, time.Second)).To(Equal(dispatch.ProgressEven), "a stage beyond all")
}

func TestLateProgramsDoNotChangeTheUsual(t *testing.T) {
	g := NewWithT(t)
	slack := trained()
	for range 500 {
		slack.Observe("route", 2, -time.Hour)
	}
	g.Expect(slack.Observe("route", 2, 3*time.Second)).To(Equal(dispatch.ProgressEven))
}

func TestSpeedBiasOfOnePriorityFollowsProgress(t *testing.T) {
	g := NewWithT(t)
	slack := dispatch.NewSlack()
	g.Expect(slack.SpeedBias(begin, "model", 3, dispatch.ProgressBehind)).To(Equal(1))
	g.Expect(slack.SpeedBias(begin, "model", 3, dispatch.ProgressEven)).To(Equal(0))
	g.Expect(slack.SpeedBias(begin, "model", 3, dispatch.ProgressAhead)).To(Equal(-1))
	g.Expect(slack.SpeedBias(begin, "model", 3, dispatch.ProgressLost)).To(Equal(-1))
}

func TestNoProgramGoesBeforeAMoreUrgentOne(t *testing.T) {
	g := NewWithT(t)
	slack := dispatch.NewSlack()
	values := []dispatch.Progress{dispatch.ProgressLost, dispatch.ProgressAhead, dispatch.ProgressEven, dispatch.ProgressBehind}
	for _, priority := range []int{-3, 2, 5, 99} {
		slack.SpeedBias(begin, "model", priority, dispatch.ProgressEven)
	}
	for _, urgent := range values {
		for _, other := range values {
			for more, less := range map[int]int{0: 5, 2: 5, 5: 9} {
				first := slack.SpeedBias(begin, "model", more, urgent)
				g.Expect(first).To(BeNumerically(">=", slack.SpeedBias(begin, "model", less, other)))
			}
		}
	}
	later := begin.Add(time.Minute)
	g.Expect(slack.SpeedBias(later, "model", 5, dispatch.ProgressBehind)).To(Equal(1), "the others have no requests any more")
}
