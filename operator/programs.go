package operator

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// listPrograms answers with the programs of a branch, on every node.
func (s *Server) listPrograms(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	branch, refusal := who.branch(request, "branch")
	if refusal != nil {
		return nil, refusal
	}
	return s.operate(ctx, branch, fasthttp.MethodGet, "/v1/programs", nil), nil
}

// program returns the handler that passes a request about one program on to
// the node that owns it.
func (s *Server) program(part string) handler {
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

// operate asks the callers' API in the operator's name.
func (s *Server) operate(ctx context.Context, scope contract.Path, method, uri string, body []byte) httpAnswer {
	status, answered := s.programs.Operate(ctx, scope, method, uri, body)
	return httpAnswer{status: status, body: answered}
}

// why answers with what is known of a refusal.
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
	return nil, api.Refuse(api.CodeNotFound, "no node keeps refusal %q any more", id).At("path id")
}

// pathSegment reads the {id} of the path. It becomes part of another path, so
// that it must not hold more than one segment.
func pathSegment(request *fasthttp.RequestCtx) (string, *api.Error) {
	text, _ := request.UserValue("id").(string)
	var findings api.Findings
	api.CheckKey(text, "path id", &findings)
	return strings.Clone(text), findings.Error()
}
