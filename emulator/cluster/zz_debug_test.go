package cluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"birchwood.example/birchwood/emulator/cluster"
	"birchwood.example/birchwood/history"
)

var _ = Describe("debug", func() {
	It("dbg", func() {
		bad := 0
		for seed := range uint64(300) {
			running := open(seed)
			for range 6 {
				running.StartProgram(cluster.ProgramPlan{
					Branch: cluster.BranchCold, Pause: 8 * time.Second, Calls: []cluster.CallPlan{{}, {Tool: true}},
				})
			}
			running.Advance(3 * time.Second)
			for zone := range 3 {
				running.Cut(0, zone)
				running.Cut(zone, 0)
			}
			running.Advance(30 * time.Second)
			_ = running.Settle()
			report := history.CheckEvents(running.Events())
			if len(report.Findings) > 0 {
				bad++
				fmt.Println("BAD", seed, report.Findings[0].String())
			}
		}
		fmt.Println("BADS", bad)
	})
})
