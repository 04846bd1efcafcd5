package gateway

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

const (
	// maximumHeaderBytes bounds the request line and headers together, in bytes.
	maximumHeaderBytes = 16 << 10
	// discardBytes, discardTimeout (in all) and discardReadTimeout
	// (without receiving a byte) bound how much of an oversized body is read
	// and discarded. Discarding it keeps the refusal from being lost in a
	// connection reset.
	discardBytes       = 8 << 20
	discardTimeout     = 2 * time.Second
	discardReadTimeout = 200 * time.Millisecond
	// idleWorkerKeepAlives is how long an idle goroutine of the server is kept
	// for the next connection, in multiples of Config.KeepAlive.
	idleWorkerKeepAlives = 5
)

// newServer returns the server with every time-out and size limit set. The
// write time-out bounds a whole JSON answer; streams renew it on each read of
// an event.
func (g *Gateway) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               g.router.Handler,
		ErrorHandler:          g.badRequest,
		Name:                  "birchwood",
		Concurrency:           g.config.Connections,
		ReadBufferSize:        maximumHeaderBytes,
		ReadTimeout:           g.config.ReadTimeout,
		WriteTimeout:          g.config.WriteTimeout,
		IdleTimeout:           g.config.IdleTimeout,
		MaxIdleWorkerDuration: idleWorkerKeepAlives * g.config.KeepAlive,
		MaxRequestBodySize:    g.config.MaximumBodyBytes,
		ReduceMemoryUsage:     false,
		TCPKeepalive:          true,
		CloseOnShutdown:       true,
		NoDefaultContentType:  true,
		SecureErrorLogMessage: true,
		Logger:                serverLogger{g},
	}
}

// badRequest answers a request that could not be read as HTTP.
func (g *Gateway) badRequest(ctx *fasthttp.RequestCtx, err error) {
	refusal := ReadError(ctx.Conn(), err, g.config.MaximumBodyBytes)
	ctx.SetConnectionClose()
	g.refuse(ctx, &exchange{received: time.Now()}, refusal, refusal.Code.HTTPStatus())
}

// ReadError returns the refusal for a request that could not be read. If the
// request was too large, it first discards what the caller is still sending, so
// that the caller can read the refusal.
func ReadError(conn net.Conn, err error, maximumBody int) *api.Error {
	refusal := classifyReadError(err, maximumBody)
	if refusal.Code == api.CodeBodyTooLarge {
		discardBody(conn)
	}
	return refusal
}

// classifyReadError maps a read error to a refusal.
func classifyReadError(err error, maximumBody int) *api.Error {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return api.Refuse(api.CodeBodyTooLarge, "the body is larger than %d bytes", maximumBody).WithLocation("body")
	case errors.As(err, &small):
		return api.Refuse(api.CodeBodyTooLarge, "the headers are larger than %d bytes", maximumHeaderBytes).WithLocation("headers")
	case errors.As(err, &network) && network.Timeout():
		return api.Refuse(api.CodeTimeout, "the request did not arrive in time").WithRetryAfter(0)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return api.Refuse(api.CodeBodyCutShort, "the connection ended before the request did").WithLocation("body").WithRetryAfter(0)
	default:
		return api.Refuse(api.CodeBadRequest, "not a valid HTTP request").WithLocation("headers")
	}
}

// discardBody reads and discards what the caller is still sending, within the
// discard limits.
func discardBody(conn net.Conn) {
	deadline := time.Now().Add(discardTimeout)
	buffer := make([]byte, maximumHeaderBytes)
	for discarded := 0; discarded < discardBytes && time.Now().Before(deadline); {
		_ = conn.SetReadDeadline(time.Now().Add(discardReadTimeout))
		read, err := conn.Read(buffer)
		discarded += read
		if err != nil {
			return
		}
	}
}

// serverLogger writes fasthttp's own messages to the gateway's log.
type serverLogger struct{ gateway *Gateway }

// Printf implements fasthttp.Logger.
func (l serverLogger) Printf(format string, arguments ...any) {
	l.gateway.logger.Debug().Msgf(logPrefix+format, arguments...)
}
