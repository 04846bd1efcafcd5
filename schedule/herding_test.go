package schedule_test

import (
	"fmt"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// herdSimulation simulates nodes that share a few engines. Every engine reports
// its load twice a second, and each report reaches the nodes herdReportDelay
// later.
type herdSimulation struct {
	nodes   []*policyDriver
	running map[machine.ID][]scheduledEnd
	reports []schedule.Load
	// excess is the sum, over all samples, of the busiest engine's load divided
	// by the mean load.
	excess  float64
	samples int
}

type scheduledEnd struct {
	at       time.Time
	node     int
	decision schedule.Decision
}

const (
	herdNodes            = 24
	herdEngines          = 12
	herdTickInterval     = 50 * time.Millisecond
	herdReportDelay      = time.Second
	herdCallDuration     = 2 * time.Second
	herdSimulatedSeconds = 30
)

// simulateHerd enqueues one call per node every half second. It returns the
// ratio of the busiest engine's load to the mean load, averaged over time.
func simulateHerd(policy string) float64 {
	h := &herdSimulation{running: map[machine.ID][]scheduledEnd{}}
	machines := engineList(herdEngines)
	for i := range machines {
		machines[i].Slots = 16
	}
	for i := range herdNodes {
		node := newPolicyDriver(newPolicy(policy, testConfig(uint64(i))), 0)
		node.policy.SetBackends(start, machines)
		h.nodes = append(h.nodes, node)
	}
	for tick := range herdSimulatedSeconds * int(time.Second/herdTickInterval) {
		h.step(tick, start.Add(time.Duration(tick)*herdTickInterval))
	}
	return h.excess / float64(h.samples)
}

func (h *herdSimulation) step(tick int, now time.Time) {
	h.end(now)
	if tick%10 == 0 {
		for i := range herdEngines {
			id := machine.ID(fmt.Sprintf("e%03d", i))
			h.reports = append(h.reports, schedule.Load{Backend: id, At: now, Running: len(h.running[id])})
		}
	}
	for len(h.reports) > 0 && !h.reports[0].At.After(now.Add(-herdReportDelay)) {
		for _, node := range h.nodes {
			node.policy.ObserveLoad(now, h.reports[0])
		}
		h.reports = h.reports[1:]
	}
	for i, node := range h.nodes {
		node.now = now
		if (tick+i)%10 == 0 {
			node.enqueue(fmt.Sprintf("p-%d-%d", i, tick), "tenant")
		}
		for _, placed := range node.ready()[schedule.ActionPlace] {
			end := scheduledEnd{at: now.Add(herdCallDuration), node: i, decision: placed}
			h.running[placed.Backend] = append(h.running[placed.Backend], end)
		}
	}
	if now.After(start.Add(5 * time.Second)) {
		h.sampleExcess()
	}
}

// end finishes the calls whose end time has come.
func (h *herdSimulation) end(now time.Time) {
	for i := range herdEngines {
		id := machine.ID(fmt.Sprintf("e%03d", i))
		for len(h.running[id]) > 0 && !h.running[id][0].at.After(now) {
			due := h.running[id][0]
			h.running[id] = h.running[id][1:]
			h.nodes[due.node].policy.Finished(now, due.decision.Call, id, api.Usage{PromptTokens: 500, OutputTokens: 50}, 0)
		}
	}
}

func (h *herdSimulation) sampleExcess() {
	total, most := 0, 0
	for _, running := range h.running {
		total += len(running)
		most = max(most, len(running))
	}
	if total > 0 {
		h.excess += float64(most) * herdEngines / float64(total)
		h.samples++
	}
}

var _ = Describe("nodes that share late reports", func() {
	It("do not herd to the engine that looked idle, as least loaded does", func() {
		ours := simulateHerd("birchwood")
		naive := simulateHerd(schedule.BaselineLeastLoaded)
		GinkgoWriter.Printf("busiest engine over the mean: %.2f, least loaded %.2f\n", ours, naive)
		Expect(ours).To(BeNumerically("<", 1.8))
		Expect(naive).To(BeNumerically(">", 1.5*ours))
	})
})

var _ = Describe("a policy", func() {
	DescribeTable("decides the same from the same seed and inputs", func(name string) {
		run := func() (all []schedule.Decision) {
			b := newPolicyDriver(newPolicy(name, testConfig(5)), 6)
			for i := range 200 {
				b.enqueue(fmt.Sprintf("p-%d", i%40), fmt.Sprintf("t-%d", i%3))
				decisions := b.policy.Ready(b.now)
				all = append(all, decisions...)
				if i%2 == 1 && len(all) > i/2 && all[i/2].Action == schedule.ActionPlace {
					b.finish(all[i/2], 500)
				}
			}
			return all
		}
		first := run()
		Expect(len(first)).To(BeNumerically(">", 100))
		Expect(reflect.DeepEqual(run(), first)).To(BeTrue())
	},
		Entry(nil, "birchwood"),
		Entry(nil, schedule.BaselineRoundRobin),
		Entry(nil, schedule.BaselineLeastLoaded),
		Entry(nil, schedule.BaselineSticky),
	)
})
