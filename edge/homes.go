package edge

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// constrainZones restricts the request to the zones that both its route and its tenant
// permit. If it returns false, no zone may serve the request, and it has been answered.
func (n *Node) constrainZones(r *requestState) bool {
	r.constraint = r.constraint.Restrict(n.settings.Regions, r.route.Regions)
	if r.tenant != nil {
		r.constraint = r.constraint.Restrict(n.settings.Regions, r.tenant.Regions)
	}
	if !r.constraint.Empty() {
		return true
	}
	n.metrics.constraintRefused(constraintNoRegion)
	r.fail(fasthttp.StatusServiceUnavailable, "none of the regions in which the request may be served is one of this system's", 0)
	return false
}

// mayHoldData reports whether a node may be sent the content of the request and its answer.
// This node has it in any case, because the client sent it here.
func (n *Node) mayHoldData(r *requestState, node machine.Machine) bool {
	return node.ID == n.self.ID || r.constraint.Permits(node.Zone)
}

// cacheChain caches the chain that a turn continuing this one has to be sent with, unless
// this node is outside of the request's zone constraint.
func (n *Node) cacheChain(r *requestState, chain []byte) {
	if r.constraint.Permits(zone.Name(n.settings.Zone)) {
		n.chains.put(time.Now(), r.turnID(), chain)
	}
}

// errOwnerOutsideZones means that the content of a turn may not be sent to the node that
// would store it.
var errOwnerOutsideZones = errors.New("the program's partition is owned outside of the regions in which its turns may be kept")

// mayCallOwner reports whether an owner may be called. An owner outside of the request's
// zone constraint is not sent a turn to store, nor the admission of one that it would have
// to store later.
func (n *Node) mayCallOwner(r *requestState, owner machine.Machine, request *coordinator.Request) bool {
	stores := request.Keep != nil || request.Admit != nil && r.route != nil && r.route.Retain
	return !stores || n.mayHoldData(r, owner)
}
