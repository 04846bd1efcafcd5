package connection

import (
	"errors"
	"net"
	"syscall"
)

// Probe looks at one connection. It is safe for concurrent use, also beside
// readers and writers of the connection.
type Probe struct {
	raw syscall.RawConn
}

// NewProbe returns the probe of a connection, or false when the connection has
// no descriptor to look at.
func NewProbe(conn net.Conn) (Probe, bool) {
	socket, hasDescriptor := conn.(syscall.Conn)
	if !hasDescriptor {
		return Probe{}, false
	}
	raw, err := socket.SyscallConn()
	return Probe{raw: raw}, err == nil
}

// Closed reports whether the peer has closed the connection or it broke. It
// looks at the next byte without taking it: bytes that wait to be read, and
// none so far, both mean that the connection is open.
func (p Probe) Closed() bool {
	closed := false
	var next [1]byte
	err := p.raw.Control(func(descriptor uintptr) {
		read, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !waiting && (err != nil || read == 0)
	})
	return closed || err != nil
}
