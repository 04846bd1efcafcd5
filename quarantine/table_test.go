package quarantine_test

import (
	"flag"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"birchwood.example/birchwood/quarantine"
)

// init sets the defaults of the property tests' flags. A command line overrides them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "76", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// start is the beginning of the virtual time.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// request is the request of most specs.
const request = quarantine.Fingerprint(1)

func run(number uint64, replica string, state quarantine.State) quarantine.Run {
	return quarantine.Run{ID: quarantine.RunID{Node: "n", Number: number}, Fingerprint: request, Replica: replica, State: state}
}

func newTable(change func(*quarantine.Config)) *quarantine.Table {
	config := quarantine.DefaultConfig()
	if change != nil {
		change(&config)
	}
	return quarantine.NewTable(config)
}

var _ = Describe("A table of runs", func() {
	It("counts ended and running runs, and no cleared ones", func() {
		table := newTable(nil)
		changed := table.Merge(start, []quarantine.Run{
			run(1, "a", quarantine.StateEnded), run(2, "b", quarantine.StateRunning), run(3, "c", quarantine.StateCleared),
		})
		Expect(changed).To(Equal([]quarantine.Fingerprint{request}))
		status := table.Status(request)
		Expect(status.Ended).To(Equal(1))
		Expect(status.Running).To(Equal(1))
		Expect(status.EndedAt).To(Equal([]string{"a"}))
		Expect(status.RunningAt).To(Equal([]string{"b"}))
		Expect(table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateRunning)})).To(BeEmpty())
	})

	It("counts a replica once, however many runs of the request ended with it", func() {
		table := newTable(nil)
		table.Merge(start, []quarantine.Run{
			run(1, "a", quarantine.StateEnded), run(2, "a", quarantine.StateEnded), run(3, "a", quarantine.StateRunning), run(4, "b", quarantine.StateRunning),
		})
		status := table.Status(request)
		Expect(status.Ended).To(Equal(1))
		Expect(status.Counted()).To(Equal(2))
	})

	It("takes over that a run is shared, in any order", func() {
		shared := run(1, "a", quarantine.StateRunning)
		shared.Shared = true
		for _, runs := range [][]quarantine.Run{{shared, run(1, "a", quarantine.StateEnded)}, {run(1, "a", quarantine.StateEnded), shared}} {
			table := newTable(nil)
			table.Merge(start, runs)
			status := table.Status(request)
			Expect(status.Shared).To(BeTrue())
			Expect(status.Ended).To(Equal(1))
			Expect(table.Merge(start, runs)).To(BeEmpty())
		}
	})

	It("counts each end of a replica that starts again under its ID, at whichever nodes", func() {
		table := newTable(nil)
		runs := []quarantine.Run{run(1, "a", quarantine.StateEnded), run(7, "a", quarantine.StateEnded), run(7, "a", quarantine.StateEnded)}
		for index := range runs[1:] {
			runs[1+index].ID.Node, runs[1+index].Restarted = []string{"n", "o"}[index], true
		}
		table.Merge(start, runs)
		status := table.Status(request)
		Expect(status.Ended).To(Equal(3))
		Expect(status.EndedAt).To(Equal([]string{"a"}))
		Expect(table.ReachedLimit(&status)).To(BeTrue())
	})

	It("keeps two marked requests apart at a replica that has started again under its ID", func() {
		table := newTable(nil)
		first, second := run(3, "a", quarantine.StateRunning), run(4, "a", quarantine.StateRunning)
		first.Restarted, second.Restarted = true, true
		second.Fingerprint++
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateEnded), first, second})
		status := table.Status(request)
		Expect(status.Ended).To(Equal(1))
		Expect(status.Running).To(Equal(1))
		Expect(status.RunningAt).To(Equal([]string{"a"}))
		Expect(table.Decide(start, &first, false)).To(Equal(quarantine.VerdictGranted))
		Expect(table.Decide(start, &second, false)).To(Equal(quarantine.VerdictCrowded))
	})

	It("counts a run that a lost node may have had beside an end that was seen, and once", func() {
		table := newTable(nil)
		table.Merge(start, []quarantine.Run{quarantine.LostRun(request, "t")})
		status := table.Status(request)
		Expect(status.Marked()).To(BeFalse())
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateEnded), quarantine.LostRun(request, "t")})
		status = table.Status(request)
		Expect(status.Ended).To(Equal(1))
		Expect(status.Counted()).To(Equal(2))
		Expect(status.Open()).To(BeZero(), "nobody will know of it")
		table.Merge(start, []quarantine.Run{run(2, "b", quarantine.StateRunning)})
		status = table.Status(request)
		Expect(status.Counted()).To(Equal(2))
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateCleared), run(2, "b", quarantine.StateCleared)})
		status = table.Status(request)
		Expect(status.Marked()).To(BeFalse())
	})

	It("counts a run that a lost node may have had for as long as a caller tries, and never as an end", func() {
		table := newTable(nil)
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateEnded), run(2, "b", quarantine.StateEnded), quarantine.LostRun(request, "t")})
		status := table.Status(request)
		Expect(table.ReachedLimit(&status)).To(BeFalse())
		Expect(table.Unsettled(&status)).To(BeTrue())
		table.Expire(start.Add(29 * time.Second))
		status = table.Status(request)
		Expect(table.Unsettled(&status)).To(BeTrue())
		table.Expire(start.Add(30 * time.Second))
		status = table.Status(request)
		Expect(table.Unsettled(&status)).To(BeFalse())
		Expect(status.Ended).To(Equal(2))
	})

	It("has the same content in whatever order runs are merged, and how often", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			runs := rapid.SliceOfN(rapid.Custom(drawRun), 1, 12).Draw(t, "runs")
			shuffled := rapid.Permutation(append(append([]quarantine.Run(nil), runs...), runs...)).Draw(t, "order")
			one, other := newTable(nil), newTable(nil)
			one.Merge(start, runs)
			for _, next := range shuffled {
				other.Merge(start, []quarantine.Run{next})
			}
			for _, next := range runs {
				left, right := one.Status(next.Fingerprint), other.Status(next.Fingerprint)
				if left.Ended != right.Ended || left.Suspected != right.Suspected || left.Running != right.Running {
					t.Fatalf("%+v and %+v", left, right)
				}
			}
		})
	})

	It("follows the node of a run that learns otherwise about its replica, in any order", func() {
		revised := []quarantine.Run{run(1, "a", quarantine.StateEnded), run(1, "a", quarantine.StateCleared), run(1, "a", quarantine.StateEnded)}
		revised[0].Suspected = true
		for index := range revised {
			revised[index].Revision = uint32(index)
		}
		for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
			table := newTable(nil)
			for _, index := range order {
				table.Merge(start, revised[index:index+1])
			}
			status := table.Status(request)
			Expect(status.Ended).To(Equal(1))
			Expect(status.Suspected).To(BeZero())
		}
	})

	It("does not decide on a request as long as a replica only may have ended under it", func() {
		table := newTable(nil)
		doubted := run(3, "c", quarantine.StateEnded)
		doubted.Suspected = true
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateEnded), run(2, "b", quarantine.StateEnded), doubted})
		status := table.Status(request)
		Expect(table.ReachedLimit(&status)).To(BeFalse())
		Expect(status.Counted()).To(Equal(3))
		next := run(4, "d", quarantine.StateRunning)
		table.Merge(start, []quarantine.Run{next})
		Expect(table.Decide(start, &next, false)).To(Equal(quarantine.VerdictUnsettled))
		doubted.Suspected, doubted.Revision = false, 1
		table.Merge(start, []quarantine.Run{doubted})
		Expect(table.Decide(start, &next, false)).To(Equal(quarantine.VerdictLimit))
	})

	It("keeps the ends under a request that was answered whole for as long as its caller may try on", func() {
		table := newTable(nil)
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateEnded)})
		answered := table.Answer(start, request)
		Expect(answered).To(ConsistOf(HaveField("Answered", true)))
		Expect(table.Expire(start.Add(29 * time.Second))).To(BeEmpty())
		status := table.Status(request)
		Expect(status.Ended).To(Equal(1))
		Expect(table.Expire(start.Add(30 * time.Second))).To(Equal([]quarantine.Fingerprint{request}))
	})

	It("permits a run while the limit leaves one, with all others counted", func() {
		table := newTable(func(config *quarantine.Config) { config.Limit = 2 })
		first, second, third := run(1, "a", quarantine.StateRunning), run(2, "b", quarantine.StateRunning), run(3, "c", quarantine.StateRunning)
		table.Merge(start, []quarantine.Run{first})
		Expect(table.Decide(start, &first, false)).To(Equal(quarantine.VerdictGranted))
		table.Merge(start, []quarantine.Run{run(1, "a", quarantine.StateEnded), second})
		Expect(table.Decide(start, &second, false)).To(Equal(quarantine.VerdictGranted))
		table.Merge(start, []quarantine.Run{third})
		Expect(table.Decide(start, &third, false)).To(Equal(quarantine.VerdictUnsettled))
		table.Merge(start, []quarantine.Run{run(2, "b", quarantine.StateEnded)})
		Expect(table.Decide(start, &third, false)).To(Equal(quarantine.VerdictLimit))
	})

	It("keeps two requests off one replica, unless they may share it", func() {
		table := newTable(nil)
		other := run(1, "a", quarantine.StateRunning)
		other.Fingerprint = request + 1
		later := run(2, "a", quarantine.StateRunning)
		table.Merge(start, []quarantine.Run{other, later})
		Expect(table.Decide(start, &other, false)).To(Equal(quarantine.VerdictGranted))
		Expect(table.Decide(start, &later, false)).To(Equal(quarantine.VerdictCrowded))
		Expect(table.Decide(start, &later, true)).To(Equal(quarantine.VerdictGranted))
	})

	It("releases a request for good, although older states arrive later", func() {
		table := newTable(nil)
		ended := run(1, "a", quarantine.StateEnded)
		table.Merge(start, []quarantine.Run{ended})
		released := table.Release(start, request)
		Expect(released).To(HaveLen(1))
		Expect(released[0].State).To(Equal(quarantine.StateCleared))
		table.Merge(start, []quarantine.Run{ended})
		status := table.Status(request)
		Expect(status.Marked()).To(BeFalse())
		Expect(table.Marked()).To(BeEmpty())
	})

	It("forgets an end after its lifetime, also one that another node saw", func() {
		table := newTable(func(config *quarantine.Config) { config.Lifetime = time.Minute })
		old := run(1, "a", quarantine.StateEnded)
		old.AgeMS = 50_000
		table.Merge(start, []quarantine.Run{old})
		Expect(table.Expire(start.Add(5 * time.Second))).To(BeEmpty())
		Expect(table.Expire(start.Add(10 * time.Second))).To(Equal([]quarantine.Fingerprint{request}))
		Expect(table.Count()).To(BeZero())
		old.AgeMS = 60_000
		Expect(table.Merge(start, []quarantine.Run{old})).To(BeEmpty())
	})

	It("is bounded, and drops requests of the tenant that has the most", func() {
		table := newTable(func(config *quarantine.Config) { config.MaxRequests = 10 })
		victim := run(0, "a", quarantine.StateEnded)
		victim.Tenant = "quiet"
		table.Merge(start, []quarantine.Run{victim})
		for number := range uint64(100) {
			made := run(number, "a", quarantine.StateEnded)
			made.Fingerprint, made.Tenant = request+1+quarantine.Fingerprint(number), "busy"
			table.Merge(start.Add(time.Duration(number+1)*time.Second), []quarantine.Run{made})
		}
		Expect(table.Count()).To(Equal(10))
		status := table.Status(request)
		Expect(status.Ended).To(Equal(1))
		last := table.Status(request + 100)
		Expect(last.Ended).To(Equal(1))
	})

	It("ignores states that it does not know", func() {
		Expect(newTable(nil).Merge(start, []quarantine.Run{run(1, "a", 9), run(2, "a", -1)})).To(BeEmpty())
	})
})

// drawRun draws a run of a few requests.
func drawRun(t *rapid.T) quarantine.Run {
	return quarantine.Run{
		ID:          quarantine.RunID{Node: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"), Number: rapid.Uint64Range(1, 4).Draw(t, "number")},
		Fingerprint: quarantine.Fingerprint(rapid.Uint64Range(1, 3).Draw(t, "request")),
		State:       quarantine.State(rapid.IntRange(0, 2).Draw(t, "state")),
		Suspected:   rapid.Bool().Draw(t, "suspected"),
		Revision:    rapid.Uint32Range(0, 2).Draw(t, "revision"),
	}
}

var _ = DescribeTable("The configuration of a table", func(change func(*quarantine.Config), problem string) {
	config := quarantine.DefaultConfig()
	change(&config)
	err := config.Validate("settings")
	if problem == "" {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	Expect(err).To(MatchError(ContainSubstring(problem)))
},
	Entry("the default", func(*quarantine.Config) {}, ""),
	Entry("no end at all", func(c *quarantine.Config) { c.Limit = 0 }, "limit: got 0, want 1 to 3"),
	Entry("more ends than users bear", func(c *quarantine.Config) { c.Limit = 4 }, "limit: got 4, want 1 to 3"),
	Entry("no lifetime", func(c *quarantine.Config) { c.Lifetime = 0 }, "lifetime: got 0s"),
	Entry("no room", func(c *quarantine.Config) { c.MaxRequests = 0 }, "max requests: got 0"),
)
