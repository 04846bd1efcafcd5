package edge

import (
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// evacuationTranslator decodes records whose key is a dash and a zone: a non-empty value
// means that the zone is evacuated.
type evacuationTranslator struct{ Translator }

func (evacuationTranslator) Configuration(string, []byte) (*routing.Table, error) { return nil, nil }

func (evacuationTranslator) Evacuation(key string, value []byte) (zone.Name, bool, bool) {
	name, ok := strings.CutPrefix(key, "-")
	return zone.Name(name), len(value) > 0, ok
}

// zoneNode returns a node in zone "here" that has a replica there and one in zone "far".
func zoneNode(g *WithT) *Node {
	node, err := New(Settings{
		Node: "n", Zone: "here", Partitions: 1, Regions: zone.Topology{"here": "home", "far": "away"},
	}, Adapter{Translator: evacuationTranslator{}}, quietLogger)
	g.Expect(err).NotTo(HaveOccurred())
	for _, zoneName := range []string{"here", "far"} {
		node.replicas.put(replica.Entry{ID: replica.ID(zoneName), Service: "s", Zone: zoneName, Status: replica.StatusReady, Slots: 4})
	}
	return node
}

func selectedReplica(g *WithT, node *Node) replica.ID {
	choice, err := node.replicas.choose(&replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	node.replicas.ended(choice.Entry.ID, replica.ResultAnswered)
	return choice.Entry.ID
}

func evacuationRecord(key, value string, offset uint64) recordstore.Record {
	return recordstore.Record{Key: key, Value: []byte(value), Offset: offset}
}

// TestEvacuationsFromTheStore checks that the selection of replicas follows records that
// are added, emptied, or missing in a complete read.
func TestEvacuationsFromTheStore(t *testing.T) {
	g := NewWithT(t)
	node := zoneNode(g)
	defer node.Kill()
	node.applyConfigurations(nil, 4)
	node.configurationCaughtUp(time.Now())
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("here")))
	node.applyConfigurationRecord(evacuationRecord("-here", "{}", 4))
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("far")))
	node.applyConfigurationRecord(evacuationRecord("-here", "", 5))
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("here")))
	node.applyConfigurationRecord(evacuationRecord("-here", "{}", 6))
	node.applyConfigurations([]recordstore.Record{evacuationRecord("-here", "{}", 6)}, 5)
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("far")))
	node.applyConfigurations(nil, 8)
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("here")), "the record is gone")
	node.applyConfigurationRecord(evacuationRecord("else", "{}", 9))
	g.Expect(node.evacuations.version()).To(Equal(uint64(10)))
}

// TestEvacuationsFromPeers checks that a node applies a peer's evacuated zones only if they
// are newer than its own.
func TestEvacuationsFromPeers(t *testing.T) {
	g := NewWithT(t)
	node := zoneNode(g)
	defer node.Kill()
	peer := machine.Machine{ID: "peer"}
	requestedAt := time.Now()
	node.adoptEvacuations(peer, requestedAt, evacuation.Snapshot{Version: 7, EvacuatedForMS: map[zone.Name]int64{"here": 900}})
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("far")))
	node.adoptEvacuations(peer, requestedAt, evacuation.Snapshot{Version: 6})
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("far")), "an older state")
	node.adoptEvacuations(peer, requestedAt, evacuation.Snapshot{Version: 8})
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("here")))
	g.Expect(node.evacuations.snapshot(time.Now()).Version).To(Equal(uint64(8)))
}

// TestConstraintOfARequest checks that the zone constraint of a request combines those of
// its route and of its tenant.
func TestConstraintOfARequest(t *testing.T) {
	g := NewWithT(t)
	node := zoneNode(g)
	defer node.Kill()
	request := &requestState{
		route: &routing.Route{Regions: []zone.Region{"home", "away"}, Retain: true}, tenant: &tenant.Tenant{Regions: []zone.Region{"away"}},
	}
	g.Expect(node.constrainZones(request)).To(BeTrue())
	g.Expect(request.constraint.Placement()).To(Equal(zone.NewPlacement("far")))
	g.Expect(node.selectionRequest(request).Constraint).To(Equal(request.constraint))
}

// TestChainsOutsideConstraint checks that a node outside of a request's zone constraint
// does not cache its chain.
func TestChainsOutsideConstraint(t *testing.T) {
	g := NewWithT(t)
	node := zoneNode(g)
	defer node.Kill()
	for id, region := range map[string]zone.Region{"a": "home", "b": "away"} {
		request := &requestState{id: id, route: &routing.Route{Regions: []zone.Region{region}}}
		g.Expect(node.constrainZones(request)).To(BeTrue())
		node.cacheChain(request, []byte("words"))
		_, found := node.chains.get(time.Now(), id)
		g.Expect(found).To(Equal(region == "home"))
	}
}

// TestEvacuationsOfAPeerThatIsAhead checks that a node fetches the evacuated zones of a
// peer that reports a newer version.
func TestEvacuationsOfAPeerThatIsAhead(t *testing.T) {
	g := NewWithT(t)
	ahead, node := zoneNode(g), zoneNode(g)
	defer ahead.Kill()
	defer node.Kill()
	ahead.applyConfigurationRecord(evacuationRecord("-here", "{}", 6))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = ahead.peers.serve(listener) }()
	from := machine.Machine{ID: "ahead", Address: listener.Addr().String()}
	node.observeVersion(from, 0, 0)
	g.Expect(node.config.fetching).To(BeFalse(), "nothing newer")
	node.observeVersion(from, 0, ahead.evacuations.version())
	g.Eventually(node.evacuations.version).WithTimeout(30 * time.Second).Should(Equal(uint64(7)))
	g.Expect(selectedReplica(g, node)).To(Equal(replica.ID("far")))
}

// TestVersionsOfEvacuations checks that statuses carry the version of the evacuated zones,
// in both directions.
func TestVersionsOfEvacuations(t *testing.T) {
	g := NewWithT(t)
	node := zoneNode(g)
	defer node.Kill()
	node.applyConfigurationRecord(evacuationRecord("-here", "{}", 6))
	now := time.Now()
	peer := machine.Machine{
		ID: "peer", Kind: machine.KindNode, Zone: "far", Address: "127.0.0.1:1", Status: machine.StatusLive, Incarnation: 1,
	}
	core := node.control.core
	core.Step(now, coordinator.PeerReceived{Message: coordinator.PeerMessage{
		From: peer, Status: &coordinator.Status{ReachesStore: true, Evacuations: 9},
	}})
	g.Expect(core.Ready().Loads).To(ContainElement(HaveField("Evacuations", uint64(9))))
	node.control.report(now)
	var versions []uint64
	for step := range 40 {
		core.Step(now.Add(time.Duration(step)*25*time.Millisecond), coordinator.Tick{})
		for _, message := range core.Ready().Messages {
			if message.Message.Status != nil {
				versions = append(versions, message.Message.Status.Evacuations)
			}
		}
	}
	g.Expect(versions).To(ContainElement(uint64(7)))
}

// TestOwnersOutsideConstraint checks that an owner outside of the request's zone constraint
// gets no turn to store, and no admission of one that it would have to store.
func TestOwnersOutsideConstraint(t *testing.T) {
	g := NewWithT(t)
	node := zoneNode(g)
	defer node.Kill()
	keep, admit := &coordinator.Request{Keep: &coordinator.KeepRequest{}}, &coordinator.Request{Admit: &coordinator.AdmitRequest{}}
	settle := &coordinator.Request{Settle: nil, Find: &coordinator.FindRequest{}}
	request := &requestState{route: &routing.Route{Retain: true, Regions: []zone.Region{"home"}}}
	g.Expect(node.constrainZones(request)).To(BeTrue())
	near, far := machine.Machine{ID: "p", Zone: "here"}, machine.Machine{ID: "q", Zone: "far"}
	for _, call := range []*coordinator.Request{keep, admit} {
		g.Expect(node.mayCallOwner(request, near, call)).To(BeTrue())
		g.Expect(node.mayCallOwner(request, far, call)).To(BeFalse())
		g.Expect(node.mayCallOwner(request, node.self, call)).To(BeTrue())
	}
	g.Expect(node.mayCallOwner(request, far, settle)).To(BeTrue(), "no body goes along")
	free := &requestState{route: &routing.Route{Retain: true}}
	g.Expect(node.mayCallOwner(free, far, keep)).To(BeTrue())
	g.Expect(node.mayCallOwner(&requestState{}, far, admit)).To(BeTrue(), "a question beside a request")
}
