package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4096

// conn is one connection to a replica.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// openedAt is when the connection was opened. forget removes it from those of its replica.
	openedAt time.Time
	forget   func()
	// idleSince is when the last exchange on the connection ended.
	idleSince time.Time
	// idleLimit is how long the replica keeps the connection open while idle.
	idleLimit time.Duration
}

func newConn(socket net.Conn, idleLimit time.Duration) *conn {
	connection := &conn{
		Conn:      socket,
		reader:    bufio.NewReaderSize(socket, bufferBytes),
		writer:    bufio.NewWriterSize(socket, bufferBytes),
		idleLimit: idleLimit,
		openedAt:  time.Now(),
		forget:    func() {},
	}
	if descriptor, ok := socket.(syscall.Conn); ok {
		connection.raw, _ = descriptor.SyscallConn()
	}
	return connection
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.forget()
	return c.Conn.Close()
}

// reusable reports whether the connection is open and has no unread bytes.
// Unread bytes belong to an extra answer that no request expects.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	reusable := false
	var next [1]byte
	err := c.raw.Control(func(descriptor uintptr) {
		_, _, err := unix.Recvfrom(int(descriptor), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
	})
	return err == nil && reusable
}

// tcpStateClose is TCP_CLOSE in the state of a tcp_info: the connection was reset or has failed.
const tcpStateClose = 7

// delivery is what has become of the bytes that were sent on a connection.
type delivery struct {
	// failed is set if the connection was reset or has failed.
	failed bool
	// complete is set if the peer's system has received all bytes.
	complete bool
}

// delivery returns what has become of the bytes that were sent. Unlike the errors of reads and
// writes, of which one alone reports a reset, it can be asked at any time. known is false for a
// socket whose system does not tell.
func (c *conn) delivery() (state delivery, known bool) {
	if c.raw == nil {
		return delivery{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		// This side has closed the socket.
		return delivery{failed: true}, true
	}
	if infoErr != nil {
		return delivery{}, false
	}
	return delivery{failed: info.State == tcpStateClose, complete: info.Unacked == 0 && info.Notsent_bytes == 0}, true
}

// usable reports whether a request may be sent on the connection, which is idle.
func (c *conn) usable(now time.Time) bool { return c.withinIdleLimit(now) && c.reusable() }

// withinIdleLimit reports whether the connection has been idle for less than
// the replica's limit.
func (c *conn) withinIdleLimit(now time.Time) bool { return now.Sub(c.idleSince) < c.idleLimit }

// setUserTimeout limits how long sent bytes may stay unacknowledged and enables
// keep-alive probes, so that a machine that stops responding is detected. It
// also disables Nagle's algorithm.
func setUserTimeout(socket net.Conn, timeout time.Duration) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveProbes})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// The keep-alive settings have the shortest idle time and interval that TCP
// permits.
const (
	keepAliveIdle   = time.Second
	keepAliveProbes = 2
)
