package httpclient

import (
	"errors"
	"net"

	"birchwood.example/birchwood/connection"
)

// errClosedIdle says that the server closed a connection between two requests.
var errClosedIdle = errors.New("the server has closed the idle connection")

// idleConn notices, before the first byte of a request, that the server closed
// the connection while it was idle. Nothing of such a request was sent, and
// nothing can come of it; without the look its outcome would be unknown. One
// goroutine at a time uses a connection.
type idleConn struct {
	net.Conn
	probe connection.Probe
	// responseRead is set once something was read: what is written next begins a
	// request on a connection that may have been idle.
	responseRead bool
}

// newIdleConn wraps a connection. One without a descriptor stays as it is.
func newIdleConn(conn net.Conn) net.Conn {
	probe, hasDescriptor := connection.NewProbe(conn)
	if !hasDescriptor {
		return conn
	}
	return &idleConn{Conn: conn, probe: probe}
}

// Read implements net.Conn.
func (c *idleConn) Read(buffer []byte) (int, error) {
	c.responseRead = true
	return c.Conn.Read(buffer)
}

// Write implements net.Conn.
func (c *idleConn) Write(text []byte) (int, error) {
	if c.responseRead && c.probe.Closed() {
		return 0, &NotSentError{Cause: errClosedIdle}
	}
	c.responseRead = false
	return c.Conn.Write(text)
}
