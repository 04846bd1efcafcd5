package edge

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// TestReadersRefuseBadNumbers answers a question that is not understood as such, and
// not as one about the first change.
func TestReadersRefuseBadNumbers(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	for query, status := range map[string]int{
		"life=1&since=0&wait=0":  fasthttp.StatusOK,
		"life=x&since=0&wait=0":  fasthttp.StatusBadRequest,
		"life=1&since=-1&wait=0": fasthttp.StatusBadRequest,
		"life=1&since=0":         fasthttp.StatusBadRequest,
	} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI(pathReplicas + "?" + query)
		node.peers.receiveReplicas(ctx)
		g.Expect(ctx.Response.StatusCode()).To(Equal(status), query)
	}
}
