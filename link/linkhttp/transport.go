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

// The errors with which Send drops a message.
var (
	ErrQueueFull   = errors.New("the send queue of this peer is full")
	ErrBreakerOpen = errors.New("the circuit breaker of this peer is open")
	ErrClosed      = errors.New("the transport is closed")
)

// Transport sends messages to peers and receives messages from them. It is safe
// for concurrent use.
type Transport struct {
	config   Config
	counters counters

	mutex  sync.Mutex
	peers  map[machine.ID]*peer
	closed bool
	// senders counts the lanes that are sending.
	senders sync.WaitGroup
}

// peer holds the client and lanes of one other node.
type peer struct {
	address string
	client  *fasthttp.HostClient
	control *lane
	bulk    *lane
}

// New returns a transport. It opens connections on demand.
func New(config Config) (*Transport, error) {
	if err := config.validate(); err != nil {
		return nil, Error.Wrap(err)
	}
	return &Transport{config: config, peers: make(map[machine.ID]*peer)}, nil
}

// Send queues a message for a node and returns. It sets the message's sender
// and receiver. The caller must not modify data that the message refers to. An
// error means that the message was dropped; without one it may still be lost.
func (t *Transport) Send(to machine.Machine, message link.Message) error {
	message.From = t.config.Self
	message.To = to.ID
	if !t.config.permits(t.config.Zone, to.Zone) {
		// A network partition loses messages without an error.
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

// Close drops queued messages, stops the lanes and closes idle connections. It
// waits for requests in flight.
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

// Retain removes all peers except the given ones and closes their idle
// connections. The caller passes the known machines when their set changes.
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

// Counters returns the totals of what was sent and received.
func (t *Transport) Counters() Counters {
	return t.counters.read()
}

// peerOf returns the state of a peer, creating it for a new peer or a new
// address. The caller holds the mutex.
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

// laneOf returns the lane for a message. Small messages use the control lane, so
// that they do not wait behind large ones.
func (p *peer) laneOf(message link.Message) *lane {
	if message.Membership != nil || message.Load != nil || message.Drain {
		return p.control
	}
	return p.bulk
}

// connectionsPerPeer allows one connection for each lane.
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

// maxAnswerBytes bounds the body of an answer, which is empty or gives the reason
// of a refusal.
const maxAnswerBytes = 4 << 10

// retryClosedIdle allows one retry if the peer had closed the idle connection
// before it read the request.
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
