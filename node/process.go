package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/link/linkhttp"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
)

// Process is a node with its HTTP servers, ready to serve.
type Process struct {
	Node      *Node
	gateway   *gateway.Gateway
	operator  *operator.Server
	transport *linkhttp.Transport
	logger    *log.Logger
	callers   *fasthttp.Server
	failed    chan error
}

// newProcess combines the routes of callers and peers on one server.
func newProcess(node *Node, callers *gateway.Gateway, operators *operator.Server, transport *linkhttp.Transport, logger *log.Logger) *Process {
	server := callers.Server()
	callerHandler := server.Handler
	peerHandler := transport.Handler(node.Receive)
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case linkhttp.Path:
			peerHandler(ctx)
		case settingsPath:
			servePeer(ctx, transport, node.serveSettings)
		default:
			callerHandler(ctx)
		}
	}
	return &Process{
		Node: node, gateway: callers, operator: operators, transport: transport,
		logger: logger, callers: server, failed: make(chan error, 2),
	}
}

// servePeer calls the handler only if the request carries the peer token.
func servePeer(ctx *fasthttp.RequestCtx, transport *linkhttp.Transport, handler fasthttp.RequestHandler) {
	if !transport.Authorized(ctx) {
		ctx.Error("peer token required", fasthttp.StatusUnauthorized)
		return
	}
	handler(ctx)
}

// Start starts the node and serves callers and peers on one listener and
// operators on the other.
func (p *Process) Start(callers, operators net.Listener) {
	p.Node.Start()
	go func() { p.failed <- p.callers.Serve(callers) }()
	go func() { p.failed <- p.operator.Server().Serve(operators) }()
	p.logger.Info().Str("address", callers.Addr().String()).Msg("gateway: serving callers and peers")
	p.logger.Info().Str("address", operators.Addr().String()).Msg("operator: serving operators")
}

// Failed returns a channel that receives a server's error when it stops serving.
func (p *Process) Failed() <-chan error { return p.failed }

// Drained returns a channel that is closed when a planned stop, requested by an
// operator or by Stop, has handed over all partitions.
func (p *Process) Drained() <-chan struct{} { return p.Node.handedOver }

// Stop performs the planned stop: it hands partitions over after their running
// attempts, finishes or relays requests in flight, and then closes the
// listeners. Attempts and requests are aborted only if the context ends first.
func (p *Process) Stop(ctx context.Context) error {
	p.logger.Info().Msg("gateway: draining")
	p.gateway.Drain()
	drained := p.Node.Drain(ctx)
	finished := p.gateway.Shutdown(ctx)
	p.Node.Close()
	p.transport.Close()
	closed := p.operator.Shutdown(ctx)
	p.logger.Info().Msg("control: stopped")
	return errors.Join(drained, finished, closed)
}

// newRandom returns a random source seeded from the clock and the machine's ID.
func newRandom(id machine.ID) *rand.Rand {
	var seed uint64
	for _, letter := range []byte(id) {
		seed = seed*31 + uint64(letter)
	}
	return rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), seed))
}
