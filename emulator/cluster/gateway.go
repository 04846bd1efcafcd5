package cluster

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
)

// connection is a caller's request at the node that received it.
type connection struct {
	node   *node
	starts uint64
	id     uint64
	// owner is the node that the request was relayed to, if any. handle is the
	// request's handle at the core that serves it. relayed is its key in the
	// owner's connections.
	owner   *node
	handle  uint64
	relayed uint64
	// reply and lost end the request at the caller; ended is set by the first
	// event that ends it: reply, loss or disconnect.
	reply func(control.Reply)
	lost  func()
	ended bool
}

// request sends a caller's request to a node. Exactly one of reply and lost runs,
// unless the caller calls the returned disconnect function first. refused means
// that the connection could not be opened.
func (c *Cluster) request(at *node, request control.Request, reply func(control.Reply), lost func(refused bool)) (disconnect func()) {
	opened := &connection{node: at, reply: reply, lost: func() { lost(false) }}
	c.requests++
	opened.id = c.requests
	c.after(c.jitter(c.config.ClientDelay), func() {
		if !at.running || at.handedOver {
			if !opened.ended {
				opened.ended = true
				lost(true)
			}
			return
		}
		opened.starts = at.starts
		at.connections[opened.id] = opened.abort
		at.enqueue(func() { opened.serve(request) })
	})
	return opened.disconnect
}

// serve passes the request to the owner of its program: this node's core or
// another node.
func (o *connection) serve(request control.Request) {
	n := o.node
	id, err := partition.OfProgram(request.Program)
	if err != nil {
		o.finish(control.Reply{Error: api.Refuse(api.CodeNotFound, "%v", err)})
		return
	}
	owner, known := n.core.Routing().Owner(id)
	switch {
	case !known:
		o.finish(control.Reply{Error: api.Refuse(api.CodeOwnerUnknown, "no owner is known").WithRetryAfter(ownerRetry)})
	case owner.ID == n.self.ID:
		o.handle = n.open(request, o.finish)
	default:
		o.relay(request, n.cluster.node(owner.ID))
	}
}

// ownerRetry is the retry delay for callers while no owner is known or
// reachable, in milliseconds.
const ownerRetry = 500

// open passes a request to the core and returns its handle.
func (n *node) open(request control.Request, reply func(control.Reply)) uint64 {
	n.handles++
	handle := n.handles
	n.waiting[handle] = reply
	n.step(control.RequestReceived{Handle: handle, Request: request})
	return handle
}

// relay forwards the request to the owner and waits for its reply.
func (o *connection) relay(request control.Request, owner *node) {
	c := o.node.cluster
	notSent := func() {
		o.finish(control.Reply{Error: api.Refuse(api.CodeOwnerUnknown, "the owner does not answer").WithRetryAfter(ownerRetry)})
	}
	if owner == nil {
		notSent()
		return
	}
	unknown := func() {
		refusal := &api.Error{Code: api.CodeOutcomeUnknown, Message: "the owner was lost", Ran: api.RanOutcomeUnknown}
		o.finish(control.Reply{Error: refusal.WithRetryAfter(0)})
	}
	arrive := func() {
		if !owner.running || owner.handedOver {
			c.after(c.jitter(c.config.LinkDelay), notSent)
			return
		}
		c.requests++
		key := c.requests
		owner.connections[key] = func() { c.after(c.jitter(c.config.LinkDelay), unknown) }
		o.relayed = key
		owner.enqueue(func() {
			o.owner = owner
			o.handle = owner.open(request, func(reply control.Reply) {
				if owner.connections != nil {
					delete(owner.connections, key)
				}
				owner.finishStop()
				c.transmit(owner.self.Zone, o.node.self.Zone, func() { o.finish(reply) }, func() { c.after(peerTimeout, unknown) })
			})
		})
	}
	c.transmit(o.node.self.Zone, owner.self.Zone, arrive, func() { c.after(dialTimeout, notSent) })
}

// finish sends the caller the reply; a paused process sends it once it resumes.
func (o *connection) finish(reply control.Reply) {
	n := o.node
	if o.ended || !n.running || n.starts != o.starts {
		return
	}
	n.enqueue(func() {
		if o.ended {
			return
		}
		o.ended = true
		delete(n.connections, o.id)
		n.cluster.after(n.cluster.jitter(n.cluster.config.ClientDelay), func() { o.reply(reply) })
		n.finishStop()
	})
}

// abort reports to the caller that its connection was lost.
func (o *connection) abort() {
	if !o.ended {
		o.ended = true
		o.node.cluster.after(o.node.cluster.jitter(o.node.cluster.config.ClientDelay), o.lost)
	}
}

// disconnect closes the connection on the caller's side; the request is
// abandoned at the node that serves it.
func (o *connection) disconnect() {
	if o.ended {
		return
	}
	o.ended = true
	n := o.node
	if !n.running || n.starts != o.starts {
		return
	}
	delete(n.connections, o.id)
	at := n
	if o.owner != nil {
		at = o.owner
	}
	handle := o.handle
	at.enqueue(func() {
		if _, unanswered := at.waiting[handle]; unanswered && handle != 0 {
			delete(at.waiting, handle)
			at.step(control.RequestAbandoned{Handle: handle})
			delete(at.connections, o.relayed)
			at.finishStop()
		}
	})
}
