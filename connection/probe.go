package connection

import (
	"errors"
	"net"
	"syscall"
)

// Probe checks one connection. It is safe for concurrent use, also with readers
// and writers of the connection.
type Probe struct {
	raw syscall.RawConn
}

// NewProbe returns a probe of a connection, or false if the connection has no
// file descriptor.
func NewProbe(conn net.Conn) (Probe, bool) {
	socket, hasDescriptor := conn.(syscall.Conn)
	if !hasDescriptor {
		return Probe{}, false
	}
	raw, err := socket.SyscallConn()
	return Probe{raw: raw}, err == nil
}

// Closed reports whether the peer has closed the connection or the connection has
// failed. It peeks at the next byte without consuming it: a connection with unread
// bytes, or with none so far, counts as open.
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
