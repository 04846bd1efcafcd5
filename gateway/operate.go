package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/contract"
)

// operatorKey is the key of the operatorRequest in a request's user values.
// Clients cannot set it, as no header does.
type operatorKey struct{}

// operatorRequest marks a request from the operators' server of this process,
// which has authenticated it.
type operatorRequest struct {
	scope contract.Path
	// deadline bounds the request unless it is zero.
	deadline time.Time
}

// Operate performs one request of the callers' API for an operator of the
// branch, on whichever node owns the program, and returns the HTTP status and
// the JSON body. Streams are not supported.
func (g *Gateway) Operate(ctx context.Context, scope contract.Path, method, uri string, body []byte) (int, []byte) {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.SetBody(body)
	operator := operatorRequest{scope: scope}
	operator.deadline, _ = ctx.Deadline()
	var handled fasthttp.RequestCtx
	handled.Init(&request, nil, nil)
	handled.SetUserValue(operatorKey{}, operator)
	g.router.Handler(&handled)
	return handled.Response.StatusCode(), append([]byte(nil), handled.Response.Body()...)
}
