package edge

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// What a node that starts has read after its start, as a rule: in a small fleet all of the
// store's lists, in a large one what its reader passes on.
const (
	typicalStart      = 300 * time.Millisecond
	typicalStartLarge = 1500 * time.Millisecond
)

// comeBackAtStart is when a client that is refused by a node that has just started is to
// come back. It is here because most nodes start: else the platform sends it to others. A
// client that comes back sooner uses its few tries up before anybody can serve it.
func (n *Node) retryAfterStart() time.Duration {
	typical := typicalStart
	if n.role() != roleAlone {
		typical = typicalStartLarge
	}
	return max(typical-time.Since(n.started), retrySoon)
}

// ready reports whether the node can serve clients. One that is cut off cannot:
// it would refuse turns that other nodes could serve.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.isolatedSince.Load() == nil && n.syncedConfiguration.Load() && n.syncedReplicas.Load() && n.routes.Current() != nil
}

// serveReadiness answers the platform's question for readiness.
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
