package edge

import (
	"net"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

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
	server := &fasthttp.Server{Handler: routes.Handler, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: silent{}}
	go func() {
		<-n.ctx.Done()
		_ = listener.Close()
	}()
	return server.Serve(listener)
}
