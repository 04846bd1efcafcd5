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
	// hungLimit bounds how long a hung request keeps its goroutine.
	hungLimit = time.Minute
)

// server is one listener and its routes.
type server struct {
	listener net.Listener
	http     *fasthttp.Server
	done     chan struct{}
}

// serve opens the address and serves the routes until close.
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
			Logger:                silentLogger{},
		},
	}
	go func() {
		defer close(opened.done)
		_ = opened.http.Serve(listener)
	}()
	return opened, nil
}

// address is "ip:port" of the listener.
func (s *server) address() string { return s.listener.Addr().String() }

// close stops the server; requests that run are cut.
func (s *server) close() {
	_ = s.listener.Close()
	<-s.done
	_ = s.http.Shutdown()
}

// silentLogger drops fasthttp's messages about cut connections: the faults
// make them.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// gate applies the faults in force to the requests of one service.
type gate struct {
	service service
	faults  *Faults
	closed  <-chan struct{}
	// delay is the service's own time for a request.
	delay time.Duration
}

// guard wraps a handler with the faults.
func (g *gate) guard(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		caller := callerZone(ctx)
		found, changed := g.faults.effectsOn(g.service, caller)
		if found.hung {
			g.hold(caller, changed)
			cutConnection(ctx)
			return
		}
		if found.down {
			cutConnection(ctx)
			return
		}
		if found.unavailable {
			fail(ctx, fasthttp.StatusServiceUnavailable, errors.New("unavailable"))
			return
		}
		g.pause(g.delay + found.delay)
		handler(ctx)
		if found.answerLost || g.faults.isCut(g.service, caller) {
			cutConnection(ctx)
		}
	}
}

// hold waits until the fault that hangs the request is removed.
func (g *gate) hold(caller zone.Name, changed <-chan struct{}) {
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

// pause waits, unless the stand-ins are closed.
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

// callerZone is the zone that the caller names.
func callerZone(ctx *fasthttp.RequestCtx) zone.Name {
	return zone.Name(ctx.Request.Header.Peek(httpclient.HeaderZone))
}

// cutConnection closes the connection without an answer.
func cutConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) { _ = connection.Close() })
}

// errorBody is the body of every answer with an error status.
type errorBody struct {
	Error string `json:"error"`
}

// answer writes a JSON body.
func answer(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// fail writes an error status. 4xx and 503 promise that nothing was done.
func fail(ctx *fasthttp.RequestCtx, status int, cause error) {
	encoded, _ := json.Marshal(errorBody{Error: cause.Error()})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// decode reads a JSON body. It answers 400 and reports false when it cannot.
func decode(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err)
		return false
	}
	return true
}

// parameter copies a part of the path.
func parameter(ctx *fasthttp.RequestCtx, name string) string {
	value, _ := ctx.UserValue(name).(string)
	return string([]byte(value))
}
