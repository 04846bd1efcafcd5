package httpclient

import (
	"errors"
	"net"
	"syscall"
)

// errClosedIdle says that the server closed a connection between two requests.
var errClosedIdle = errors.New("the server has closed the idle connection")

// idleConn notices, before the first byte of a request, that the server closed
// the connection while it was idle. Nothing of such a request was sent, and
// nothing can come of it; without the look its outcome would be unknown. One
// goroutine at a time uses a connection.
type idleConn struct {
	net.Conn
	raw syscall.RawConn
	// answered is set once something was read: what is written next begins a
	// request on a connection that may have been idle.
	answered bool
}

// newIdleConn wraps a connection. One without a descriptor stays as it is.
func newIdleConn(connection net.Conn) net.Conn {
	socket, hasDescriptor := connection.(syscall.Conn)
	if !hasDescriptor {
		return connection
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return connection
	}
	return &idleConn{Conn: connection, raw: raw}
}

// Read implements net.Conn.
func (c *idleConn) Read(buffer []byte) (int, error) {
	c.answered = true
	return c.Conn.Read(buffer)
}

// Write implements net.Conn.
func (c *idleConn) Write(text []byte) (int, error) {
	if c.answered && c.closedByServer() {
		return 0, &NotSentError{Cause: errClosedIdle}
	}
	c.answered = false
	return c.Conn.Write(text)
}

// closedByServer looks at the next byte without taking it: there is none while
// an idle connection is open.
func (c *idleConn) closedByServer() bool {
	closed := false
	var next [1]byte
	err := c.raw.Control(func(descriptor uintptr) {
		read, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !waiting && (err != nil || read == 0)
	})
	return closed || err != nil
}
