package standin

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/zone"
)

// Limits of the stand-ins' servers.
const (
	readTimeout      = 30 * time.Second
	writeTimeout     = 5 * time.Minute
	idleTimeout      = time.Minute
	maximumBodyBytes = 64 << 20
	// hungLimit is the maximum time that a hung request occupies its goroutine.
	hungLimit = time.Minute
)

// server is an HTTP server with one listener.
type server struct {
	listener net.Listener
	http     *fasthttp.Server
	done     chan struct{}
}

// serve listens on the address and serves the routes until close.
func serve(address string, routes *router.Router) (*server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	opened := &server{
		listener: listener,
		done:     make(chan struct{}),
		http: &fasthttp.Server{
			Handler:               routes.Handler,
			ReadTimeout:           readTimeout,
			WriteTimeout:          writeTimeout,
			IdleTimeout:           idleTimeout,
			MaxRequestBodySize:    maximumBodyBytes,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			Logger:                discardLogger{},
		},
	}
	go func() {
		defer close(opened.done)
		_ = opened.http.Serve(listener)
	}()
	return opened, nil
}

// address returns the listener's address as "ip:port".
func (s *server) address() string { return s.listener.Addr().String() }

// close stops the server. Running streams and held requests end early, because
// Set.Close closes the closed channel first.
func (s *server) close() {
	_ = s.listener.Close()
	<-s.done
	_ = s.http.Shutdown()
}

// discardLogger discards fasthttp's messages about aborted connections, which
// injected faults cause.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// gate applies the active faults to the requests of one service.
type gate struct {
	service service
	faults  *Faults
	closed  <-chan struct{}
	// delay is added to every request, with or without a fault.
	delay time.Duration
}

// guard wraps a handler with fault injection.
func (g *gate) guard(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		caller := callerZone(ctx)
		found, changed := g.faults.effectsOn(g.service, caller)
		if found.hung {
			g.waitWhileHung(caller, changed)
			abortConnection(ctx)
			return
		}
		if found.down {
			abortConnection(ctx)
			return
		}
		if found.unavailable {
			fail(ctx, fasthttp.StatusServiceUnavailable, errors.New("unavailable"))
			return
		}
		g.pause(g.delay + found.delay)
		handler(ctx)
		if found.answerLost || g.faults.isUnreachable(g.service, caller) {
			abortConnection(ctx)
		}
	}
}

// waitWhileHung waits until no fault hangs the request any more, at most
// hungLimit.
func (g *gate) waitWhileHung(caller zone.Name, changed <-chan struct{}) {
	limit := time.NewTimer(hungLimit)
	defer limit.Stop()
	for {
		select {
		case <-changed:
		case <-g.closed:
			return
		case <-limit.C:
			return
		}
		var found effects
		found, changed = g.faults.effectsOn(g.service, caller)
		if !found.hung {
			return
		}
	}
}

// pause waits for the delay or until the stand-ins are closed.
func (g *gate) pause(delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.closed:
	}
}

// callerZone returns the caller's zone from the request header.
func callerZone(ctx *fasthttp.RequestCtx) zone.Name {
	return zone.Name(ctx.Request.Header.Peek(httpclient.HeaderZone))
}

// abortConnection closes the connection without an answer.
func abortConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) { _ = connection.Close() })
}

// errorBody is the body of answers with an error status.
type errorBody struct {
	Error string `json:"error"`
}

// answer answers with a JSON body.
func answer(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// fail answers with an error status. 4xx and 503 guarantee that the action did
// not take effect.
func fail(ctx *fasthttp.RequestCtx, status int, cause error) {
	encoded, _ := json.Marshal(errorBody{Error: cause.Error()})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// decode decodes the JSON body of the request. If the body is invalid, it answers
// 400 and returns false.
func decode(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err)
		return false
	}
	return true
}

// parameter returns a copy of a path parameter, because fasthttp reuses the
// request's memory.
func parameter(ctx *fasthttp.RequestCtx, name string) string {
	value, _ := ctx.UserValue(name).(string)
	return string([]byte(value))
}
