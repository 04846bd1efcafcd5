package gateway

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
)

const contentTypeJSON = "application/json"

// millisecondsPerSecond converts to the unit of the Retry-After header.
const millisecondsPerSecond = 1000

// writeJSON answers with a JSON-encoded body.
func writeJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.Response.SetBodyRaw(body)
}

// writeError answers with an error, and with a Retry-After header if the error
// has a retry-after time.
func writeError(ctx *fasthttp.RequestCtx, refusal *api.Error, status int) {
	if refusal.RetryAfterMilliseconds > 0 {
		seconds := (refusal.RetryAfterMilliseconds + millisecondsPerSecond - 1) / millisecondsPerSecond
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if refusal.Code == api.CodeUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	writeJSON(ctx, status, marshal(api.ErrorBody{Error: refusal}))
}

// marshal encodes a value of a type that can always be encoded.
func marshal(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// replyBody encodes the part of the reply that answers the request.
func replyBody(request *control.Request, reply *control.Reply) []byte {
	switch {
	case reply.Call != nil:
		return marshal(reply.Call)
	case reply.History != nil:
		return marshal(reply.History)
	case request.Operation == control.OperationTrace:
		attempts := append([]control.CallTrace{}, reply.Trace...)
		return marshal(ProgramTrace{Program: request.Program, Attempts: attempts})
	default:
		return marshal(reply.Program)
	}
}
