package operator

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// listPrograms answers with the programs of a branch on all nodes.
func (s *Server) listPrograms(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	branch, refusal := who.branch(request, "branch")
	if refusal != nil {
		return nil, refusal
	}
	return s.operate(ctx, branch, fasthttp.MethodGet, "/v1/programs", nil), nil
}

// forwardProgram returns the handler that forwards a request about one program
// to the node that owns it. part is the rest of the route after the program's
// ID.
func (s *Server) forwardProgram(part string) handler {
	return func(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
		id, refusal := pathSegment(request)
		if refusal != nil {
			return nil, refusal
		}
		uri := "/v1/programs/" + id + part
		if query := request.QueryArgs().String(); query != "" {
			uri += "?" + query
		}
		return s.operate(ctx, who.scope, string(request.Method()), uri, request.PostBody()), nil
	}
}

// operate performs a request of the callers' API on behalf of the operator.
func (s *Server) operate(ctx context.Context, scope contract.Path, method, uri string, body []byte) httpAnswer {
	status, answered := s.programs.Operate(ctx, scope, method, uri, body)
	return httpAnswer{status: status, body: answered}
}

// why answers with the refusal that has the ID, from this node or another one.
func (s *Server) why(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	id, wrong := pathSegment(request)
	if wrong != nil {
		return nil, wrong
	}
	refusal, known := s.refusals.Find(id)
	if known && refusal.Branch.Within(who.scope) {
		return refusal, nil
	}
	if status, body := s.programs.Operate(ctx, who.scope, fasthttp.MethodGet, "/v1/refusals/"+id, nil); status == fasthttp.StatusOK {
		return httpAnswer{status: status, body: body}, nil
	}
	return nil, api.Refuse(api.CodeNotFound, "no node keeps refusal %q any more", id).WithLocation("path id")
}

// pathSegment reads the {id} of the path. As it becomes part of another path, it
// must be a single segment.
func pathSegment(request *fasthttp.RequestCtx) (string, *api.Error) {
	text, _ := request.UserValue("id").(string)
	var findings api.Findings
	api.CheckKey(text, "path id", &findings)
	return strings.Clone(text), findings.Error()
}
