package edge

import (
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

// probe returns a message of the failure detector to a peer.
func probe(to string, message machine.Message) *coordinator.Outbound {
	return &coordinator.Outbound{
		To:      machine.Machine{ID: "peer", Address: to},
		Message: coordinator.PeerMessage{From: machine.Machine{ID: "n"}, Membership: &message},
	}
}

// datagramNode returns a node with an open datagram socket.
func datagramNode(g *WithT) *Node {
	node, err := New(Settings{Node: "n", Zone: "z", Partitions: 1, Peers: "127.0.0.1:0"}, Adapter{}, quietLogger)
	g.Expect(err).NotTo(HaveOccurred())
	node.peers.datagrams, err = listenDatagrams(node)
	g.Expect(err).NotTo(HaveOccurred())
	return node
}

// TestDatagramsCarryWhatMayBeLost checks that datagrams carry only messages that may be
// lost and are small enough; all others are left to connections.
func TestDatagramsCarryWhatMayBeLost(t *testing.T) {
	g := NewWithT(t)
	peer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = peer.Close() }()
	node := datagramNode(g)
	defer node.Kill()
	datagrams, address := node.peers.datagrams, peer.LocalAddr().String()

	g.Expect(datagrams.send(probe(address, machine.Message{Kind: machine.MessageProbe, Sequence: 7}))).To(BeTrue())
	buf := make([]byte, maximumDatagram)
	size, err := peer.Read(buf)
	g.Expect(err).NotTo(HaveOccurred())
	var received coordinator.PeerMessage
	g.Expect(json.Unmarshal(buf[:size], &received)).To(Succeed())
	g.Expect(received.Membership.Sequence).To(Equal(uint64(7)))

	g.Expect(datagrams.send(probe(address, machine.Message{Kind: machine.MessageProbeFor, Reliable: true}))).To(BeFalse())
	large := machine.Message{Kind: machine.MessageGossip, Target: machine.ID(strings.Repeat("x", maximumDatagram))}
	g.Expect(datagrams.send(probe(address, large))).To(BeFalse())
	handover := probe(address, machine.Message{Kind: machine.MessageProbe})
	handover.Message.Handover = &coordinator.Handover{}
	g.Expect(datagrams.send(handover)).To(BeFalse())
	status := &coordinator.Outbound{To: machine.Machine{Address: address}, Message: coordinator.PeerMessage{Status: &coordinator.Status{}}}
	g.Expect(datagrams.send(status)).To(BeFalse())
}

// TestUndecodableDatagrams checks that datagrams that cannot be decoded are
// skipped, and the next one is received.
func TestUndecodableDatagrams(t *testing.T) {
	g := NewWithT(t)
	node := datagramNode(g)
	ended := make(chan error, 1)
	go func() { ended <- node.peers.datagrams.serve() }()
	sender, err := net.Dial("udp4", node.peers.datagrams.conn.LocalAddr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = sender.Close() }()
	whole, err := json.Marshal(probe("", machine.Message{Kind: machine.MessageAck, Sequence: 9}).Message)
	g.Expect(err).NotTo(HaveOccurred())
	for _, body := range [][]byte{[]byte("{"), {}, whole} {
		_, err := sender.Write(body)
		g.Expect(err).NotTo(HaveOccurred())
	}
	event := (<-node.control.inbox).(coordinator.PeerReceived)
	g.Expect(event.Message.Membership.Sequence).To(Equal(uint64(9)))
	node.Kill()
	g.Expect(<-ended).To(MatchError(net.ErrClosed))
}
