package edge

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

// TestFirstAnswerOfALostReader checks that a follower that awaits the first answer of a
// reader gives up as soon as the reader is reported dead, but not while it counts as live.
func TestFirstAnswerOfALostReader(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	reader := machine.Machine{ID: "reader", Kind: machine.KindNode, Zone: "z", Address: listener.Addr().String(), Status: machine.StatusLive, Incarnation: 1}
	node.control.handleInput(coordinator.NodesDiscovered{Nodes: []machine.Machine{reader}})
	ended := make(chan error, 1)
	go func() {
		_, err := node.queryReader(node.ctx, reader, relayRequest{wait: relayWait})
		ended <- err
	}()
	silent, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = silent.Close() }()
	node.control.cancelLostReader()
	g.Consistently(ended, 0).ShouldNot(Receive(), "the reader lives")
	other := machine.Machine{ID: "other", Kind: machine.KindNode, Zone: "z", Incarnation: 1}
	update := &machine.Message{Kind: machine.MessageAnnounce, Updates: []machine.Update{{ID: reader.ID, Incarnation: reader.Incarnation, Status: machine.StatusDead}}}
	node.control.handleInput(coordinator.PeerReceived{Message: coordinator.PeerMessage{From: other, Membership: update}})
	node.control.cancelLostReader()
	g.Expect(<-ended).To(MatchError(context.Canceled))
}
