package httpclient

import (
	"errors"
	"net"

	"birchwood.example/birchwood/connection"
)

// errClosedIdle reports that the server closed a connection between two requests.
var errClosedIdle = errors.New("the server has closed the idle connection")

// idleConn checks, before the first byte of a request is written, whether the
// server has closed the idle connection. Such a request fails as not sent; without
// the check its outcome would be unknown. A connection is used by one goroutine at
// a time.
type idleConn struct {
	net.Conn
	probe connection.Probe
	// responseRead is true after a read: the next write begins a request on a
	// connection that may have been idle.
	responseRead bool
}

// newIdleConn wraps a connection, whose responses it also checks. A connection without a file
// descriptor is not probed.
func newIdleConn(conn net.Conn) net.Conn {
	checked := connection.CheckResponses(conn)
	probe, hasDescriptor := connection.NewProbe(conn)
	if !hasDescriptor {
		return checked
	}
	return &idleConn{Conn: checked, probe: probe}
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
