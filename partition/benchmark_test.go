package partition

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"birchwood.example/birchwood/machine"
)

// benchmarkValue has the size of a typical record of a program.
var benchmarkValue = strings.Repeat("x", 300)

// newBenchmarkCluster returns a cluster that does not check values, and its
// owner.
func newBenchmarkCluster(b *testing.B, adjust func(*Config)) (*cluster, *simulatedNode) {
	c := newCluster(1, fiveNodes, adjust)
	c.skipChecks = true
	if !c.runUntil(settleTime, c.hasOwner) {
		b.Fatal("no owner")
	}
	return c, c.owner()
}

func proposeRaw(b *testing.B, c *cluster, node *simulatedNode, payload json.RawMessage) {
	if _, err := node.replica.Propose(c.now, payload); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkProposeMirrors measures a record from Propose to Confirmed, in
// groups of ten: the processor time of all nodes together, the virtual time
// with a log of 5 ms and links of 2 ms, and the bytes sent to mirrors.
func BenchmarkProposeMirrors(b *testing.B) {
	const group = 10
	payload, _ := json.Marshal(benchmarkValue)
	cases := []struct {
		name    string
		mirrors int
		down    bool
	}{
		{"mirrors=0/store=up", 0, false},
		{"mirrors=3/store=up", 3, false},
		{"mirrors=3/store=down", 3, true},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			c, owner := newBenchmarkCluster(b, func(config *Config) {
				config.MirrorCount = test.mirrors
				config.MaximumUnconfirmedBytes = 1 << 40
				config.SnapshotEvery = 1 << 40
			})
			c.log.down = test.down
			if test.down {
				proposeRaw(b, c, owner, payload)
				c.settle(owner)
				c.runUntil(settleTime, func() bool { return c.confirmations > 0 })
			}
			c.confirmations, c.mirrorBytes = 0, 0
			started := c.now
			b.ReportAllocs()
			for b.Loop() {
				want := c.confirmations + group
				for range group {
					proposeRaw(b, c, owner, payload)
				}
				c.settle(owner)
				c.runUntil(settleTime, func() bool { return c.confirmations >= want })
			}
			records := float64(c.confirmations)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/records, "ns/record")
			b.ReportMetric(float64(c.now.Sub(started).Microseconds())/1000/(records/group), "virtual-ms/group")
			b.ReportMetric(float64(c.mirrorBytes)/records, "mirror-B/record")
		})
	}
}

// BenchmarkRecover measures the takeover of a dead owner's partition, from the
// time when the view shows the death: the processor time, the virtual time with
// a log of 5 ms per request, and the entries read. The state has one record per
// program; history is the number of records that were written for each program.
func BenchmarkRecover(b *testing.B) {
	cases := []struct {
		programs, history int
		snapshots         bool
	}{
		{10, 1, false}, {1000, 1, false}, {100_000, 1, false},
		{1000, 100, false}, {10, 100, true}, {1000, 100, true},
	}
	for _, test := range cases {
		name := fmt.Sprintf("programs=%d/history=%d/snapshots=%t", test.programs, test.history, test.snapshots)
		b.Run(name, func(b *testing.B) {
			c, owner := newBenchmarkCluster(b, nil)
			writeHistory(b, c, owner, test.programs, test.history, test.snapshots)
			b.ReportAllocs()
			takeovers, reads, entries := 0, 0, 0
			var waited time.Duration
			for b.Loop() {
				old := c.owner()
				started := c.now
				c.log.reads, c.log.readEntries = 0, 0
				c.crash(old)
				if !c.runUntil(settleTime, c.hasOwner) {
					b.Fatal("no owner")
				}
				waited += c.now.Sub(started)
				takeovers++
				reads += c.log.reads
				entries += c.log.readEntries
				b.StopTimer()
				c.restart(old)
				c.run(20 * time.Second)
				b.StartTimer()
			}
			b.ReportMetric(float64(waited.Microseconds())/1000/float64(takeovers), "virtual-ms")
			b.ReportMetric(float64(entries)/float64(takeovers), "entries-read")
			b.ReportMetric(float64(reads)/float64(takeovers), "reads")
		})
	}
}

// writeHistory has the owner write the records of its programs.
func writeHistory(b *testing.B, c *cluster, owner *simulatedNode, programs, history int, snapshots bool) {
	payload, _ := json.Marshal(benchmarkValue)
	state := make([]string, programs)
	for index := range state {
		state[index] = benchmarkValue
	}
	written := 0
	for range programs * history {
		proposeRaw(b, c, owner, payload)
		written++
		if written%1000 != 0 {
			continue
		}
		c.settle(owner)
		c.run(50 * time.Millisecond)
		if snapshots && owner.replica.WantsSnapshot() {
			owner.state = state
			c.snapshot(owner)
		}
	}
	c.settle(owner)
	c.run(time.Second)
	if owner.replica.Unconfirmed() > 0 {
		b.Fatal("the history is not in the log")
	}
}

func benchmarkNodes(count int) []machine.Machine {
	var nodes []machine.Machine
	for index := range count {
		id := machine.ID(fmt.Sprintf("10.0.%d.%d:7000", index/250, index%250))
		nodes = append(nodes, machine.Machine{ID: id, Zone: threeZones[index%len(threeZones)]})
	}
	return nodes
}

// BenchmarkOwner measures the choice of an owner among the nodes of a fleet.
func BenchmarkOwner(b *testing.B) {
	for _, count := range []int{10, 390} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			nodes := benchmarkNodes(count)
			id := ID{Group: "koudeketting~triage"}
			b.ReportAllocs()
			for b.Loop() {
				id.Index++
				if _, found := Owner(id, "isando_midrand-a_midrand-b", nodes, ""); !found {
					b.Fatal("no owner")
				}
			}
		})
	}
}
