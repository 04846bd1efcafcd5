package history_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/history"
)

var _ = Describe("gaps", func() {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	gap := func(from, to float64) history.Event {
		return history.Event{At: at(to), Gap: &history.Gap{Program: "a", Since: at(from)}}
	}

	It("count for the newest disturbance that had begun, with the longest as the maximum", func() {
		events := []history.Event{
			gap(0, 0.5),
			{At: at(10), Fault: &history.Fault{Kind: history.FaultDown, Machine: "n", Begin: true}},
			gap(9.9, 12), gap(11, 16), gap(10, 13),
			{At: at(14), Fault: &history.Fault{Kind: history.FaultDown, Machine: "n"}},
			{At: at(20), PlannedStop: &history.PlannedStop{Machine: "n"}},
			gap(18, 19), gap(21, 21.5),
		}
		Expect(history.CheckEvents(events).Outages).To(Equal(map[string]history.Outage{
			"no disturbance": {Gaps: 1, P50: 500 * time.Millisecond, P95: 500 * time.Millisecond, Max: 500 * time.Millisecond},
			"down":           {Gaps: 4, P50: 2100 * time.Millisecond, P95: 5 * time.Second, Max: 5 * time.Second},
			"planned stop":   {Gaps: 1, P50: 500 * time.Millisecond, P95: 500 * time.Millisecond, Max: 500 * time.Millisecond},
		}))
	})
})
