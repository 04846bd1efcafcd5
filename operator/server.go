package operator

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/fasthttp/router"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
)

// logPrefix starts each log message of this package.
const logPrefix = "operator: "

// Config holds the settings of a Server.
type Config struct {
	// BootstrapToken is the bearer token that acts on the whole settings tree.
	// If empty, there is none.
	BootstrapToken string
	// MaximumBodyBytes bounds a request's body.
	MaximumBodyBytes int
	ReadTimeout      time.Duration
	WriteTimeout     time.Duration
	IdleTimeout      time.Duration
	// Connections bounds the number of open connections.
	Connections int
	// RequestTimeout bounds one request, including the wait for the verdict on
	// a settings change.
	RequestTimeout time.Duration
	// HealthTimeout bounds a check of the node's health or readiness.
	HealthTimeout time.Duration
}

// DefaultConfig returns settings that suit a small machine.
func DefaultConfig() Config {
	return Config{
		MaximumBodyBytes: 1 << 20,
		ReadTimeout:      10 * time.Second,
		WriteTimeout:     30 * time.Second,
		IdleTimeout:      2 * time.Minute,
		Connections:      256,
		RequestTimeout:   30 * time.Second,
		HealthTimeout:    2 * time.Second,
	}
}

// validate collects everything that is wrong with the configuration.
func (c *Config) validate() error {
	var findings api.Findings
	positive := func(key string, value int64) {
		if value <= 0 {
			findings.Add(key, "want more than 0")
		}
	}
	positive("maximum_body_bytes", int64(c.MaximumBodyBytes))
	positive("read_timeout", int64(c.ReadTimeout))
	positive("write_timeout", int64(c.WriteTimeout))
	positive("idle_timeout", int64(c.IdleTimeout))
	positive("connections", int64(c.Connections))
	positive("request_timeout", int64(c.RequestTimeout))
	positive("health_timeout", int64(c.HealthTimeout))
	if refusal := findings.Error(); refusal != nil {
		return refusal
	}
	return nil
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	config    Config
	service   Service
	programs  Programs
	metrics   *Metrics
	refusals  *RefusalLog
	logger    *log.Logger
	bootstrap [sha256.Size]byte
	router    *router.Router
	server    *fasthttp.Server
}

// New returns a server that does not serve yet. The error lists everything that
// is wrong with the configuration.
func New(config Config, service Service, programs Programs, metrics *Metrics, refusals *RefusalLog, logger *log.Logger) (*Server, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		config:    config,
		service:   service,
		programs:  programs,
		metrics:   metrics,
		refusals:  refusals,
		logger:    logger,
		bootstrap: sha256.Sum256([]byte(config.BootstrapToken)),
	}
	s.router = s.routes()
	s.server = &fasthttp.Server{
		Handler:               s.router.Handler,
		ErrorHandler:          s.badRequest,
		Name:                  "birchwood",
		Concurrency:           config.Connections,
		ReadTimeout:           config.ReadTimeout,
		WriteTimeout:          config.WriteTimeout,
		IdleTimeout:           config.IdleTimeout,
		MaxRequestBodySize:    config.MaximumBodyBytes,
		CloseOnShutdown:       true,
		NoDefaultContentType:  true,
		SecureErrorLogMessage: true,
		Logger:                serverLogger{logger},
	}
	return s, nil
}

// Handler returns the handler of all routes.
func (s *Server) Handler() fasthttp.RequestHandler { return s.router.Handler }

// Server returns the HTTP server with all limits set. The caller starts it with
// Serve.
func (s *Server) Server() *fasthttp.Server { return s.server }

// Routes returns the registered paths by method.
func (s *Server) Routes() map[string][]string { return s.router.List() }

// Shutdown stops the server after the requests in flight are answered.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

// badRequest answers a request that could not be read as HTTP.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	writeError(ctx, gateway.ReadError(ctx.Conn(), err, s.config.MaximumBodyBytes))
}

// healthz answers whether the process is healthy, which means that its control
// goroutine responds.
func (s *Server) healthz(ctx *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), s.config.HealthTimeout)
	defer cancel()
	if err := s.service.Alive(bounded); err != nil {
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, health{Findings: []string{err.Error()}})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, health{OK: true})
}

// readyz answers whether callers should send requests to this node.
func (s *Server) readyz(ctx *fasthttp.RequestCtx) {
	bounded, cancel := context.WithTimeout(context.Background(), s.config.HealthTimeout)
	defer cancel()
	findings := s.service.NotReady(bounded)
	status := fasthttp.StatusOK
	if len(findings) > 0 {
		status = fasthttp.StatusServiceUnavailable
	}
	writeJSON(ctx, status, health{OK: len(findings) == 0, Findings: findings})
}

// health is the answer of the routes /healthz and /readyz.
type health struct {
	OK       bool     `json:"ok"`
	Findings []string `json:"findings,omitempty"`
}

// serverLogger writes fasthttp's own messages to the server's log.
type serverLogger struct{ logger *log.Logger }

// Printf implements fasthttp.Logger.
func (l serverLogger) Printf(format string, arguments ...any) {
	l.logger.Debug().Msgf(logPrefix+format, arguments...)
}
