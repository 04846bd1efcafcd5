package linkhttp

import (
	"errors"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

// The reasons for which Send drops a message.
var (
	ErrQueueFull   = errors.New("too many messages wait for this peer")
	ErrBreakerOpen = errors.New("the peer keeps failing")
	ErrClosed      = errors.New("the transport is closed")
)

// Transport sends messages to peers and receives theirs. It is safe for
// concurrent use.
type Transport struct {
	config   Config
	counters counters

	mutex  sync.Mutex
	peers  map[machine.ID]*peer
	closed bool
	// senders counts the lanes that are sending.
	senders sync.WaitGroup
}

// peer is what is kept for one other node.
type peer struct {
	address string
	client  *fasthttp.HostClient
	control *lane
	bulk    *lane
}

// New returns a transport without connections.
func New(config Config) (*Transport, error) {
	if err := config.validate(); err != nil {
		return nil, Error.Wrap(err)
	}
	return &Transport{config: config, peers: make(map[machine.ID]*peer)}, nil
}

// Send queues a message for a node and returns. It sets the message's sender
// and receiver. The caller must not change what the message points to. An
// error says that the message was dropped; without one it may still be lost.
func (t *Transport) Send(to machine.Machine, message link.Message) error {
	message.From = t.config.Self
	message.To = to.ID
	if !t.config.permits(t.config.Zone, to.Zone) {
		// A cut link loses messages without a word.
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return Error.Wrap(ErrClosed)
	}
	receiver, err := t.peerOf(to)
	if err != nil {
		return err
	}
	if err := receiver.laneOf(message).enqueue(message); err != nil {
		t.counters.dropped.Add(1)
		return Error.Wrap(err)
	}
	return nil
}

// Close drops what waits, ends the lanes and closes idle connections. It
// returns after the requests that are under way.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	for _, known := range t.peers {
		known.control.clear()
		known.bulk.clear()
	}
	t.mutex.Unlock()
	t.senders.Wait()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.peers {
		known.client.CloseIdleConnections()
	}
}

// Retain forgets all peers except the given ones, with their connections. The
// caller names the machines that are known when their set changes.
func (t *Transport) Retain(known []machine.Machine) {
	wanted := make(map[machine.ID]bool, len(known))
	for _, entry := range known {
		wanted[entry.ID] = true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, held := range t.peers {
		if !wanted[id] {
			t.removePeer(id, held)
		}
	}
}

// Counters returns what was sent and received so far.
func (t *Transport) Counters() Counters {
	return t.counters.read()
}

// peerOf returns the peer's state, made anew when its address has changed.
// The mutex is held.
func (t *Transport) peerOf(to machine.Machine) (*peer, error) {
	known, ok := t.peers[to.ID]
	if ok && known.address == to.Address {
		return known, nil
	}
	if ok {
		t.removePeer(to.ID, known)
	}
	created := &peer{address: to.Address, client: t.newClient(to.Address)}
	var err error
	if created.control, err = t.newLane(created); err != nil {
		return nil, err
	}
	if created.bulk, err = t.newLane(created); err != nil {
		return nil, err
	}
	t.peers[to.ID] = created
	return created, nil
}

func (t *Transport) removePeer(id machine.ID, known *peer) {
	delete(t.peers, id)
	known.control.clear()
	known.bulk.clear()
	known.client.CloseIdleConnections()
}

// laneOf keeps large messages away from small ones.
func (p *peer) laneOf(message link.Message) *lane {
	if message.Membership != nil || message.Load != nil || message.Drain {
		return p.control
	}
	return p.bulk
}

// connectionsPerPeer is one for each lane.
const connectionsPerPeer = 2

func (t *Transport) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          t.dial,
		MaxConns:                      connectionsPerPeer,
		MaxIdleConnDuration:           t.config.IdleTimeout,
		ReadTimeout:                   t.config.RequestTimeout,
		WriteTimeout:                  t.config.RequestTimeout,
		MaxResponseBodySize:           maxAnswerBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		RetryIfErr:                    retryClosedIdle,
	}
}

// maxAnswerBytes bounds the body of an answer, which is empty or a reason.
const maxAnswerBytes = 4 << 10

// retryClosedIdle permits one more attempt when the peer had closed the kept
// connection before it read the request.
func retryClosedIdle(_ *fasthttp.Request, attempts int, err error) (resetTimeout, retry bool) {
	return false, attempts == 1 && errors.Is(err, fasthttp.ErrConnectionClosed)
}

func (t *Transport) dial(address string) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, t.config.DialTimeout)
	if err != nil {
		return nil, err
	}
	return &countedConnection{Conn: connection, counters: &t.counters}, nil
}
