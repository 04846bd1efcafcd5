package gateway

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"strconv"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// The headers between nodes. headerScope, headerHops and headerDetour are
// ignored unless the request has a valid peer token.
const (
	// headerScope is the branch of the caller, as authenticated by the first
	// node.
	headerScope = "X-Birchwood-Scope"
	// headerHops counts how often the request was relayed. Without a limit,
	// two nodes that each consider the other the owner would relay it
	// back and forth.
	headerHops = "X-Birchwood-Hops"
	// headerDetour makes the receiver relay the request to the owner, which
	// the sender cannot reach.
	headerDetour = "X-Birchwood-Detour"
	// headerPending marks a 202 answer that ends one slice of a wait while the
	// call is not terminal yet.
	headerPending = "X-Birchwood-Pending"
	// headerOwner carries the owner's address in a not_owner answer.
	headerOwner = "X-Birchwood-Owner"
)

var bearerPrefix = []byte("Bearer ")

// tokenHash is the SHA-256 hash of a bearer token, so that the token itself is
// not kept in memory.
type tokenHash [sha256.Size]byte

// authenticate sets the exchange's sender, scope and deadline.
func (g *Gateway) authenticate(ctx *fasthttp.RequestCtx, request *exchange) *api.Error {
	if operator, ok := ctx.UserValue(operatorKey{}).(operatorRequest); ok {
		request.scope = operator.scope
		request.operator = true
		request.deadline = request.received.Add(g.config.MaximumWait)
		if !operator.deadline.IsZero() {
			request.shortenDeadline(operator.deadline)
		}
		return nil
	}
	token, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearerPrefix)
	if !found || len(token) == 0 {
		return api.Refuse(api.CodeUnauthorized, "a bearer token is required").WithLocation("header Authorization")
	}
	if refusal := g.readDeadline(ctx, request); refusal != nil {
		return refusal
	}
	if g.isPeer(token) {
		return g.authenticatePeer(ctx, request)
	}
	scope, refusal := g.service.Authenticate(string(token))
	if refusal != nil {
		return refusal
	}
	request.scope = scope
	request.callerToken = sha256.Sum256(token)
	return nil
}

// isPeer reports whether the token is the peer token. It compares in constant
// time, so that timing reveals nothing about the peer token.
func (g *Gateway) isPeer(token []byte) bool {
	peer := g.service.PeerToken()
	return peer != "" && subtle.ConstantTimeCompare(token, []byte(peer)) == 1
}

// authenticatePeer reads the scope that the first node authenticated, and the
// other headers of a relayed request.
func (g *Gateway) authenticatePeer(ctx *fasthttp.RequestCtx, request *exchange) *api.Error {
	scope, found := bytes.CutPrefix(ctx.Request.Header.Peek(headerScope), []byte("/"))
	if !found {
		return api.Refuse(api.CodeBadRequest, "want a branch after a slash").WithLocation("header " + headerScope)
	}
	hops, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerHops)))
	if err != nil || hops < 1 {
		return api.Refuse(api.CodeBadRequest, "want a number from 1").WithLocation("header " + headerHops)
	}
	request.peer = true
	request.scope = contract.Path(scope)
	request.hops = hops
	request.detour = len(ctx.Request.Header.Peek(headerDetour)) > 0
	return nil
}
