package edge

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
)

// maximumDatagram is the largest message that goes as a datagram, in bytes. A
// status and eight updates take about half of it. It is more than one Ethernet
// frame: a message that is cut into three is lost more often, and what asks for
// that not to happen goes over a connection.
const maximumDatagram = 4096

// datagrams exchanges the messages of the failure detector with other nodes. They
// are many, go to a random peer each, and may be lost: a connection for each would
// cost a node more than all the rest that it does while idle.
type datagrams struct {
	node *Node
	conn *net.UDPConn
}

// listenDatagrams opens the socket on the address of the node's peers.
func listenDatagrams(node *Node) (*datagrams, error) {
	address, err := netip.ParseAddrPort(node.settings.Peers)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return &datagrams{node: node, conn: conn}, nil
}

// send sends a message, or reports false where it has to go over a connection.
func (d *datagrams) send(outbound *coordinator.Outbound) bool {
	if !mayBeLost(&outbound.Message) {
		return false
	}
	to, err := netip.ParseAddrPort(outbound.To.Address)
	if err != nil {
		return false
	}
	body, err := json.Marshal(&outbound.Message)
	if err != nil || len(body) > maximumDatagram {
		return false
	}
	if _, err := d.conn.WriteToUDPAddrPort(body, to); err != nil {
		// As good as lost: the failure detector asks through others.
		d.node.metrics.datagram(datagramDropped)
		return true
	}
	d.node.metrics.datagram(datagramSent)
	return true
}

// mayBeLost reports whether a message is asked for again, or does without, where it
// does not arrive.
func mayBeLost(message *coordinator.PeerMessage) bool {
	if message.Handover != nil {
		return false
	}
	if message.Membership != nil {
		return !message.Membership.Reliable
	}
	return message.Charge != nil || message.Proof != nil || message.Gather != nil
}

// datagramPause follows an error of the socket, so that one that lasts does not take
// the processor.
const datagramErrorPause = 50 * time.Millisecond

// serve takes messages in until the socket closes.
func (d *datagrams) serve() error {
	go func() {
		<-d.node.ctx.Done()
		_ = d.conn.Close()
	}()
	buf := make([]byte, maximumDatagram)
	for {
		size, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			d.node.logger.Warn().Err(err).Msg("peers: datagram not received")
			wait.For(d.node.ctx, datagramErrorPause)
			continue
		}
		var message coordinator.PeerMessage
		if err := json.Unmarshal(buf[:size], &message); err != nil {
			d.node.metrics.datagram(datagramRefused)
			d.node.logger.Warn().Str("from", from.String()).Int("bytes", size).Err(err).Msg("peers: datagram not understood")
			continue
		}
		d.node.metrics.datagram(datagramReceived)
		d.node.control.post(coordinator.PeerReceived{Message: message})
	}
}
