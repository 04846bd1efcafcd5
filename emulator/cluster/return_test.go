package cluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/emulator/cluster"
)

var _ = Describe("A node that returns after a planned stop", func() {
	It("leaves requests with the owners until they have handed over", func() {
		for stopped := range 6 {
			settings := cluster.DefaultConfig(uint64(90 + stopped))
			settings.NodesPerZone = 2
			settings.DropShare = 0
			running, err := cluster.New(settings)
			Expect(err).NotTo(HaveOccurred())
			running.Advance(startupTime)
			running.Stop(stopped)
			running.Advance(20 * time.Second)
			firstEvent := len(running.Events())
			plan := cluster.ProgramPlan{Branch: cluster.BranchCold, Pause: 50 * time.Millisecond}
			for range 100 {
				plan.Calls = append(plan.Calls, cluster.CallPlan{Tool: true})
			}
			for range 12 {
				running.StartProgram(plan)
			}
			running.Advance(time.Second)
			Expect(running.Restart(stopped)).To(Succeed())
			running.Advance(time.Minute)
			settleAndCheck(running)
			Expect(longestWait(running.Events()[firstEvent:])).To(BeNumerically("<", 2*time.Second))
		}
	})
})
