package standin

import (
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/machine"
)

// faultsBody is the request and response body of the fault routes.
type faultsBody struct {
	Faults []Fault `json:"faults"`
}

// controlRoutes returns the routes of the control address. Faults don't affect
// them.
func (s *Set) controlRoutes() *router.Router {
	routes := router.New()
	routes.GET("/faults", s.listFaults)
	routes.POST("/faults", s.addFaults)
	routes.DELETE("/faults", func(ctx *fasthttp.RequestCtx) { s.removeFault(ctx, "") })
	routes.DELETE("/faults/{name}", func(ctx *fasthttp.RequestCtx) {
		s.removeFault(ctx, unescape(parameter(ctx, "name")))
	})
	routes.GET("/addresses", func(ctx *fasthttp.RequestCtx) { answer(ctx, s.Addresses()) })
	routes.GET("/runs", func(ctx *fasthttp.RequestCtx) { answer(ctx, s.ToolRuns()) })
	routes.POST("/backends/{id}/leave", s.leaveBackend)
	routes.POST("/backends/{id}/restart", s.restartBackend)
	routes.DELETE("/backends/{id}", func(ctx *fasthttp.RequestCtx) {
		s.Withdraw(machine.ID(unescape(parameter(ctx, "id"))))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	})
	return routes
}

// listFaults answers with the active faults.
func (s *Set) listFaults(ctx *fasthttp.RequestCtx) {
	answer(ctx, faultsBody{Faults: s.faults.List()})
}

// addFaults activates all faults of the body, or none if one is invalid.
func (s *Set) addFaults(ctx *fasthttp.RequestCtx) {
	var body faultsBody
	if !decode(ctx, &body) {
		return
	}
	for _, fault := range body.Faults {
		if err := fault.validate(); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, err)
			return
		}
	}
	for _, fault := range body.Faults {
		_ = s.faults.Add(fault)
	}
	s.listFaults(ctx)
}

// removeFault removes one fault, or all if the name is empty.
func (s *Set) removeFault(ctx *fasthttp.RequestCtx, name string) {
	s.faults.Remove(name)
	s.listFaults(ctx)
}

// leaveBackend makes a back end refuse new work and be listed as leaving.
func (s *Set) leaveBackend(ctx *fasthttp.RequestCtx) {
	if err := s.Leave(machine.ID(unescape(parameter(ctx, "id")))); err != nil {
		fail(ctx, fasthttp.StatusNotFound, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// restartBackend restarts an engine, which loses its streams and prefixes.
func (s *Set) restartBackend(ctx *fasthttp.RequestCtx) {
	if err := s.Restart(machine.ID(unescape(parameter(ctx, "id")))); err != nil {
		fail(ctx, fasthttp.StatusNotFound, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
