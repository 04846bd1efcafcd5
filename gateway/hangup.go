package gateway

import (
	"context"
	"net"
	"time"

	"birchwood.example/birchwood/connection"
)

// watchDisconnect cancels the wait once the caller has closed its connection, and
// returns a function that stops watching. fasthttp does not check a connection
// while a handler runs, so a disconnected caller would occupy a goroutine until
// the call ends. The call itself continues: the caller may request it again by
// its key.
func (g *Gateway) watchDisconnect(ctx context.Context, cancel context.CancelFunc, conn net.Conn) func() {
	probe, ok := connection.NewProbe(conn)
	if !ok {
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
				if probe.Closed() {
					cancel()
					return
				}
			}
		}
	}()
	return func() { close(stopped) }
}
