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

// placeWords reads records whose key is a zone after a dash: a value evacuates it.
type evacuationTranslator struct{ Translator }

func (evacuationTranslator) Configuration(string, []byte) (*routing.Table, error) { return nil, nil }

func (evacuationTranslator) Evacuation(key string, value []byte) (zone.Name, bool, bool) {
	name, ok := strings.CutPrefix(key, "-")
	return zone.Name(name), len(value) > 0, ok
}

// placeNode returns a node in zone "here" that knows a replica there and one in "far".
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

// TestEvacuationsFromTheStore has the choice follow records that come, are emptied, and
// are gone from a whole read.
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

// TestEvacuationsFromPeers has a node that is cut off take over a newer state alone, and
// have the version go along in its statuses.
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

// TestHomesOfARequest are those of its route and of its tenant together.
func TestHomesOfARequest(t *testing.T) {
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

// TestHistoriesOutside of a request's homes are not remembered.
func TestHistoriesOutside(t *testing.T) {
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

// TestEvacuationsOfAPeerThatIsAhead are asked for by a node that hears of their version.
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

// TestVersionsOfEvacuations go along in the statuses of nodes, both ways.
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

// TestOwnersOutside get no turn to keep, and none is begun for them to keep.
func TestOwnersOutside(t *testing.T) {
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
