package edge

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// bindHomes finds where the request may be served: where its route and its tenant both
// permit it. If it returns false, no place there is may serve it, and it was answered.
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

// mayHold reports whether a node may be sent what the request and its answer say. The
// node that the client reached has them anyway.
func (n *Node) mayHoldData(r *requestState, node machine.Machine) bool {
	return node.ID == n.self.ID || r.constraint.Permits(node.Zone)
}

// remember keeps what a turn that goes on from this one has to be sent with, unless this
// node stands outside of the request's homes.
func (n *Node) cacheChain(r *requestState, chain []byte) {
	if r.constraint.Permits(zone.Name(n.settings.Zone)) {
		n.chains.put(time.Now(), r.turnID(), chain)
	}
}

// errOwnerOutside says that the turn's words may not go to the node that would keep
// them.
var errOwnerOutsideZones = errors.New("the program's partition is owned outside of the regions in which its turns may be kept")

// mayAsk reports whether an owner may be asked: one outside of the request's homes gets
// no turn to keep, and none is begun that it would have to keep.
func (n *Node) mayCallOwner(r *requestState, owner machine.Machine, request *coordinator.Request) bool {
	stores := request.Keep != nil || request.Admit != nil && r.route != nil && r.route.Retain
	return !stores || n.mayHoldData(r, owner)
}
