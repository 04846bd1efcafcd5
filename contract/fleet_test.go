package contract_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// The messages of a fleet: each node probes one random other in each period,
// and both tell the other their report, after a delay of one link.
const (
	fleetPeriod = time.Second
	fleetTick   = 50 * time.Millisecond
	fleetLink   = 10 * time.Millisecond
)

// fleet is followers in virtual time that talk to random peers.
type fleet struct {
	log     *settingsLog
	nodes   []*reader
	zones   []zone.Name
	random  *rand.Rand
	now     time.Time
	talkDue []time.Time
	// cut is a zone that no message enters or leaves.
	cut zone.Name
}

func newFleet(count, zoneCount int) *fleet {
	made := &fleet{log: &settingsLog{}, random: rand.New(rand.NewPCG(3, uint64(count))), now: start}
	for index := range zoneCount {
		made.zones = append(made.zones, zone.Name(fmt.Sprintf("zone-%d", index)))
	}
	made.log.add(set("root", 0, "", zones(made.zones...)))
	for index := range count {
		node := newReader(made.log, machine.ID(fmt.Sprintf("node-%03d", index)), made.zones[index%zoneCount], made.zones...)
		node.run(start)
		made.nodes = append(made.nodes, node)
		made.talkDue = append(made.talkDue, start.Add(time.Duration(made.random.Int64N(int64(fleetPeriod)))))
	}
	return made
}

// run lets time pass until end and calls watch after each tick.
func (f *fleet) run(end time.Time, watch func()) {
	for f.now.Before(end) {
		f.now = f.now.Add(fleetTick)
		for index, node := range f.nodes {
			node.runUntil(f.now)
			if !f.now.Before(f.talkDue[index]) {
				f.talkDue[index] = f.talkDue[index].Add(fleetPeriod)
				f.talk(node, f.nodes[f.random.IntN(len(f.nodes))])
			}
		}
		watch()
	}
}

func (f *fleet) talk(from, to *reader) {
	probe, answer := from.Report(f.now), to.Report(f.now)
	if f.cut != "" && (probe.Zone == f.cut) != (answer.Zone == f.cut) {
		return
	}
	to.HeardReport(f.now.Add(fleetLink), probe)
	to.perform(f.now.Add(fleetLink))
	from.HeardReport(f.now.Add(2*fleetLink), answer)
	from.perform(f.now.Add(2 * fleetLink))
}

// setDown makes the store unreachable for every node, or reachable again.
func (f *fleet) setDown(down bool) {
	for _, node := range f.nodes {
		node.down = down
	}
}

// placing counts the nodes that may place work.
func (f *fleet) placing() int {
	count := 0
	for _, node := range f.nodes {
		if node.Freshness(f.now).MayPlace {
			count++
		}
	}
	return count
}

var _ = Describe("a fleet of 100 nodes in 10 zones", func() {
	It("goes on placing through an outage of the store, though each node talks to few others", func() {
		all := newFleet(100, 10)
		all.run(start.Add(20*time.Second), func() {})
		Expect(all.placing()).To(Equal(100))
		all.setDown(true)
		least := 100
		all.run(start.Add(2*time.Minute), func() { least = min(least, all.placing()) })
		Expect(least).To(Equal(100), "at every moment, every node")
	})

	It("stops placing on both sides when a zone is cut off during an outage", func() {
		all := newFleet(100, 10)
		all.run(start.Add(20*time.Second), func() {})
		all.setDown(true)
		all.run(start.Add(time.Minute), func() {})
		all.cut = "zone-3"
		all.run(start.Add(time.Minute+10*time.Second), func() {})
		Expect(all.placing()).To(BeZero())
	})

	It("never places under settings that were changed more than the bound ago", func() {
		all := newFleet(100, 10)
		all.run(start.Add(20*time.Second), func() {})
		all.setDown(true)
		all.run(start.Add(time.Minute), func() {})
		// The store is back for one zone alone, which nobody else can reach.
		all.cut = "zone-3"
		for _, node := range all.nodes {
			node.down = node.Report(all.now).Zone != "zone-3"
		}
		all.log.add(set("narrow", 1, "", zones("zone-3")))
		changed := all.now
		all.run(changed.Add(30*time.Second), func() {
			for _, node := range all.nodes {
				stale := node.Tree().Revision() < 2 && node.Freshness(all.now).MayPlace
				if stale && all.now.Sub(changed) >= contract.DefaultFollowerConfig().FreshnessBound {
					Fail(fmt.Sprintf("a node places under old settings %v after the change", all.now.Sub(changed)))
				}
			}
		})
		Expect(all.placing()).To(Equal(10), "the nodes of the zone that reaches the store")
	})
})

// BenchmarkSpread reports how long an accepted change takes to be in force on
// every node, and how many nodes stop placing when the store goes away.
func BenchmarkSpread(b *testing.B) {
	RegisterTestingT(b)
	for _, count := range []int{10, 50, 100, 200, 390} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				all := newFleet(count, min(10, count))
				all.run(start.Add(20*time.Second), func() {})
				spread := all.spread()
				b.ReportMetric(spread[len(spread)/2].Seconds(), "s-p50")
				b.ReportMetric(spread[len(spread)*99/100].Seconds(), "s-p99")
				fresh := all.reportBytes()
				all.setDown(true)
				stopped := 0
				all.run(all.now.Add(time.Minute), func() { stopped += count - all.placing() })
				b.ReportMetric(float64(stopped)*fleetTick.Seconds()/float64(count), "s-stopped/node")
				b.ReportMetric(fresh, "bytes/report")
				b.ReportMetric(all.reportBytes(), "bytes/report-outage")
			}
		})
	}
}

// reportBytes returns the mean length of the reports in JSON.
func (f *fleet) reportBytes() float64 {
	total := 0
	for _, node := range f.nodes {
		data, err := json.Marshal(node.Report(f.now))
		Expect(err).NotTo(HaveOccurred())
		total += len(data)
	}
	return float64(total) / float64(len(f.nodes))
}

// spread appends a change and returns how long each node took to have it.
func (f *fleet) spread() []time.Duration {
	changed := f.now
	f.log.add(set("spread", 1, "", contract.Values{Priority: pointer(1)}))
	var took []time.Duration
	having := map[*reader]bool{}
	f.run(changed.Add(20*time.Second), func() {
		for _, node := range f.nodes {
			if !having[node] && node.Tree().Revision() == 2 {
				having[node] = true
				took = append(took, f.now.Sub(changed))
			}
		}
	})
	slices.Sort(took)
	return took
}
