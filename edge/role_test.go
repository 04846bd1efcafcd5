package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// TestNodeOfALargeFleetFollowsBeforeItKnowsReplicas checks that a node that has many
// other nodes but no replica follows a reader. If all nodes read the replicas from the
// store instead, the store would answer none of them in time.
func TestNodeOfALargeFleetFollowsBeforeItKnowsReplicas(t *testing.T) {
	g := NewWithT(t)
	settings := Settings{Node: "n", Zone: "a"}
	node := &Node{settings: settings, replicas: newReplicas(&settings)}
	node.roles.Store(&coordinator.Roles{Readers: []machine.Machine{{ID: "reader"}}, Sources: []machine.Machine{{ID: "source"}}})
	node.liveNodes.Store(984)
	g.Expect(node.role()).To(Equal(roleFollower))
	node.liveNodes.Store(60)
	g.Expect(node.role()).To(Equal(roleAlone))
	// The number that a reader reports counts, not the part that this node holds.
	node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
	node.replicas.setTotal(10_000)
	g.Expect(node.role()).To(Equal(roleFollower))
}

// TestFollowersDivideAmongReaders checks that the nodes of a zone are distributed evenly
// over its readers, and query those of other zones last.
func TestFollowersDivideAmongReaders(t *testing.T) {
	g := NewWithT(t)
	roles := coordinator.Roles{Readers: []machine.Machine{{ID: "r1"}, {ID: "r2"}}, RemoteReaders: []machine.Machine{{ID: "far1"}, {ID: "far2"}}}
	first := make(map[machine.ID]int)
	for index := range 200 {
		settings := Settings{Node: fmt.Sprintf("front-%d", index), Zone: "a"}
		node := &Node{settings: settings}
		order := node.orderReaders(roles)
		g.Expect(order).To(HaveLen(4))
		g.Expect(order[:2]).To(ConsistOf(roles.Readers[0], roles.Readers[1]))
		first[order[0].ID]++
	}
	g.Expect(first["r1"]).To(BeNumerically("~", 100, 30))
}

// TestReadsForProofsSpreadOut checks that nodes that lack a proof read less and less often.
// With a proof late for five seconds, 2,000 nodes use at most one in sixteen of the store's
// 16,000 calls a second.
func TestReadsForProofsSpreadOut(t *testing.T) {
	g := NewWithT(t)
	const nodes = 2_000
	node := keyNode(g, Settings{}, true)
	defer node.Kill()
	g.Expect(node.lacksProof()).To(BeTrue())
	var elapsed time.Duration
	reads := 0
	for elapsed < 20*time.Second {
		pause := node.configurationPause()
		elapsed += pause
		if elapsed > 5*time.Second {
			reads++
		}
	}
	g.Expect(float64(reads) / 15 * nodes).To(BeNumerically("<", 2_500))
	node.freshnessProof.record(time.Now().Add(time.Hour))
	g.Expect(node.configurationPause()).To(Equal(configurationPause))
}

// TestContactWhileAReadWaits checks that the store counts as reached while a read of it
// waits and a reader answers, and no longer once either fails.
func TestContactWhileAReadWaits(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	now := time.Now()
	node.started = now.Add(-time.Hour)
	node.store.last = now.Add(-10 * time.Second)
	node.readerAnsweredAt.Store(int64(time.Since(node.started)))
	g.Expect(node.reachesStore()).To(BeFalse())
	node.store.setPending(now.Add(time.Minute))
	g.Expect(node.reachesStore()).To(BeTrue())
	node.readerAnsweredAt.Store(int64(time.Since(node.started) - 3*time.Second))
	g.Expect(node.reachesStore()).To(BeFalse(), "cut off from all")
	node.readerAnsweredAt.Store(int64(time.Since(node.started)))
	node.store.setPending(time.Time{})
	g.Expect(node.reachesStore()).To(BeFalse(), "the read failed")
}

// TestListOfNodesIsReadByFew checks that the nodes of one partition agree on the one that
// reads the whole list, whatever the order of their lists of nodes.
func TestListOfNodesIsReadByFew(t *testing.T) {
	g := NewWithT(t)
	var nodes []machine.Machine
	for index := range 41 {
		nodes = append(nodes, machine.Machine{ID: machine.ID(fmt.Sprintf("node-%d", index)), Weight: 1 + float64(index%6)})
	}
	first := rankDirectory(nodes)
	g.Expect(first).To(HaveLen(directoryReaders))
	for offset := range nodes {
		g.Expect(rankDirectory(rotate(nodes, offset))).To(Equal(first))
	}
}

// TestRetryAfterStart checks that a client of a starting node gets the expected time until
// the node is ready as its retry delay: longer in a large fleet, and never zero.
func TestRetryAfterStart(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	node.started = time.Now()
	g.Expect(node.retryAfterStart()).To(BeNumerically("~", typicalStart, typicalStart/2))
	node.roles.Store(&coordinator.Roles{})
	node.liveNodes.Store(984)
	g.Expect(node.retryAfterStart()).To(BeNumerically(">", typicalStart))
	node.started = time.Now().Add(-time.Minute)
	g.Expect(node.retryAfterStart()).To(Equal(retrySoon))
}
