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

// maximumDatagram is the maximum size of a message that is sent as a datagram, in bytes. A
// status and eight updates take about half of it. It exceeds one Ethernet frame: a message
// that is split into three fragments is lost more often, but messages that must not be lost
// are sent over a connection.
const maximumDatagram = 4096

// datagrams exchanges the messages of the failure detector with other nodes. There are many
// of them, each goes to a random peer, and they may be lost. Sending each over a connection
// of its own would cost an idle node more than everything else it does.
type datagrams struct {
	node *Node
	conn *net.UDPConn
}

// listenDatagrams opens the socket on the node's peer address.
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

// send sends a message, or returns false if it has to be sent over a connection.
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
		// Treated as a lost datagram: the failure detector probes through other nodes.
		d.node.metrics.datagram(datagramDropped)
		return true
	}
	d.node.metrics.datagram(datagramSent)
	return true
}

// mayBeLost reports whether the loss of a message is tolerated: it is either requested
// again or not needed.
func mayBeLost(message *coordinator.PeerMessage) bool {
	if message.Handover != nil {
		return false
	}
	if message.Membership != nil {
		return !message.Membership.Reliable
	}
	return message.Claim != nil || message.Quarantine != nil || message.Charge != nil || message.Proof != nil || message.Gather != nil
}

// datagramErrorPause is the pause after a socket error, so that a persistent one does not
// keep a processor busy.
const datagramErrorPause = 50 * time.Millisecond

// serve receives messages until the socket is closed.
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
			d.node.logger.Warn().Err(err).Msg("peers: receiving a datagram failed")
			wait.For(d.node.ctx, datagramErrorPause)
			continue
		}
		var message coordinator.PeerMessage
		if err := json.Unmarshal(buf[:size], &message); err != nil {
			d.node.metrics.datagram(datagramRefused)
			d.node.logger.Warn().Str("from", from.String()).Int("bytes", size).Err(err).Msg("peers: datagram could not be decoded")
			continue
		}
		d.node.metrics.datagram(datagramReceived)
		d.node.control.post(coordinator.PeerReceived{Message: message})
	}
}
