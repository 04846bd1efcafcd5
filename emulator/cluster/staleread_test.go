package cluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"

	"birchwood.example/birchwood/emulator/cluster"
)

var _ = Describe("A history", func() {
	It("is read with every acknowledged call, also by way of a former owner that is cut off", func() {
		for seed := range uint64(40) {
			running := startCluster(seed)
			for range 6 {
				running.StartProgram(cluster.ProgramPlan{
					Branch: cluster.BranchCold, Pause: 8 * time.Second, Calls: []cluster.CallPlan{{}, {Tool: true}},
				})
			}
			running.Advance(3 * time.Second)
			for other := 1; other < 3; other++ {
				running.BlockLink(0, other)
				running.BlockLink(other, 0)
			}
			running.Advance(30 * time.Second)
			settleAndCheck(running)
		}
	})
})
