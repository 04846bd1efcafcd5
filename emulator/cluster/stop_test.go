package cluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/cluster"
	"birchwood.example/birchwood/history"
)

// longestWait returns the longest time between a request and its answer.
func longestWait(events []history.Event) time.Duration {
	sent := map[string]time.Time{}
	longest := time.Duration(0)
	for _, event := range events {
		if event.Sent != nil {
			sent[event.Sent.Request] = event.At
		}
		if event.Got != nil {
			longest = max(longest, event.At.Sub(sent[event.Got.Request]))
		}
	}
	return longest
}

var _ = Describe("A planned stop", func() {
	It("hands programs over while they run, so that no call waits until a death is noticed", func() {
		for stopped := range 6 {
			settings := cluster.DefaultConfig(uint64(70 + stopped))
			settings.DropShare = 0 // A lost offer delays the takeover until the next owner's timeout.
			running, err := cluster.New(settings)
			Expect(err).NotTo(HaveOccurred())
			running.Advance(startupTime)
			plan := cluster.ProgramPlan{Branch: cluster.BranchCold, Pause: 50 * time.Millisecond}
			for i := range 30 {
				plan.Calls = append(plan.Calls, cluster.CallPlan{Tool: i%3 == 2})
			}
			for range 8 {
				running.StartProgram(plan)
			}
			running.Advance(2 * time.Second)
			running.Stop(stopped)
			running.Advance(time.Minute)
			events := settleAndCheck(running)
			ended := map[api.CallStatus]int{}
			for _, event := range events {
				if event.CallEnded != nil {
					ended[event.CallEnded.Status]++
				}
				Expect(event.Lost == nil || event.Lost.NotSent).To(BeTrue(), "a connection was cut")
			}
			Expect(ended).To(HaveLen(1), "%v", ended)
			Expect(ended[api.StatusSucceeded]).To(BeNumerically(">=", 8*len(plan.Calls)))
			Expect(longestWait(events)).To(BeNumerically("<", 3*time.Second))
		}
	})
})
