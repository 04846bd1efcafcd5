package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// small is a run that ends within seconds.
func small() Config {
	config := DefaultConfig()
	config.Nodes, config.RealNodes = 4, 2
	config.Zones, config.Regions, config.Replicas = 2, 2, 40
	config.Programs = 6
	config.IdleTime, config.Duration = time.Second, 5*time.Second
	config.SweepPeriod = time.Second
	config.Churn = false
	return config
}

var _ = Describe("Run", func() {
	It("answers every call and breaks no promise, over both kinds of network", func() {
		result, err := Run(context.Background(), small())
		Expect(err).NotTo(HaveOccurred())
		Expect(result.ByKind).To(BeEmpty(), "%v", result.Examples)
		Expect(result.Created).To(Equal(int64(6)))
		Expect(result.Answered).To(Equal(int64(6 * callsPerProgram)))
		Expect(result.SettingsBehind).To(BeZero())
		Expect(result.SettingsSpread.Samples).To(BeNumerically(">", 0))
		Expect(result.Balance.Partitions).To(Equal(4*6), "4 partitions of each of 6 branches, the root included")
		Expect(result.Idle.ControlBytes).To(BeNumerically(">", 0))
	})

	It("names every finding of its settings", func() {
		_, err := Run(context.Background(), Config{RealNodes: 1})
		for _, field := range []string{"nodes", "zones", "duration", "idle time", "settle timeout"} {
			Expect(err).To(MatchError(ContainSubstring(field)))
		}
	})
})

var _ = Describe("The network of hollow nodes", func() {
	It("counts the bytes that linkhttp sends for the same message", func() {
		config := small()
		config.Nodes, config.RealNodes = 2, 0
		f, err := newFleet(config)
		Expect(err).NotTo(HaveOccurred())
		defer f.close()
		for index := range 2 {
			joined, err := newMember(f, index, "zone-0", false)
			Expect(err).NotTo(HaveOccurred())
			f.members = append(f.members, joined)
			f.network.add(joined)
		}
		sender, receiver := f.members[0], f.members[1]
		message := link.Message{
			From: sender.entry.ID, To: receiver.entry.ID,
			Membership: &machine.Message{Kind: machine.MessageProbe, Sequence: 12345},
		}
		Expect(f.network.carry(sender, receiver, message)).To(Succeed())
		Expect(sender.http.Send(receiver.entry, message)).To(Succeed())
		Eventually(func() int64 { return sender.http.Counters().MessagesSent }).Should(Equal(int64(1)))
		counted := sender.http.Counters()
		Expect(sender.traffic.sent.Load()).To(BeNumerically("~", counted.BytesSent, 8))
		Expect(sender.traffic.received.Load()).To(BeNumerically("~", counted.BytesReceived, 8))
	})

	It("cuts a region off from the others and from no one else", func() {
		n := newNetwork(newWorld(DefaultConfig()))
		n.sever("region-0")
		Expect(n.permits("zone-0", "zone-3")).To(BeTrue(), "both in the region")
		Expect(n.permits("zone-0", "zone-1")).To(BeFalse())
		Expect(n.permits("zone-1", "zone-0")).To(BeFalse())
		Expect(n.permits("zone-1", "zone-2")).To(BeTrue(), "both outside")
		n.sever("")
		Expect(n.permits("zone-0", "zone-1")).To(BeTrue())
	})
})

var _ = Describe("The checks", func() {
	var (
		f     *fleet
		asked *load
	)
	BeforeEach(func() {
		machines := newWorld(DefaultConfig()).machines(200)
		f = &fleet{violations: newViolations(), backends: newBackends(machines)}
		asked = &load{fleet: f}
	})

	DescribeTable("find an answer that does not follow from the program's history",
		func(output string, broken int) {
			caller := agent{load: asked, history: "before;"}
			submit := api.SubmitCall{Key: "k", Kind: api.CallModel, Input: "now;"}
			caller.judge(submit, api.Call{Key: "k", Status: api.StatusSucceeded, Output: output})
			Expect(f.violations.counts[ViolationWrongAnswer]).To(Equal(broken))
		},
		Entry("its own", answerTo("before;now;"), 0),
		Entry("without the history", answerTo("now;"), 1),
		Entry("in another order", answerTo("now;before;"), 1),
	)

	It("find a tool that ran twice, and one that ran though it was answered as not run", func() {
		for id := range f.backends.tools {
			service := f.backends.tools[id]
			service.runs["p/3"], service.runs["q/3"] = 2, 1
			break
		}
		asked.open = []*agent{{notRun: []string{"q/3", "r/3"}}}
		asked.checkTools()
		Expect(f.violations.counts).To(Equal(map[Kind]int{ViolationRanTwice: 1, ViolationNotRun: 1}))
	})

	It("find memory that an engine still holds", func() {
		for _, held := range f.backends.engines {
			held.hold("a", 10)
			Expect(held.Release(context.Background(), "a")).To(Succeed())
			held.hold("b", 10)
			break
		}
		asked.checkMemory()
		Expect(f.violations.counts).To(Equal(map[Kind]int{ViolationMemoryHeld: 1}))
	})

	It("find settings that went back, and measure only nodes that were there", func() {
		f.spread = newSpread()
		joined := &member{fleet: f, starts: 1, started: time.Now()}
		f.spread.accepted(2, time.Now().Add(time.Millisecond))
		f.spread.accepted(1, joined.started.Add(-time.Hour))
		observed := &measure{member: joined, start: 1}
		observed.SettingsRevision(2)
		Expect(f.spread.samples()).To(HaveLen(1))
		observed.SettingsRevision(1)
		Expect(f.violations.counts).To(Equal(map[Kind]int{ViolationSettingsReverted: 1}))
	})
})

var _ = Describe("quantilesOf", func() {
	It("takes the value below which the share lies", func() {
		var took []time.Duration
		for _, seconds := range rand.Perm(100) {
			took = append(took, time.Duration(seconds+1)*time.Second)
		}
		Expect(quantilesOf(took)).To(Equal(Quantiles{P50: 50, P99: 99, Maximum: 100, Samples: 100}))
		Expect(quantilesOf(nil)).To(Equal(Quantiles{}))
	})
})

var _ = Describe("The world", func() {
	It("gives each zone engines and tools", func() {
		w := newWorld(DefaultConfig())
		kinds := make(map[string]int)
		for _, entry := range w.machines(600) {
			kinds[fmt.Sprint(entry.Zone, entry.Kind)]++
		}
		for _, place := range w.names() {
			Expect(kinds[fmt.Sprint(place, machine.KindEngine)]).To(Equal(54))
			Expect(kinds[fmt.Sprint(place, machine.KindTool)]).To(Equal(6))
		}
		Expect(w.within("region-0")).To(Equal([]zone.Name{"zone-0", "zone-3", "zone-6", "zone-9"}))
	})
})
