package operator

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

const contentTypeJSON = "application/json"

// httpAnswer is an answer with its own HTTP status. If body is set, it is the
// encoded JSON; otherwise value is encoded.
type httpAnswer struct {
	status int
	value  any
	body   []byte
}

func (a httpAnswer) write(ctx *fasthttp.RequestCtx) {
	if a.body == nil {
		writeJSON(ctx, a.status, a.value)
		return
	}
	ctx.SetStatusCode(a.status)
	ctx.SetContentType(contentTypeJSON)
	ctx.Response.SetBodyRaw(a.body)
}

// writeJSON answers with a value of a type that can always be encoded.
func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.Response.SetBodyRaw(body)
}

// writeError answers with an error.
func writeError(ctx *fasthttp.RequestCtx, refusal *api.Error) {
	writeJSON(ctx, refusal.Code.HTTPStatus(), api.ErrorBody{Error: refusal})
}
