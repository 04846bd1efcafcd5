package operator

import (
	"context"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"birchwood.example/birchwood/api"
)

// maximumScrapes bounds the number of concurrent scrapes.
const maximumScrapes = 4

// handler handles one route of the operators' API. It returns a value to encode
// as JSON, an httpAnswer, or an error.
type handler func(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error)

// routes registers every route. docs/API.md describes them.
func (s *Server) routes() *router.Router {
	routes := router.New()
	routes.RedirectTrailingSlash = false
	routes.RedirectFixedPath = false
	routes.HandleOPTIONS = false
	routes.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, api.Refuse(api.CodeNotFound, "no such route").WithLocation("path"))
	}
	routes.PanicHandler = s.handlePanic

	scrape := promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maximumScrapes})
	routes.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(scrape))
	routes.GET("/healthz", s.healthz)
	routes.GET("/readyz", s.readyz)

	routes.GET("/v1/operator/settings", s.serve(s.getSettings))
	routes.POST("/v1/operator/settings", s.serve(s.changeSettings))
	routes.POST("/v1/operator/settings/preview", s.serve(s.previewSettings))
	routes.GET("/v1/operator/settings/explain", s.serve(s.explainSettings))
	routes.GET("/v1/operator/settings/history", s.serve(s.settingsHistory))
	routes.GET("/v1/operator/settings/diff", s.serve(s.diffSettings))
	routes.GET("/v1/operator/settings/status", s.serve(s.settingsStatus))
	routes.GET("/v1/operator/nodes", s.serve(s.listNodes))
	routes.POST("/v1/operator/nodes/{id}/drain", s.serve(s.drainNode))
	routes.GET("/v1/operator/backends", s.serve(s.listBackends))
	routes.POST("/v1/operator/backends/{id}/drain", s.serve(s.drainBackend))
	routes.GET("/v1/operator/partitions", s.serve(s.listPartitions))
	routes.POST("/v1/operator/partitions/{id}/accept-loss", s.serve(s.acceptLoss))
	routes.GET("/v1/operator/programs", s.serve(s.listPrograms))
	routes.GET("/v1/operator/programs/{id}", s.serve(s.forwardProgram("")))
	routes.GET("/v1/operator/programs/{id}/history", s.serve(s.forwardProgram("/history")))
	routes.GET("/v1/operator/programs/{id}/trace", s.serve(s.forwardProgram("/trace")))
	routes.POST("/v1/operator/programs/{id}/end", s.serve(s.forwardProgram("/end")))
	routes.GET("/v1/operator/why/{id}", s.serve(s.why))
	return routes
}

// serve returns the HTTP handler of a route: it authenticates the operator,
// limits the time to Config.RequestTimeout, and writes the answer.
func (s *Server) serve(handle handler) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		ctx, cancel := context.WithTimeout(context.Background(), s.config.RequestTimeout)
		defer cancel()
		who, refusal := s.authenticate(request)
		var value any
		if refusal == nil {
			value, refusal = handle(ctx, request, who)
		}
		if refusal != nil {
			writeError(request, refusal)
			return
		}
		if answered, ok := value.(httpAnswer); ok {
			answered.write(request)
			return
		}
		writeJSON(request, fasthttp.StatusOK, value)
	}
}

// handlePanic answers a request whose handler panicked.
func (s *Server) handlePanic(ctx *fasthttp.RequestCtx, cause any) {
	s.logger.Error().Interface("cause", cause).Msg(logPrefix + "A handler panicked.")
	unknown := &api.Error{Code: api.CodeOutcomeUnknown, Message: "the request failed inside", Ran: api.RanOutcomeUnknown}
	writeError(ctx, unknown)
}

// serviceError converts an error of the node's Service to an answer: the node
// did not respond in time.
func serviceError(err error) *api.Error {
	return api.Refuse(api.CodeTimeout, "%v", err).WithRetryAfter(time.Second.Milliseconds())
}
