package operator

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

// writeJSON answers with a value whose type can always be encoded.
func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
}

// writeError answers with an error.
func writeError(ctx *fasthttp.RequestCtx, refusal *api.Error) {
	writeJSON(ctx, refusal.Code.HTTPStatus(), struct {
		Error *api.Error `json:"error"`
	}{refusal})
}
