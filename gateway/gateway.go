package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

// logPrefix starts each log message of this package.
const logPrefix = "gateway: "

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	config   Config
	service  Service
	logger   *log.Logger
	observer Observer
	router   *router.Router
	server   *fasthttp.Server
	client   *fasthttp.Client
	limits   *limits
	budget   *retryBudget
	paths    *paths
	random   *rand.Rand

	draining atomic.Bool
	inFlight atomic.Int64
	refusals atomic.Uint64
}

// New returns a gateway that does not serve yet. The error lists everything
// that is wrong with the configuration.
func New(config Config, service Service, logger *log.Logger) (*Gateway, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	budget, err := newRetryBudget(config)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		config:   config,
		service:  service,
		logger:   logger,
		observer: config.Observer,
		limits:   newLimits(config),
		budget:   budget,
		paths:    newPaths(),
		random:   rand.New(&lockedSource{source: config.Random}),
	}
	if g.observer == nil {
		g.observer = noopObserver{}
	}
	g.refusals.Store(uint64(time.Now().UnixMilli()))
	g.router = g.routes()
	g.server = g.newServer()
	g.client = newPeerClient(config)
	return g, nil
}

// Handler returns the handler of all routes.
func (g *Gateway) Handler() fasthttp.RequestHandler {
	return g.router.Handler
}

// Server returns the HTTP server with all limits set. The caller starts it with
// Serve.
func (g *Gateway) Server() *fasthttp.Server {
	return g.server
}

// Routes returns the registered paths by method.
func (g *Gateway) Routes() map[string][]string {
	return g.router.List()
}

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// Drain makes answers carry "Connection: close", so that callers open their
// next connections to other nodes. Requests in flight are not interrupted, and
// new requests are still served or relayed.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Shutdown stops the server without interrupting requests. For DrainGrace, or
// until nothing is in flight, it still accepts new connections, so that
// "Connection: close" directs callers to other nodes. Then it closes the
// listeners and waits for the requests in flight. It returns the context's
// error if the context ends first.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	grace, cancel := context.WithTimeout(ctx, g.config.DrainGrace)
	g.awaitIdle(grace)
	cancel()
	err := g.server.ShutdownWithContext(ctx)
	g.awaitIdle(ctx)
	g.client.CloseIdleConnections()
	return errors.Join(err, ctx.Err())
}

// awaitIdle waits until nothing is in flight or the context ends.
func (g *Gateway) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for g.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// drainPollInterval is how often Shutdown checks the number of requests in
// flight.
const drainPollInterval = 5 * time.Millisecond

// routes registers every route. docs/API.md and api/openapi.yaml describe the
// routes; a test compares the descriptions with this list.
func (g *Gateway) routes() *router.Router {
	routes := router.New()
	routes.RedirectTrailingSlash = false
	routes.RedirectFixedPath = false
	routes.HandleOPTIONS = false
	routes.NotFound = g.routeNotFound
	routes.MethodNotAllowed = g.methodNotAllowed
	routes.PanicHandler = g.handlePanic

	routes.POST("/v1/programs", g.serve(g.parseCreate))
	routes.GET("/v1/programs", g.serve(g.parseList))
	routes.GET("/v1/programs/{id}", g.serve(g.parseDescribe))
	routes.GET("/v1/programs/{id}/history", g.serve(g.parseHistory))
	routes.GET("/v1/programs/{id}/trace", g.serve(g.parseTrace))
	routes.POST("/v1/programs/{id}/agents", g.serve(g.parseAgent))
	routes.POST("/v1/programs/{id}/end", g.serve(g.parseEnd))
	routes.POST("/v1/programs/{id}/calls", g.serve(g.parseSubmit))
	routes.GET("/v1/programs/{id}/calls/{call}", g.serve(g.parseCall))
	routes.GET("/v1/programs/{id}/calls/{call}/stream", g.serve(g.parseStream))
	routes.POST("/v1/programs/{id}/calls/{call}/cancel", g.serve(g.parseCancel))
	routes.GET("/v1/refusals/{id}", g.serve(g.parseWhy))
	return routes
}

// serve returns the handler of a route: it authenticates the request, parses
// it, performs it and writes the answer.
func (g *Gateway) serve(parse parser) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if g.draining.Load() {
			ctx.SetConnectionClose()
		}
		request := &exchange{received: time.Now()}
		done, refusal := g.admit(ctx, request)
		if refusal == nil {
			refusal = g.parse(ctx, request, parse)
		}
		if refusal != nil {
			g.refuse(ctx, request, refusal, refusal.Code.HTTPStatus())
			done()
			return
		}
		g.answer(ctx, request, done)
	}
}

// admit authenticates the request, applies the limits and counts the request as
// in flight. The returned function, which is never nil, ends the count.
func (g *Gateway) admit(ctx *fasthttp.RequestCtx, request *exchange) (func(), *api.Error) {
	g.inFlight.Add(1)
	g.observer.InFlight(1)
	release := func() {}
	done := func() {
		release()
		g.observer.InFlight(-1)
		g.inFlight.Add(-1)
	}
	if refusal := g.authenticate(ctx, request); refusal != nil {
		return done, refusal
	}
	if request.peer || request.operator {
		return done, nil
	}
	if g.inFlight.Load() > int64(g.config.InFlight) {
		return done, api.Refuse(api.CodeOverloaded, "this node serves as many requests as it can").
			WithRetryAfter(g.limits.expectedRelease(request.received))
	}
	released, refusal := g.limits.acquire(request.callerToken, request.received)
	if refusal != nil {
		return done, refusal
	}
	release = released
	return done, nil
}

// parse copies what is needed after fasthttp reuses the request's memory, and
// reads the input.
func (g *Gateway) parse(ctx *fasthttp.RequestCtx, request *exchange, parse parser) *api.Error {
	request.method = string(ctx.Method())
	request.uri = string(ctx.RequestURI())
	request.body = append([]byte(nil), ctx.PostBody()...)
	request.request.Scope = request.scope
	var findings api.Findings
	refusal := parse(ctx, request, &findings)
	if refusal == nil {
		refusal = findings.Error()
	}
	return refusal
}

// answer performs the request and writes its answer or stream.
func (g *Gateway) answer(ctx *fasthttp.RequestCtx, request *exchange, done func()) {
	bounded, cancel := context.WithDeadline(context.Background(), request.deadline)
	if request.waits() {
		stop := g.watchDisconnect(bounded, cancel, ctx.Conn())
		defer stop()
	}
	answer := g.perform(bounded, request)
	if answer.source != nil {
		g.startStream(bounded, ctx, request, answer.source, func() {
			cancel()
			done()
		})
		return
	}
	defer done()
	defer cancel()
	if answer.refusal != nil {
		if answer.owner != "" {
			ctx.Response.Header.Set(headerOwner, answer.owner)
		}
		request.attempts = answer.attempts
		g.refuse(ctx, request, answer.refusal, answer.refusal.Code.HTTPStatus())
		return
	}
	if answer.pending {
		ctx.Response.Header.Set(headerPending, "1")
	}
	writeJSON(ctx, answer.status, answer.body)
	g.observer.Answered(request.request.Operation, answer.status, time.Since(request.received))
}

// refuse answers with an error, gives the error an ID if it has none, and
// notifies the observer. Errors for peers are not reported as refusals: the
// node that the caller sent the request to reports them.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, request *exchange, refusal *api.Error, status int) {
	identified := *refusal
	if identified.ID == "" {
		identified.ID = g.config.Node + "-" + strconv.FormatUint(g.refusals.Add(1), 36)
	}
	writeError(ctx, &identified, status)
	g.observer.Answered(request.request.Operation, status, time.Since(request.received))
	if request.peer {
		return
	}
	g.observer.Refused(Refusal{
		At:        request.received,
		Operation: request.request.Operation,
		Branch:    request.scope,
		Program:   request.request.Program,
		Attempts:  request.attempts,
		Error:     identified,
	})
}

func (g *Gateway) routeNotFound(ctx *fasthttp.RequestCtx) {
	refusal := api.Refuse(api.CodeNotFound, "no such route").WithLocation("path")
	g.refuse(ctx, &exchange{received: time.Now()}, refusal, fasthttp.StatusNotFound)
}

func (g *Gateway) methodNotAllowed(ctx *fasthttp.RequestCtx) {
	refusal := api.Refuse(api.CodeBadRequest, "the route does not know method %s", ctx.Method()).WithLocation("method")
	g.refuse(ctx, &exchange{received: time.Now()}, refusal, fasthttp.StatusMethodNotAllowed)
}

// handlePanic answers a request whose handler panicked. The request's outcome is
// unknown.
func (g *Gateway) handlePanic(ctx *fasthttp.RequestCtx, cause any) {
	g.logger.Error().Interface("cause", cause).Msg(logPrefix + "A handler panicked.")
	unknown := &api.Error{
		Code:    api.CodeOutcomeUnknown,
		Message: "the request failed inside; ask again with the same key",
		Ran:     api.RanOutcomeUnknown,
		Retry:   true,
	}
	g.refuse(ctx, &exchange{received: time.Now()}, unknown, fasthttp.StatusInternalServerError)
}
