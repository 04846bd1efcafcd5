package operator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

var bearerPrefix = []byte("Bearer ")

// actor is the operator who sent a request.
type actor struct {
	// scope is the branch on which, and below which, the operator acts.
	scope contract.Path
	// name identifies the operator in the history of the settings.
	name string
}

// tokenDigits is the number of hexadecimal digits of a token's hash in the name
// of its holder.
const tokenDigits = 8

// authenticate returns the operator that the request's bearer token identifies.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (actor, *api.Error) {
	token, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearerPrefix)
	if !found || len(token) == 0 {
		return actor{}, api.Refuse(api.CodeUnauthorized, "an operator's bearer token is required").WithLocation("header Authorization")
	}
	hash := sha256.Sum256(token)
	if s.config.BootstrapToken != "" && subtle.ConstantTimeCompare(hash[:], s.bootstrap[:]) == 1 {
		return actor{scope: contract.Root, name: "bootstrap"}, nil
	}
	hashed := contract.HashToken(string(token))
	scope, known := s.service.Settings().Operator(hashed)
	if !known {
		return actor{}, api.Refuse(api.CodeUnauthorized, "no operator has this token").WithLocation("header Authorization")
	}
	return actor{scope: scope, name: "operator " + hashed[:tokenDigits]}, nil
}

// requireWholeTree returns an error unless the operator acts on the whole tree.
func (a actor) requireWholeTree() *api.Error {
	if a.scope == contract.Root {
		return nil
	}
	return api.Refuse(api.CodeForbidden, "only operators of the whole tree may do this; this token acts on %s", a.scope)
}

// branch reads a branch from the query, which must be the operator's branch or
// below it. The default is the operator's branch.
func (a actor) branch(ctx *fasthttp.RequestCtx, name string) (contract.Path, *api.Error) {
	if !ctx.QueryArgs().Has(name) {
		return a.scope, nil
	}
	path := contract.Path(strings.Trim(string(ctx.QueryArgs().Peek(name)), "/"))
	if err := path.Validate(); err != nil {
		return "", api.Refuse(api.CodeBadRequest, "%v", err).WithLocation("query " + name)
	}
	if !path.Within(a.scope) {
		return "", a.outOfScope(path).WithLocation("query " + name)
	}
	return path, nil
}

// outOfScope returns the error for a branch outside of the operator's.
func (a actor) outOfScope(path contract.Path) *api.Error {
	return api.Refuse(api.CodeForbidden, "branch %s is outside of %s, which this token acts on", path, a.scope)
}
