package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

// Directory is implemented by a Service that can list the other nodes. Without
// it, lists cover only this node.
type Directory interface {
	// Peers returns the other nodes that are considered live.
	Peers() []Route
}

const (
	// operationWhy looks up why a request was refused.
	operationWhy control.Operation = "why"
	// peerConcurrency bounds the peers that one request queries concurrently.
	peerConcurrency = 16
	// maximumPrograms bounds the programs in one list.
	maximumPrograms = 1000
)

// peerAnswer is the answer of one node. The status is zero if there was none.
type peerAnswer struct {
	node   Route
	status int
	body   []byte
}

// queryPeers relays the request to all other nodes, peerConcurrency at a time. It
// skips nodes whose circuit breaker is open; their answers are empty.
func (g *Gateway) queryPeers(request *exchange) []peerAnswer {
	directory, ok := g.service.(Directory)
	if !ok || request.peer {
		return nil
	}
	peers := directory.Peers()
	answers := make([]peerAnswer, len(peers))
	var group errgroup.Group
	group.SetLimit(peerConcurrency)
	for i, peer := range peers {
		answers[i].node = peer
		if !g.paths.allow(peer.Address, time.Now()) {
			continue
		}
		group.Go(func() error {
			result := g.relay(request, peer.Address, false)
			answers[i] = peerAnswer{node: peer, status: result.status, body: result.body}
			return nil
		})
	}
	_ = group.Wait() // Failures are in answers; the functions return no error.
	return answers
}

// list answers with the programs of the caller's branch on every node.
func (g *Gateway) list(ctx context.Context, request *exchange) outcome {
	reply := g.service.Do(ctx, request.request)
	if reply.Error != nil {
		return refusedByOwner(reply.Error)
	}
	all := ProgramList{Programs: append([]api.Program{}, reply.Programs...)}
	for _, answered := range g.queryPeers(request) {
		var part ProgramList
		if answered.status != statusOK || json.Unmarshal(answered.body, &part) != nil {
			all.Incomplete = append(all.Incomplete, string(answered.node.Owner))
			continue
		}
		all.Programs = append(all.Programs, part.Programs...)
	}
	slices.SortFunc(all.Programs, func(a, b api.Program) int { return cmp.Compare(a.ID, b.ID) })
	// A program whose partition moves between two answers may be in both.
	all.Programs = slices.CompactFunc(all.Programs, func(a, b api.Program) bool { return a.ID == b.ID })
	if len(all.Programs) > maximumPrograms {
		all.Programs = all.Programs[:maximumPrograms]
		all.Truncated = true
	}
	return outcome{answer: answer{status: statusOK, body: marshal(all)}}
}

// ProgramList is the answer of the route GET /v1/programs.
type ProgramList struct {
	Programs []api.Program `json:"programs"`
	// Incomplete names the nodes that did not answer.
	Incomplete []string `json:"incomplete,omitempty"`
	// Truncated is set if there are more programs than one list holds.
	Truncated bool `json:"truncated,omitempty"`
}

// why answers with the refusal that has the requested ID, from this node or
// another one.
func (g *Gateway) why(request *exchange) outcome {
	if found, known := g.findRefusal(request.scope, request.request.Key); known {
		return outcome{answer: answer{status: statusOK, body: marshal(found)}}
	}
	for _, answered := range g.queryPeers(request) {
		if answered.status == statusOK {
			return outcome{answer: answer{status: statusOK, body: answered.body}}
		}
	}
	return refused(api.Refuse(api.CodeNotFound, "no node keeps refusal %q any more", request.request.Key).WithLocation("path id"))
}

// findRefusal returns this node's refusal with the ID if its branch is the scope
// or below it.
func (g *Gateway) findRefusal(scope contract.Path, id string) (Refusal, bool) {
	if g.config.FindRefusal == nil {
		return Refusal{}, false
	}
	found, known := g.config.FindRefusal(id)
	return found, known && found.Branch.Within(scope)
}
