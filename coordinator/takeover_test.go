package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// The records in the partitions of these tests, and the delay of a page when a takeover
// takes seconds.
const (
	accountsHeld = 20
	turnsHeld    = 130
	slowPage     = 1500 * time.Millisecond
	zoneCount    = 4
	// lossObservation covers the takeovers after a loss, and handovers to the nodes that
	// rank first afterwards.
	lossObservation = 9 * time.Second
)

// zoneByName assigns a node to a zone by the last digit of its name.
func zoneByName(id machine.ID) zone.Name {
	return zone.Name(fmt.Sprintf("zone-%d", int(id[len(id)-1]-'0')%zoneCount))
}

// newFilledFleet returns a settled fleet with several zones whose partitions contain
// accounts and stored turns.
func newFilledFleet(t *testing.T, seed uint64, nodes, partitions int) *fleet {
	world := newFleet(seed, 0, partitions)
	world.expect = gomega.NewWithT(t).Expect
	world.zoneOf = zoneByName
	for index := range nodes {
		world.start(machine.ID(fmt.Sprintf("node-%02d", index)))
	}
	world.list()
	for _, stream := range world.store {
		stream.fill()
	}
	world.run(settled)
	return world
}

func (s *streamState) fill() {
	put := func(key, value string) { s.records[key] = ledger.Record{Key: key, Value: []byte(value)} }
	for index := range accountsHeld {
		put(fmt.Sprintf("account/p%03d", index), `{"mark":100,"retain_ms":60000}`)
	}
	for index := range turnsHeld {
		put(fmt.Sprintf("turn/t%03d", index), `{"program":"p","input":"aQ==","output":"bw==","retain_ms":60000}`)
	}
}

// resetCounts resets the counts of ownership changes.
func (f *fleet) resetCounts() {
	clear(f.gainedAt)
	clear(f.handovers)
}

// mostGains returns the highest number of times that a partition changed owners, not
// counting its clean handover, of which it expects at most one. It also returns the longest
// time after since until a partition was served again.
func (f *fleet) mostGains(since time.Time) (most int, last time.Duration) {
	for partition, gainedAt := range f.gainedAt {
		f.expect(f.handovers[partition]).To(gomega.BeNumerically("<=", 1))
		most = max(most, len(gainedAt)-f.handovers[partition])
		last = max(last, gainedAt[0].Sub(since))
	}
	return most, last
}

// expectOwners expects each partition to have one owner.
func expectOwners(world *fleet) {
	for partition := range world.partitions {
		world.expect(world.owners(partition)).To(gomega.HaveLen(1), "partition %d", partition)
	}
}

// killEveryNth kills each node whose index is a multiple of every.
func killEveryNth(world *fleet, every int) {
	for index, id := range world.ids() {
		if index%every == 0 {
			world.kill(id)
		}
	}
}

// cutZone cuts the nodes of a zone off from all others. All nodes still reach the store.
func cutZone(world *fleet, cut zone.Name) {
	var inside, outside []machine.ID
	for _, id := range world.ids() {
		if zoneByName(id) == cut {
			inside = append(inside, id)
		} else {
			outside = append(outside, id)
		}
	}
	for _, id := range world.ids() {
		world.nodes[id].reachable = outside
		if slices.Contains(inside, id) {
			world.nodes[id].reachable = inside
		}
	}
}

// fleetSize is a size of fleet for which takeovers are tested.
type fleetSize struct{ nodes, partitions int }

// fleetSizes are the sizes for which each takeover is tested. largestFleet has many more
// nodes than partitions.
var (
	fleetSizes   = []fleetSize{{11, 24}, {74, 24}, {74, 400}}
	largestFleet = fleetSize{295, 24}
)

// forEachSize runs a test in parallel for several sizes. The fleets share no state.
func forEachSize(t *testing.T, fleets []fleetSize, run func(t *testing.T, size fleetSize)) {
	t.Helper()
	for _, size := range fleets {
		t.Run(fmt.Sprintf("%d nodes, %d partitions", size.nodes, size.partitions), func(t *testing.T) {
			t.Parallel()
			run(t, size)
		})
	}
}

// reportGains logs the ownership changes since a time, and returns the most of any
// partition.
func reportGains(t *testing.T, world *fleet, since time.Time) int {
	t.Helper()
	most, last := world.mostGains(since)
	t.Logf("changes of hands %d, time to the last partition's first turn %v", most, last)
	return most
}

// TestTakeoversAfterTheLossOfHalfTheNodes checks that takeovers converge although each
// takes seconds.
func TestTakeoversAfterTheLossOfHalfTheNodes(t *testing.T) {
	forEachSize(t, append(slices.Clone(fleetSizes), largestFleet), func(t *testing.T, size fleetSize) {
		world := newFilledFleet(t, 31, size.nodes, size.partitions)
		world.resetCounts()
		world.pageDelay = slowPage
		killEveryNth(world, 2)
		since := world.now
		world.run(lossObservation)
		world.expect(reportGains(t, world, since)).To(gomega.Equal(1))
		expectOwners(world)
	})
}

// TestTakeoversAfterTheLossOfAllNodes checks that takeovers converge although each takes
// seconds.
func TestTakeoversAfterTheLossOfAllNodes(t *testing.T) {
	forEachSize(t, fleetSizes, func(t *testing.T, size fleetSize) {
		world := newFilledFleet(t, 32, size.nodes, size.partitions)
		ids := world.ids()
		world.resetCounts()
		world.pageDelay = slowPage
		killEveryNth(world, 1)
		world.run(step)
		for _, id := range ids {
			world.start(id)
		}
		world.list()
		since := world.now
		world.run(lossObservation)
		world.expect(reportGains(t, world, since)).To(gomega.Equal(1))
		expectOwners(world)
	})
}

// TestTakeoversWhileAZoneIsCutOff checks that partitions do not move back and forth
// although the zone that is cut off reaches the store.
func TestTakeoversWhileAZoneIsCutOff(t *testing.T) {
	forEachSize(t, fleetSizes, func(t *testing.T, size fleetSize) {
		world := newFilledFleet(t, 33, size.nodes, size.partitions)
		world.resetCounts()
		cutZone(world, "zone-1")
		since := world.now
		world.run(14 * time.Second)
		world.expect(reportGains(t, world, since)).To(gomega.Equal(1))
		world.resetCounts()
		world.heal()
		world.run(7 * time.Second)
		world.expect(reportGains(t, world, world.now)).To(gomega.BeZero())
		expectOwners(world)
	})
}

// TestTakeoversWhileAZoneIsCutOffAndMessagesAreLost checks that takeovers converge although
// the store is slow.
func TestTakeoversWhileAZoneIsCutOffAndMessagesAreLost(t *testing.T) {
	t.Parallel()
	world := newFilledFleet(t, 34, 74, 24)
	world.resetCounts()
	world.pageDelay = slowPage
	world.lossRate = 0.05
	cutZone(world, "zone-1")
	killEveryNth(world, 5)
	since := world.now
	world.run(20 * time.Second)
	world.expect(reportGains(t, world, since)).To(gomega.Equal(1))
}
