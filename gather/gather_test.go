package gather_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// propagationTime is the longest time until all nodes have received a change. It takes
// a report, a sum and the answer to the next report, each of which waits for its node's
// next tick.
const propagationTime = 4 * tickPeriod

// TestIdleNodeReceivesTotals checks that a node without requests receives the totals of
// the others.
func TestIdleNodeReceivesTotals(t *testing.T) {
	g := NewWithT(t)
	w := newFleetSimulation(3, 1)
	w.setRequests(0, "r1", 3)
	w.setRequests(1, "r1", 2)
	w.setRequests(1, "r2", 7)
	w.run(2 * propagationTime)
	g.Expect(w.receivedRequests(2, "r1")).To(Equal(5))
	g.Expect(w.receivedRequests(2, "r2")).To(Equal(7))
	g.Expect(w.nodes[2].received.Nodes).To(Equal(2))
	// A node's totals exclude its own requests.
	g.Expect(w.receivedRequests(0, "r1")).To(Equal(2))
	g.Expect(w.receivedRequests(1, "r2")).To(BeZero())
}

// TestChangePropagates checks that a change reaches all zones in time and is never
// counted twice on the way.
func TestChangePropagates(t *testing.T) {
	g := NewWithT(t)
	w := newFleetSimulation(30, 3)
	for index := range w.nodes {
		w.setRequests(index, "busy", 1)
	}
	w.run(3 * propagationTime)
	for round := range 5 {
		id := replica.ID(fmt.Sprint("r", round))
		w.setRequests(7+round, id, 4)
		w.run(propagationTime, func() {
			for index := range w.nodes {
				g.Expect(w.receivedRequests(index, id)).To(BeNumerically("<=", 4))
			}
		})
		for index := range w.nodes {
			want := 4
			if index == 7+round {
				want = 0
			}
			g.Expect(w.receivedRequests(index, id)).To(Equal(want), "node %d round %d", index, round)
			g.Expect(w.receivedRequests(index, "busy")).To(Equal(29))
		}
	}
}

// newBusyFleet returns a fleet in which all nodes have requests at one
// replica and have received the totals.
func newBusyFleet(g *WithT, count, zones int) *fleetSimulation {
	w := newFleetSimulation(count, zones)
	for index := range w.nodes {
		w.setRequests(index, "r", 2)
	}
	w.run(3 * propagationTime)
	for index := range w.nodes {
		g.Expect(w.receivedRequests(index, "r")).To(Equal(2 * (count - 1)))
	}
	return w
}

// TestCollectorLost checks that the next collector in the ranking takes over from a
// dead one, both before and after the nodes know that it is dead, and that the dead
// node's requests expire.
func TestCollectorLost(t *testing.T) {
	for _, deadUnranked := range []bool{false, true} {
		g := NewWithT(t)
		w := newBusyFleet(g, 30, 3)
		w.deadUnranked = deadUnranked
		w.nodes[0].dead = true
		w.run(time.Second)
		for _, n := range w.live() {
			g.Expect(n.received.Counts[gather.KeyOf("r")]).To(Equal(2*28), string(n.self.ID))
			g.Expect(n.received.Nodes).To(Equal(28))
		}
	}
}

// TestCollectorFrozen checks that nodes leave a frozen collector for the next one and
// return to it later, and that few requests are counted twice meanwhile.
func TestCollectorFrozen(t *testing.T) {
	g := NewWithT(t)
	w := newBusyFleet(g, 30, 3)
	w.nodes[0].frozen = true
	excess, received := 0, 0
	count := func() {
		for _, n := range w.live() {
			received += 2 * 29
			excess += max(0, n.received.Counts[gather.KeyOf("r")]-2*29)
		}
	}
	w.run(3*time.Second, count)
	for _, n := range w.live() {
		g.Expect(n.received.Counts[gather.KeyOf("r")]).To(Equal(2*28), string(n.self.ID))
	}
	g.Expect(w.nodes[3].lostCollectors).To(ContainElement(machine.ID("n0000")))
	w.nodes[0].frozen = false
	w.run(4*time.Second, count)
	for _, n := range w.live() {
		g.Expect(n.received.Counts[gather.KeyOf("r")]).To(Equal(2*29), string(n.self.ID))
	}
	t.Logf("counted twice: %.4f of all", float64(excess)/float64(received))
	g.Expect(excess).To(BeNumerically("<", received/100))
}

// TestUnresponsiveCollector checks that nodes retry an unresponsive collector less and
// less often.
func TestUnresponsiveCollector(t *testing.T) {
	g := NewWithT(t)
	w := newFleetSimulation(20, 2)
	w.nodes[0].frozen = true
	for index := range w.nodes {
		w.setRequests(index, "r", 2)
	}
	w.run(30 * time.Second)
	// Retries come after 2, 4, 8 and 16 s, plus the time that each attempt takes.
	g.Expect(len(w.nodes[4].lostCollectors)).To(And(BeNumerically(">=", 3), BeNumerically("<=", 5)))
	g.Expect(w.receivedRequests(5, "r")).To(Equal(2 * 18))
}

// TestNodeLost checks that the requests of a dead node expire.
func TestNodeLost(t *testing.T) {
	g := NewWithT(t)
	w := newBusyFleet(g, 9, 3)
	w.nodes[8].dead = true
	w.run(time.Second)
	g.Expect(w.receivedRequests(7, "r")).To(Equal(2 * 7))
}

// TestNetworkPartition checks that during a network partition each side receives the
// totals of its own nodes only, and that the totals state how many nodes they cover.
func TestNetworkPartition(t *testing.T) {
	g := NewWithT(t)
	w := newBusyFleet(g, 30, 3)
	w.isolated = "z1"
	w.run(time.Second)
	g.Expect(w.nodes[1].received.Nodes).To(Equal(9))
	g.Expect(w.receivedRequests(1, "r")).To(Equal(2 * 9))
	g.Expect(w.nodes[2].received.Nodes).To(Equal(19))
	g.Expect(w.receivedRequests(2, "r")).To(Equal(2 * 19))
	w.isolated = ""
	w.run(time.Second)
	g.Expect(w.receivedRequests(1, "r")).To(Equal(2 * 29))
}

// TestMessagesLost checks that nodes keep receiving recent totals under message loss.
func TestMessagesLost(t *testing.T) {
	g := NewWithT(t)
	w := newBusyFleet(g, 30, 3)
	w.loss = 0.2
	w.run(time.Second)
	for _, n := range w.nodes {
		n.receivedCount = 0
	}
	w.run(4 * time.Second)
	for _, n := range w.nodes {
		// Of 40 reports a share of 0.64 is answered, less those to a collector that is
		// avoided meanwhile.
		g.Expect(n.receivedCount).To(BeNumerically(">", 16), string(n.self.ID))
		g.Expect(w.now.Sub(n.received.At)).To(BeNumerically("<", time.Second))
	}
}

// TestDisabled checks that nothing is sent in a fleet too small to need collectors.
func TestDisabled(t *testing.T) {
	g := NewWithT(t)
	w := newFleetSimulation(9, 3)
	w.disabled = true
	w.setRequests(0, "r", 1)
	w.run(time.Second)
	for _, n := range w.nodes {
		g.Expect(n.sent).To(BeZero())
		g.Expect(n.received).To(BeNil())
	}
}

// TestFalseReports checks that false reports change the totals by a bounded amount and
// that malformed ones are rejected.
func TestFalseReports(t *testing.T) {
	g := NewWithT(t)
	w := newBusyFleet(g, 6, 1)
	faulty := w.nodes[5].self
	w.nodes[5].dead = true
	key := binary.BigEndian.AppendUint32(nil, uint32(gather.KeyOf("r")))
	huge := binary.AppendUvarint(key, 1<<62)
	collector := w.nodes[0].core
	number := uint64(w.now.UnixMilli()) + 1_000_000
	for _, message := range []gather.Message{
		{Kind: gather.KindReport, Number: number, Nodes: -5, Age: -time.Hour, Counts: huge},
		{Kind: gather.KindReport, Number: number + 1, Nodes: 1 << 40, Age: 1 << 60, Counts: huge},
	} {
		g.Expect(collector.Receive(w.now, faulty, message)).To(Succeed())
		w.run(2 * tickPeriod)
		g.Expect(w.receivedRequests(1, "r")).To(BeNumerically("<=", 2*4+128))
		g.Expect(w.nodes[1].received.Nodes).To(Equal(5))
	}
	for _, counts := range [][]byte{key, key[:3], slices.Concat(key, []byte{0xff}), slices.Concat(key, make([]byte, 3))} {
		err := collector.Receive(w.now, faulty, gather.Message{Kind: gather.KindReport, Number: number + 2, Counts: counts})
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(collector.Receive(w.now, faulty, gather.Message{Kind: "else"})).To(Succeed())
}

// TestTokenTimes checks that token times are the median of the nodes' reports.
func TestTokenTimes(t *testing.T) {
	g := NewWithT(t)
	w := newFleetSimulation(9, 3)
	for index, n := range w.nodes {
		n.loads["r"] = replica.Report{TokenTime: time.Duration(1000+index) * time.Microsecond, Samples: 4}
	}
	w.nodes[4].loads["r"] = replica.Report{TokenTime: time.Hour, Samples: 1 << 40}
	received := make(map[int]gather.TokenTimeEstimate)
	w.run(4*time.Second, func() {
		for index, n := range w.nodes {
			if n.received != nil && n.received.TokenTimes != nil {
				received[index] = n.received.TokenTimes[gather.KeyOf("r")]
			}
		}
	})
	g.Expect(received).To(HaveLen(9))
	for index, estimate := range received {
		g.Expect(estimate.TokenTime).To(BeNumerically("~", time.Millisecond, 20*time.Microsecond), "node %d", index)
		g.Expect(estimate.Samples).To(BeNumerically(">", 0))
	}
}

// TestManyReplicas checks that totals that can't list all replicas favour those with
// requests from local nodes, and are marked as partial.
func TestManyReplicas(t *testing.T) {
	g := NewWithT(t)
	w := newFleetSimulation(16, 2)
	for index := range w.nodes {
		for number := range 40 {
			w.setRequests(index, replica.ID(fmt.Sprint("r", index, "-", number)), 1)
		}
	}
	w.run(2 * time.Second)
	w.setRequests(2, "late", 3)
	w.run(2 * propagationTime)
	for _, index := range []int{4, 8} {
		received := w.nodes[index].received
		g.Expect(received.Partial).To(BeTrue())
		g.Expect(w.receivedRequests(index, "late")).To(Equal(3))
		g.Expect(len(received.Counts)).To(BeNumerically("<=", 350))
		local := 0
		for number := range 40 {
			local += w.receivedRequests(index, replica.ID(fmt.Sprint("r", 2, "-", number)))
		}
		g.Expect(local).To(BeNumerically(">", 30))
	}
	few := newBusyFleet(g, 20, 2)
	g.Expect(few.nodes[0].received.Partial).To(BeFalse())
}

// TestCountsOfAnotherList checks that a node ignores counts in the order of a list that
// it does not hold.
func TestCountsOfAnotherList(t *testing.T) {
	g := NewWithT(t)
	w := newBusyFleet(g, 6, 1)
	n := w.nodes[5]
	received := n.receivedCount
	for _, message := range []gather.Message{
		{Kind: gather.KindTotals, ListHash: 7, Counts: []byte{9}},
		{Kind: gather.KindTotals, ListHash: 7, Keys: []byte{1, 2, 3, 4}, Counts: []byte{9}},
	} {
		// One of the numbers is that of the outstanding report.
		w.run(tickPeriod)
		for number := range uint64(100) {
			message.Number = uint64(time.Unix(1000, 0).UnixMilli()) + number
			_ = n.core.Receive(w.now, w.nodes[0].self, message)
			g.Expect(n.core.Ready().Totals).To(BeNil())
		}
	}
	w.run(propagationTime)
	g.Expect(n.receivedCount).To(BeNumerically(">", received))
	g.Expect(w.receivedRequests(5, "r")).To(Equal(10))
}

// TestBudget limits the messages and bytes of the exchange for the average node and for
// a collector, and the mean age of the totals, in fleets under load.
func TestBudget(t *testing.T) {
	for _, size := range []struct {
		nodes, zones, replicas, mean, collector int
		age                                     time.Duration
	}{
		{73, 3, 84, 7_000, 120_000, 200 * time.Millisecond}, {300, 6, 240, 7_000, 300_000, 400 * time.Millisecond},
		{984, 10, 2_000, 7_000, 450_000, 800 * time.Millisecond},
	} {
		g := NewWithT(t)
		w := newFleetSimulation(size.nodes, size.zones)
		for index, n := range w.nodes {
			for range 10 {
				// A node's requests are at replicas of its own zone.
				number := index%size.zones + size.zones*w.random.IntN(size.replicas/size.zones)
				n.loads[replica.ID(fmt.Sprint("r", number))] = replica.Report{Requests: 1, TokenTime: time.Millisecond, Samples: 3}
			}
		}
		w.run(time.Second)
		for _, n := range w.nodes {
			n.sent, n.bytes, n.receivedCount, n.totalAge = 0, 0, 0, 0
		}
		const seconds = 2
		w.run(seconds * time.Second)
		sent, bytes, maxBytes, maxSent, received, totalAge := 0, 0, 0, 0, 0, time.Duration(0)
		for _, n := range w.nodes {
			sent, bytes = sent+n.sent, bytes+n.bytes
			received, totalAge = received+n.receivedCount, totalAge+n.totalAge
			maxBytes, maxSent = max(maxBytes, n.bytes), max(maxSent, n.sent)
		}
		t.Logf("%d nodes: a node %.1f messages, %d bytes a second; a collector %d, %d; age %v", size.nodes,
			float64(sent)/seconds/float64(size.nodes), bytes/seconds/size.nodes, maxSent/seconds, maxBytes/seconds, totalAge/time.Duration(received))
		g.Expect(bytes / seconds / size.nodes).To(BeNumerically("<", size.mean))
		g.Expect(maxBytes / seconds).To(BeNumerically("<", size.collector))
		g.Expect(totalAge / time.Duration(received)).To(BeNumerically("<", size.age))
	}
}
