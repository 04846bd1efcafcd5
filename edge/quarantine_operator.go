package edge

import (
	"context"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/quarantine"
)

// listQuarantined answers an operator with the marked requests.
func (p *peers) listQuarantined(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(p.node.ctx, peerRequestTimeout)
	defer cancel()
	marked, err := p.node.control.quarantined(callCtx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if marked == nil {
		marked = []quarantine.Status{}
	}
	writeJSON(ctx, marked)
}

// releaseQuarantined releases a marked request at all nodes, as an operator asks.
func (p *peers) releaseQuarantined(ctx *fasthttp.RequestCtx) {
	var fingerprint quarantine.Fingerprint
	text, _ := ctx.UserValue("fingerprint").(string)
	if err := fingerprint.UnmarshalText([]byte(text)); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	callCtx, cancel := context.WithTimeout(p.node.ctx, peerRequestTimeout)
	defer cancel()
	marked, err := p.node.control.quarantined(callCtx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	for index := range marked {
		if marked[index].Fingerprint == fingerprint {
			p.node.control.post(coordinator.RequestReleased{Fingerprint: fingerprint, Reason: coordinator.ReleaseOperator})
			writeJSON(ctx, marked[index])
			return
		}
	}
	ctx.Error("no replica ended under a request with the fingerprint "+fingerprint.String(), fasthttp.StatusNotFound)
}
