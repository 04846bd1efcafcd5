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

// advanceUntil advances in small steps until the condition holds, and fails after
// a minute of virtual time.
func advanceUntil(running *cluster.Cluster, condition func(events []history.Event) bool) {
	const step, steps = 200 * time.Microsecond, 300_000
	for range steps {
		if condition(running.Events()) {
			return
		}
		running.Advance(step)
	}
	Fail("the run never came to this point")
}

// orphaned returns the programs whose prefixes an engine listed after the
// program's end, and those that engines still list at the end of the run.
func orphaned(events []history.Event) (seen, left map[api.ProgramID]bool) {
	closed := map[api.ProgramID]bool{}
	last := map[machine.ID][]api.ProgramID{}
	seen, left = map[api.ProgramID]bool{}, map[api.ProgramID]bool{}
	for _, event := range events {
		if event.ProgramEnded != nil {
			closed[event.ProgramEnded.Program] = true
		}
		if event.EngineCache == nil {
			continue
		}
		last[event.EngineCache.Backend] = event.EngineCache.Programs
		for _, id := range event.EngineCache.Programs {
			seen[id] = seen[id] || closed[id]
		}
	}
	for id, wasOrphaned := range seen {
		if !wasOrphaned {
			delete(seen, id)
		}
	}
	for _, programs := range last {
		for _, id := range programs {
			left[id] = true
		}
	}
	return seen, left
}

// countEnded counts the programs that ended.
func countEnded(events []history.Event) int {
	count := 0
	for _, event := range events {
		if event.ProgramEnded != nil {
			count++
		}
	}
	return count
}

// highestInForce returns each node's highest revision, and the first revision
// that each process of the node put in force.
func highestInForce(events []history.Event) (newest map[machine.ID]uint64, first map[machine.ID][]uint64) {
	newest, first = map[machine.ID]uint64{}, map[machine.ID][]uint64{}
	incarnations := map[machine.ID]uint64{}
	for _, event := range events {
		if event.InForce == nil {
			continue
		}
		each := event.InForce
		newest[each.Node] = max(newest[each.Node], each.Revision)
		if incarnations[each.Node] != each.Incarnation {
			incarnations[each.Node] = each.Incarnation
			first[each.Node] = append(first[each.Node], each.Revision)
		}
	}
	return newest, first
}

var _ = Describe("Engine memory", func() {
	It("is freed by the sweep when an engine was out of reach while its programs ended", func() {
		running := startCluster(2)
		for range 6 {
			running.StartProgram(cluster.ProgramPlan{
				Branch: cluster.BranchCold, Pause: 8 * time.Second, Calls: []cluster.CallPlan{{}, {Tool: true}},
			})
		}
		running.Advance(3 * time.Second)
		// The first zone is isolated in both directions, so releases from other
		// zones don't reach its engine.
		for zone := range 3 {
			running.BlockLink(0, zone)
			running.BlockLink(zone, 0)
		}
		running.Advance(30 * time.Second)
		events := settleAndCheck(running)
		seen, left := orphaned(events)
		Expect(countEnded(events)).To(Equal(6))
		Expect(seen).NotTo(BeEmpty(), "no engine ever held memory of a program that was gone")
		Expect(left).To(BeEmpty())
	})

	It("is freed when the owner dies in the moment in which its program ends", func() {
		seenInAll := 0
		for owner := range 3 {
			running := startCluster(uint64(10 + owner))
			for range 8 {
				running.StartProgram(modelCalls(2))
			}
			for ended := range 4 {
				advanceUntil(running, func(events []history.Event) bool { return countEnded(events) > ended })
				running.Crash(owner)
				running.Advance(12 * time.Second)
				Expect(running.Restart(owner)).To(Succeed())
			}
			seen, left := orphaned(settleAndCheck(running))
			seenInAll += len(seen)
			Expect(left).To(BeEmpty())
		}
		Expect(seenInAll).To(BeNumerically(">", 0), "no engine ever held memory of a program that was gone")
	})
})

var _ = Describe("A leaving engine", func() {
	It("that served calls gets none that begins 3 s later, though a fifth of the messages is lost", func() {
		for seed := range uint64(4) {
			settings := cluster.DefaultConfig(30 + seed)
			settings.DropShare = 0.2
			running, err := cluster.New(settings)
			Expect(err).NotTo(HaveOccurred())
			running.Advance(startupTime)
			for range 6 {
				running.StartProgram(modelCalls(12))
			}
			running.Advance(4 * time.Second)
			running.LeaveEngine(int(seed))
			left := running.Now()
			leaving := machine.ID([]string{"engine-1", "engine-2", "engine-3", "engine-1"}[seed])
			before, elsewhere := 0, 0
			for _, event := range settleAndCheck(running) {
				switch {
				case event.AttemptStarted == nil:
				case event.AttemptStarted.Backend == leaving && event.At.Before(left):
					before++
				case event.At.Sub(left) > 3*time.Second:
					Expect(event.AttemptStarted.Backend).NotTo(Equal(leaving), "%s after it began to leave", event.At.Sub(left))
					elsewhere++
				}
			}
			Expect(before).To(BeNumerically(">", 0), "the engine served nothing before")
			Expect(elsewhere).To(BeNumerically(">", 0), "nothing ran after")
		}
	})
})

var _ = Describe("Accepted settings", func() {
	It("are not reverted by nodes that restart while the store is down", func() {
		running := startCluster(4)
		plan := modelCalls(20)
		plan.Pause = 4 * time.Second
		running.StartProgram(plan)
		running.Advance(2 * time.Second)
		running.ChangeZones(cluster.BranchCold, []zone.Name{"midrand-a"}, 0)
		running.Advance(5 * time.Second)
		before, _ := highestInForce(running.Events())
		running.StoreDown()
		for restarted := range 2 {
			running.Crash(restarted)
			running.Advance(time.Second)
			Expect(running.Restart(restarted)).To(Succeed())
		}
		running.Advance(40 * time.Second)
		running.StoreUp()
		events := settleAndCheck(running)
		_, first := highestInForce(events)
		for _, restarted := range []machine.ID{"node-1", "node-2"} {
			Expect(first[restarted]).To(HaveLen(2), "a process of %s put nothing in force", restarted)
			Expect(first[restarted][1]).To(BeNumerically(">=", before[restarted]))
		}
		Expect(before["node-1"]).To(Equal(before["node-3"]))
	})
})

var _ = Describe("A zone that is cut off", func() {
	It("one way breaks no promise, whichever way it is, and calls go on meanwhile", func() {
		for from := range 3 {
			for to := range 3 {
				if from == to {
					continue
				}
				running := startCluster(uint64(50 + 3*from + to))
				for range 4 {
					running.StartProgram(modelCalls(10))
				}
				running.StartProgram(cluster.ProgramPlan{
					Branch: cluster.BranchChat, Twice: true, Pause: time.Second,
					Calls: []cluster.CallPlan{{Tool: true}, {}, {Tool: true}, {}, {Tool: true}, {}},
				})
				running.Advance(2 * time.Second)
				running.BlockLink(from, to)
				running.Advance(2 * time.Second)
				startedBefore := len(startedAttempts(running.Events()))
				running.Advance(38 * time.Second)
				Expect(len(startedAttempts(running.Events()))).To(BeNumerically(">", startedBefore), "nothing ran while %d could not reach %d", from, to)
				events := settleAndCheck(running)
				succeeded := 0
				for _, event := range events {
					if event.CallEnded != nil && event.CallEnded.Status == api.StatusSucceeded {
						succeeded++
					}
				}
				Expect(countEnded(events)).To(Equal(5))
				Expect(succeeded).To(BeNumerically(">=", 40))
			}
		}
	})
})
