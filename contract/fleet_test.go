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

// Timing of the simulated messages: in each period, every node exchanges
// reports with one random node. Each message takes one link delay.
const (
	fleetPeriod    = time.Second
	fleetTick      = 50 * time.Millisecond
	fleetLinkDelay = 10 * time.Millisecond
)

// fleet simulates followers that exchange reports with random peers, in virtual
// time.
type fleet struct {
	log          *settingsLog
	nodes        []*driver
	zones        []zone.Name
	random       *rand.Rand
	now          time.Time
	nextExchange []time.Time
	// isolatedZone is a zone that no message enters or leaves.
	isolatedZone zone.Name
}

func newFleet(count, zoneCount int) *fleet {
	created := &fleet{log: &settingsLog{}, random: rand.New(rand.NewPCG(3, uint64(count))), now: start}
	for index := range zoneCount {
		created.zones = append(created.zones, zone.Name(fmt.Sprintf("zone-%d", index)))
	}
	created.log.add(set("root", 0, "", zones(created.zones...)))
	for index := range count {
		node := newDriver(created.log, machine.ID(fmt.Sprintf("node-%03d", index)), created.zones[index%zoneCount], created.zones...)
		node.run(start)
		created.nodes = append(created.nodes, node)
		created.nextExchange = append(created.nextExchange, start.Add(time.Duration(created.random.Int64N(int64(fleetPeriod)))))
	}
	return created
}

// run advances the simulation to end and calls observe after each tick.
func (f *fleet) run(end time.Time, observe func()) {
	for f.now.Before(end) {
		f.now = f.now.Add(fleetTick)
		for index, node := range f.nodes {
			node.runUntil(f.now)
			if !f.now.Before(f.nextExchange[index]) {
				f.nextExchange[index] = f.nextExchange[index].Add(fleetPeriod)
				f.exchangeReports(node, f.nodes[f.random.IntN(len(f.nodes))])
			}
		}
		observe()
	}
}

func (f *fleet) exchangeReports(from, to *driver) {
	probe, answer := from.Report(f.now), to.Report(f.now)
	if f.isolatedZone != "" && (probe.Zone == f.isolatedZone) != (answer.Zone == f.isolatedZone) {
		return
	}
	to.ObserveReport(f.now.Add(fleetLinkDelay), probe)
	to.perform(f.now.Add(fleetLinkDelay))
	from.ObserveReport(f.now.Add(2*fleetLinkDelay), answer)
	from.perform(f.now.Add(2 * fleetLinkDelay))
}

// setStoreDown makes the store unreachable or reachable for every node.
func (f *fleet) setStoreDown(storeDown bool) {
	for _, node := range f.nodes {
		node.storeDown = storeDown
	}
}

// mayPlaceCount returns the number of nodes that may start new work.
func (f *fleet) mayPlaceCount() int {
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
		Expect(all.mayPlaceCount()).To(Equal(100))
		all.setStoreDown(true)
		least := 100
		all.run(start.Add(2*time.Minute), func() { least = min(least, all.mayPlaceCount()) })
		Expect(least).To(Equal(100), "at every moment, every node")
	})

	It("stops placing on both sides when a zone is cut off during an outage", func() {
		all := newFleet(100, 10)
		all.run(start.Add(20*time.Second), func() {})
		all.setStoreDown(true)
		all.run(start.Add(time.Minute), func() {})
		all.isolatedZone = "zone-3"
		all.run(start.Add(time.Minute+10*time.Second), func() {})
		Expect(all.mayPlaceCount()).To(BeZero())
	})

	It("never places under settings that were changed more than the bound ago", func() {
		all := newFleet(100, 10)
		all.run(start.Add(20*time.Second), func() {})
		all.setStoreDown(true)
		all.run(start.Add(time.Minute), func() {})
		// The store is reachable again, but only from a zone that is partitioned
		// off from all others.
		all.isolatedZone = "zone-3"
		for _, node := range all.nodes {
			node.storeDown = node.Report(all.now).Zone != "zone-3"
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
		Expect(all.mayPlaceCount()).To(Equal(10), "the nodes of the zone that reaches the store")
	})
})

// BenchmarkSpread reports how long an accepted change takes to reach every
// node, and for how long nodes may not start work during an outage of the
// store.
func BenchmarkSpread(b *testing.B) {
	RegisterTestingT(b)
	for _, count := range []int{10, 50, 100, 200, 390} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				all := newFleet(count, min(10, count))
				all.run(start.Add(20*time.Second), func() {})
				changeLatencies := all.changeLatencies()
				b.ReportMetric(changeLatencies[len(changeLatencies)/2].Seconds(), "s-p50")
				b.ReportMetric(changeLatencies[len(changeLatencies)*99/100].Seconds(), "s-p99")
				freshBytes := all.reportBytes()
				all.setStoreDown(true)
				stopped := 0
				all.run(all.now.Add(time.Minute), func() { stopped += count - all.mayPlaceCount() })
				b.ReportMetric(float64(stopped)*fleetTick.Seconds()/float64(count), "s-stopped/node")
				b.ReportMetric(freshBytes, "bytes/report")
				b.ReportMetric(all.reportBytes(), "bytes/report-outage")
			}
		})
	}
}

// reportBytes returns the mean size of the reports in JSON.
func (f *fleet) reportBytes() float64 {
	total := 0
	for _, node := range f.nodes {
		data, err := json.Marshal(node.Report(f.now))
		Expect(err).NotTo(HaveOccurred())
		total += len(data)
	}
	return float64(total) / float64(len(f.nodes))
}

// changeLatencies appends a change and returns the sorted times that the nodes
// took to apply it.
func (f *fleet) changeLatencies() []time.Duration {
	changed := f.now
	f.log.add(set("spread", 1, "", contract.Values{Priority: pointer(1)}))
	var latencies []time.Duration
	updated := map[*driver]bool{}
	f.run(changed.Add(20*time.Second), func() {
		for _, node := range f.nodes {
			if !updated[node] && node.Tree().Revision() == 2 {
				updated[node] = true
				latencies = append(latencies, f.now.Sub(changed))
			}
		}
	})
	slices.Sort(latencies)
	return latencies
}
