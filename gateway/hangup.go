package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// watchHangUp cancels the wait once the caller has closed its connection.
// fasthttp does not look at a connection while a handler runs, so a caller
// that left would hold its goroutine until the call ends. The call itself
// goes on: the caller may ask for it again by its key.
func (g *Gateway) watchHangUp(ctx context.Context, cancel context.CancelFunc, conn net.Conn) func() {
	raw := rawConn(conn)
	if raw == nil {
		return func() {}
	}
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(g.config.KeepAlive)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
				if closedByPeer(raw) {
					cancel()
					return
				}
			}
		}
	}()
	return func() { close(stopped) }
}

// rawConn returns the connection's descriptor, or nil when it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// closedByPeer looks at the next byte without taking it: an end of the stream
// or an error means that nobody reads the answer.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	var next [1]byte
	err := raw.Control(func(descriptor uintptr) {
		read, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := err == syscall.EAGAIN || err == syscall.EINTR
		closed = !waiting && (err != nil || read == 0)
	})
	return closed || err != nil
}
