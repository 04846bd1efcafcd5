package cluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/cluster"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

const startupTime = 10 * time.Second

// startCluster returns a cluster whose partitions have owners.
func startCluster(seed uint64) *cluster.Cluster {
	opened, err := cluster.New(cluster.DefaultConfig(seed))
	Expect(err).NotTo(HaveOccurred())
	opened.Advance(startupTime)
	return opened
}

// settleAndCheck settles the cluster, expects that no guarantee was violated, and
// returns the history.
func settleAndCheck(running *cluster.Cluster) []history.Event {
	Expect(running.Settle()).To(Succeed())
	report := history.CheckEvents(running.Events())
	Expect(report.Findings).To(BeEmpty(), report.String())
	return running.Events()
}

// modelCalls returns a plan of sequential model calls.
func modelCalls(count int) cluster.ProgramPlan {
	return cluster.ProgramPlan{Branch: cluster.BranchCold, Calls: make([]cluster.CallPlan, count), Pause: time.Second}
}

// startedAttempts returns the attempts that back ends started.
func startedAttempts(events []history.Event) []*history.AttemptStarted {
	var all []*history.AttemptStarted
	for _, event := range events {
		if event.AttemptStarted != nil {
			all = append(all, event.AttemptStarted)
		}
	}
	return all
}

// runWithFaults returns the history of a run with several kinds of faults.
func runWithFaults(seed uint64) []history.Event {
	running := startCluster(seed)
	running.StartProgram(modelCalls(4))
	running.StartProgram(cluster.ProgramPlan{
		Branch: cluster.BranchChat, Pipelined: true, Twice: true,
		Calls: []cluster.CallPlan{{}, {Tool: true}, {Tool: true, Repeatable: true}, {}},
	})
	running.Advance(300 * time.Millisecond)
	running.StoreLosesAnswers()
	running.Crash(0)
	running.Advance(2 * time.Second)
	running.Pause(1)
	running.BlockLink(0, 2)
	running.Advance(20 * time.Second)
	running.Resume(1)
	return settleAndCheck(running)
}

var _ = Describe("Cluster", func() {
	It("gives the same history for the same seed and the same calls", func() {
		first := runWithFaults(3)
		Expect(runWithFaults(3)).To(Equal(first))
		Expect(runWithFaults(4)).NotTo(Equal(first))
	})

	It("answers every call once though nodes die and the store loses answers", func() {
		finished := 0
		for _, event := range runWithFaults(5) {
			if event.CallEnded != nil && event.CallEnded.Status == api.StatusSucceeded {
				finished++
			}
		}
		Expect(finished).To(BeNumerically(">=", 7))
	})

	It("sleeps while nothing happens", func() {
		quiet := startCluster(1)
		before := quiet.Steps()
		quiet.Advance(time.Minute)
		const nodes, perSecond = 3, 60
		Expect(quiet.Steps() - before).To(BeNumerically("<", nodes*perSecond*60))
	})

	It("sends a program's history and the new input as the prompt, each once", func() {
		running := startCluster(1)
		running.StartProgram(modelCalls(3))
		events := settleAndCheck(running)
		input := func(number string) string { return "[program-1 " + number + "]" }
		outputs := map[uint64]string{}
		for _, event := range events {
			if event.AttemptFinished != nil {
				outputs[event.AttemptFinished.Sequence] = event.AttemptFinished.Output
			}
		}
		started := startedAttempts(events)
		Expect(started).To(HaveLen(3))
		Expect(started[0].PromptHash).To(Equal(history.HashText(input("1"))))
		Expect(started[2].PromptHash).To(Equal(history.HashText(
			input("1"), outputs[1], input("2"), outputs[2], input("3"))))
	})

	It("binds the next dispatch of a running program to zones that were narrowed", func() {
		running := startCluster(1)
		plan := modelCalls(12)
		plan.Pause = 3 * time.Second
		running.StartProgram(plan)
		running.Advance(5 * time.Second)
		running.ChangeZones(cluster.BranchCold, []zone.Name{"isando"}, 0)
		running.Advance(2 * time.Second)
		narrowed := running.Now()
		after := map[zone.Name]int{}
		for _, event := range settleAndCheck(running) {
			if event.AttemptStarted != nil && event.At.After(narrowed) {
				after[event.AttemptStarted.Zone]++
			}
		}
		Expect(after).To(HaveLen(1))
		Expect(after["isando"]).To(BeNumerically(">=", 8))
	})

	It("keeps programs going while the store is down for long", func() {
		running := startCluster(1)
		running.StartProgram(modelCalls(8))
		running.Advance(3 * time.Second)
		running.StoreDown()
		running.Advance(2 * time.Minute)
		during := len(startedAttempts(running.Events()))
		Expect(during).To(Equal(8))
		running.StoreUp()
		settleAndCheck(running)
	})

	It("gives a leaving engine nothing after the bound", func() {
		running := startCluster(1)
		plan := modelCalls(20)
		running.StartProgram(plan)
		running.StartProgram(plan)
		running.StartProgram(plan)
		running.Advance(3 * time.Second)
		running.LeaveEngine(0)
		left := running.Now()
		for _, event := range settleAndCheck(running) {
			if event.AttemptStarted != nil && event.At.Sub(left) > 3*time.Second {
				Expect(event.AttemptStarted.Backend).NotTo(Equal(machine.ID("engine-1")))
			}
		}
	})

	It("stops a node as planned without cutting a request", func() {
		running := startCluster(1)
		for range 6 {
			running.StartProgram(modelCalls(6))
		}
		running.Advance(2 * time.Second)
		running.Stop(0)
		running.Advance(time.Minute)
		stopped := 0
		for _, event := range settleAndCheck(running) {
			if event.PlannedStop != nil && event.PlannedStop.Done {
				stopped++
			}
			Expect(event.Lost == nil || event.Lost.NotSent).To(BeTrue(), "a connection was cut")
		}
		Expect(stopped).To(Equal(1))
	})

	It("recovers a partition whose zones were narrowed while its owner was dead", func() {
		// The loop crashes each node in turn, because one of them owns the
		// program. The other nodes hold its mirrors and are outside of the new
		// zones.
		for owner, name := range cluster.DefaultConfig(0).Zones {
			running := startCluster(5)
			running.StartProgram(modelCalls(3))
			running.Advance(time.Second)
			running.Crash(owner)
			running.ChangeZones(cluster.BranchCold, []zone.Name{name}, owner+1)
			running.Advance(time.Second)
			Expect(running.Restart(owner)).To(Succeed())
			settleAndCheck(running)
		}
	})

	It("sends nothing outside zones that were narrowed while the node was paused", func() {
		const moments, apart = 8, 2 * time.Millisecond
		for moment := range moments {
			for owner := range cluster.DefaultConfig(0).Zones {
				running := startCluster(uint64(moment + 1))
				running.StartProgram(cluster.ProgramPlan{Branch: cluster.BranchCold, Calls: []cluster.CallPlan{{Tool: true}}})
				running.Advance(time.Duration(moment) * apart)
				running.Pause(owner)
				running.ChangeZones(cluster.BranchCold, []zone.Name{"midrand-b"}, owner+1)
				running.Advance(40 * time.Second)
				settleAndCheck(running)
			}
		}
	})
})
