package edge

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// The typical times until a starting node has read what it needs: in a small fleet all
// lists of the store, in a large one what its reader passes on.
const (
	typicalStart      = 300 * time.Millisecond
	typicalStartLarge = 1500 * time.Millisecond
)

// retryAfterStart returns the delay after which a client that was refused by a starting
// node should retry. The client has reached a starting node because most nodes are
// starting; otherwise the platform would have sent it to another one. A client that retries
// sooner uses up its few tries before any node can serve it.
func (n *Node) retryAfterStart() time.Duration {
	typical := typicalStart
	if n.role() != roleAlone {
		typical = typicalStartLarge
	}
	return max(typical-time.Since(n.started), retrySoon)
}

// ready reports whether the node can serve clients. An isolated node cannot: it would
// refuse turns that other nodes could serve.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.isolatedSince.Load() == nil && n.knowsMarked.Load() && n.syncedConfiguration.Load() && n.syncedReplicas.Load() && n.routes.Current() != nil
}

// serveReadiness serves the platform's readiness probe.
func (n *Node) serveReadiness(listener net.Listener) error {
	routes := router.New()
	routes.GET(n.adapter.ReadyPath, func(ctx *fasthttp.RequestCtx) {
		if !n.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	server := &fasthttp.Server{Handler: routes.Handler, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{}}
	go func() {
		<-n.ctx.Done()
		_ = listener.Close()
	}()
	return server.Serve(listener)
}
