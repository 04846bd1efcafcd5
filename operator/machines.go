package operator

import (
	"context"
	"slices"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
)

// drainBody is the answer of the routes that drain a machine.
type drainBody struct {
	Draining machine.ID `json:"draining"`
}

// listNodes answers with the nodes that this node knows.
func (s *Server) listNodes(ctx context.Context, _ *fasthttp.RequestCtx, _ actor) (any, *api.Error) {
	nodes, err := s.service.Nodes(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	return nodes, nil
}

// BackendState is a back end, and whether operators have drained it.
type BackendState struct {
	machine.Machine
	Drained bool `json:"drained"`
}

// listBackends answers with the back ends that this node knows.
func (s *Server) listBackends(ctx context.Context, _ *fasthttp.RequestCtx, _ actor) (any, *api.Error) {
	backends, err := s.service.Backends(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	root, err := s.service.Settings().Resolve(contract.Root)
	if err != nil {
		return nil, unknownBranch(err)
	}
	states := make([]BackendState, 0, len(backends))
	for _, backend := range backends {
		drained := slices.Contains(root.DrainedBackends, string(backend.ID))
		states = append(states, BackendState{Machine: backend, Drained: drained})
	}
	return states, nil
}

// drainNode begins the planned stop of a node.
func (s *Server) drainNode(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	if refusal := who.requireWholeTree(); refusal != nil {
		return nil, refusal
	}
	nodes, err := s.service.Nodes(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	id := pathMachine(request)
	for _, node := range nodes {
		if node.ID == id {
			return drainAnswer(id, s.service.DrainNode(ctx, id))
		}
	}
	return nil, unknownMachine(id)
}

// drainBackend stops sending new work to a back end.
func (s *Server) drainBackend(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	if refusal := who.requireWholeTree(); refusal != nil {
		return nil, refusal
	}
	backends, err := s.service.Backends(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	id := pathMachine(request)
	for _, backend := range backends {
		if backend.ID == id {
			return drainAnswer(id, s.service.DrainBackend(ctx, id))
		}
	}
	return nil, unknownMachine(id)
}

// drainAnswer returns the answer to a request to drain a machine.
func drainAnswer(id machine.ID, err error) (any, *api.Error) {
	if err != nil {
		return nil, serviceError(err)
	}
	return drainBody{Draining: id}, nil
}

func unknownMachine(id machine.ID) *api.Error {
	return api.Refuse(api.CodeNotFound, "no machine %q is known here", id).WithLocation("path id")
}

// pathMachine reads the {id} of the path.
func pathMachine(request *fasthttp.RequestCtx) machine.ID {
	text, _ := request.UserValue("id").(string)
	return machine.ID(append([]byte(nil), text...))
}
