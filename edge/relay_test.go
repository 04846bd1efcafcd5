package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// TestReadersRefuseBadNumbers answers a question that is not understood as such, and
// not as one about the first change.
func TestReadersRefuseBadNumbers(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	node.holdsAll.Store(true)
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

// TestNoListFromWhoHasNone has a node that holds no list, or a part of it, pass none on:
// a follower would take its replicas for gone.
func TestNoListFromWhoHasNone(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	ask := func() int {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI(pathReplicas + "?life=0&since=0&wait=0&zone=a&group=0")
		node.peers.receiveReplicas(ctx)
		return ctx.Response.StatusCode()
	}
	g.Expect(ask()).To(Equal(fasthttp.StatusServiceUnavailable))
	entry := replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1}
	whole := relayAnswer{Whole: true, Changes: []replica.Change{{Entry: &entry}}}
	node.takeRelay(machine.Machine{ID: "source"}, time.Now(), true, &whole)
	g.Expect(node.syncedReplicas.Load()).To(BeTrue())
	g.Expect(ask()).To(Equal(fasthttp.StatusServiceUnavailable))
	node.takeRelay(machine.Machine{ID: "source"}, time.Now(), false, &whole)
	g.Expect(ask()).To(Equal(fasthttp.StatusOK))
}
