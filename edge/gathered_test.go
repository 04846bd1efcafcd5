package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// TestGatherLoads checks that gathering is off if its own switch or that of peer loads is
// off.
func TestGatherLoads(t *testing.T) {
	g := NewWithT(t)
	configOf := func(settings Settings) coordinator.Config {
		return coreConfig(settings, machine.Machine{ID: "n"}, rand.New(rand.NewPCG(1, 2)))
	}
	g.Expect(configOf(Settings{}).DisableGathering).To(BeFalse())
	g.Expect(configOf(without(GatherLoads)).DisableGathering).To(BeTrue())
	g.Expect(configOf(without(CountPeerLoads)).DisableGathering).To(BeTrue())
}

// TestTotalsOfOtherLists checks that totals of replicas that this node does not hold are
// ignored.
func TestTotalsOfOtherLists(t *testing.T) {
	g := NewWithT(t)
	settings := Settings{}
	replicas := newReplicas(&settings)
	replicas.set.SetNodes(9)
	for _, id := range []replica.ID{"a", "b"} {
		replicas.put(replica.Entry{ID: id, Service: "s", Status: replica.StatusReady, Slots: 8})
	}
	now := time.Now()
	totals := &gather.Totals{Nodes: 8, At: now, Counts: map[gather.Key]int{gather.KeyOf("a"): 5, gather.KeyOf("c"): 7}}
	replicas.applyLoadTotals(now, totals)
	choice, err := replicas.set.Select(now, &replica.Request{Service: "s", Only: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.Load).To(Equal(5))
	choice, err = replicas.set.Select(now, &replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.Entry.ID).To(Equal(replica.ID("b")))
	g.Expect(choice.Load).To(BeZero())
}

// TestGatherGoesByDatagram checks that messages about loads are sent as datagrams rather
// than over a connection.
func TestGatherGoesByDatagram(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mayBeLost(&coordinator.PeerMessage{Gather: &gather.Message{}})).To(BeTrue())
}
