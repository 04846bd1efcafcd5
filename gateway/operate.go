package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/contract"
)

// operatorScope marks a request that comes from this process's operators'
// server, which has authenticated it. No header can set it.
type operatorScope struct{}

// Operate performs one request of the callers' API for an operator of the
// branch, on whichever node owns the program, and returns the HTTP status and
// the JSON body. Streams cannot be asked for.
func (g *Gateway) Operate(ctx context.Context, scope contract.Path, method, uri string, body []byte) (int, []byte) {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.SetBody(body)
	if deadline, bounded := ctx.Deadline(); bounded {
		remaining := max(1, time.Until(deadline).Milliseconds())
		request.Header.Set(headerDeadline, strconv.FormatInt(remaining, 10))
	}
	var handled fasthttp.RequestCtx
	handled.Init(&request, nil, nil)
	handled.SetUserValue(operatorScope{}, scope)
	g.router.Handler(&handled)
	return handled.Response.StatusCode(), append([]byte(nil), handled.Response.Body()...)
}
