package ingress

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	peek "birchwood.example/birchwood/connection"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// ErrClientGone is the cancellation cause of an exchange whose client has
// disconnected.
var ErrClientGone = errors.New("the client has left")

// connection is one client connection. Its goroutine reads and handles one
// request at a time.
type connection struct {
	server *Server
	socket net.Conn
	probe  peek.Probe
	// reader and writer are taken from the pool at the first byte of a request.
	// They are returned after the response unless bytes of the next request are
	// already buffered.
	reader    *bufio.Reader
	writer    *bufio.Writer
	firstByte [1]byte
	// exchange is the one in progress; nil while the connection is idle.
	exchange atomic.Pointer[Exchange]
	// closing is set when the connection is to be closed after the current
	// response, or at once if it is idle.
	closing atomic.Bool
}

const (
	writeBufferBytes = 4096
	// spareHeadBytes is the buffer space beyond the head limit. A head that
	// exceeds the limit by less is read and refused after parsing; a larger one
	// cannot be read.
	spareHeadBytes     = 1024
	minHeadBufferBytes = 4096
)

func newConnection(server *Server, socket net.Conn) *connection {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	probe, _ := peek.NewProbe(socket)
	return &connection{server: server, socket: socket, probe: probe}
}

// serve handles the connection's requests one after the other.
func (c *connection) serve() {
	defer func() { _ = c.socket.Close() }()
	for c.serveOne() {
		if c.reader.Buffered() == 0 {
			c.release()
		}
	}
	if c.reader != nil {
		c.release()
	}
}

// release returns the connection's buffers to the pool.
func (c *connection) release() {
	c.server.buffers.release(c.reader, c.writer)
	c.reader, c.writer = nil, nil
}

// serveOne handles one request and reports whether another may follow.
func (c *connection) serveOne() bool {
	limits := c.server.config.Limits()
	if !c.awaitRequest(limits) {
		return false
	}
	exchange := &Exchange{connection: c, Cancel: &upstream.Cancel{}, Arrived: time.Now()}
	if c.server.config.Memory != nil {
		exchange.Memory = c.server.config.Memory.Holder()
		defer exchange.Memory.Release()
	}
	c.exchange.Store(exchange)
	defer c.exchange.Store(nil)
	if rejected := exchange.read(limits); rejected != nil {
		exchange.keepAlive = false
		exchange.refuse(rejected)
		return false
	}
	if c.probe.Closed() {
		// The client disconnected before its request was read.
		return false
	}
	c.server.config.Handler(exchange)
	if !exchange.ended {
		exchange.Abort()
	}
	return exchange.keepAlive && !c.closing.Load()
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest(limits routing.Limits) bool {
	_ = c.socket.SetDeadline(deadlineIn(limits.IdleTimeout))
	if c.reader != nil {
		_, err := c.reader.Peek(1)
		return err == nil
	}
	if read, _ := c.socket.Read(c.firstByte[:]); read == 0 {
		return false
	}
	c.reader = c.server.buffers.reader(c.socket, c.firstByte[:], max(minHeadBufferBytes, limits.HeaderBytes+spareHeadBytes))
	c.writer = c.server.buffers.writer(c.socket)
	return true
}

// deadlineIn returns the current time plus timeout, or the zero time (no
// deadline) if timeout is not positive.
func deadlineIn(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// closeIdle closes the connection if it is idle; otherwise the connection
// closes after the exchange in progress.
func (c *connection) closeIdle() {
	c.closing.Store(true)
	if c.exchange.Load() == nil {
		_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	}
}

// checkClient cancels the exchange in progress if the client has disconnected.
func (c *connection) checkClient() {
	exchange := c.exchange.Load()
	if exchange != nil && exchange.requestRead.Load() && c.probe.Closed() {
		exchange.Cancel.Trigger(ErrClientGone)
	}
}

// rejection describes why a request is refused before it reaches the handler.
type rejection struct {
	status int
	reason string
	// retryAfter is when the client may try again; 0 if that would be in vain.
	retryAfter time.Duration
	// silent closes the connection without a response, since the client has
	// disconnected.
	silent bool
}

func rejectionOf(err error) *rejection {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return &rejection{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "the head is larger than the limit"}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &rejection{status: fasthttp.StatusRequestTimeout, reason: "the request did not come in time"}
	case isDisconnect(err):
		return &rejection{silent: true}
	default:
		return &rejection{status: fasthttp.StatusBadRequest, reason: "not a valid HTTP/1.1 request"}
	}
}
