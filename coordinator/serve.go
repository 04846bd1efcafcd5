package coordinator

import (
	"time"

	"birchwood.example/birchwood/ledger"
)

// stepRequest serves a request, holds it for the takeover in progress, or replies that this
// node is not the owner.
func (c *Core) stepRequest(now time.Time, request RequestReceived) {
	if request.Partition < 0 || request.Partition >= len(c.partitions) {
		c.reply(Reply{ID: request.ID, Status: ReplyNotOwner})
		return
	}
	p := c.partitions[request.Partition]
	switch p.state {
	case stateServing:
		c.serveOrHold(now, p, heldRequest{request: request, until: now.Add(c.config.HoldTimeout)})
	case stateTakingOver:
		p.heldRequests = append(p.heldRequests, heldRequest{request: request, until: now.Add(c.config.HoldTimeout)})
	default:
		c.reply(c.notOwnerReply(request))
	}
}

// notOwnerReply returns the reply to a request about a partition that this node does not
// serve. It names the known owner, if there is one.
func (c *Core) notOwnerReply(request RequestReceived) Reply {
	reply := Reply{ID: request.ID, Status: ReplyNotOwner}
	if known := c.owners[request.Partition]; known.Epoch > 0 && known.Node != c.self().ID && !known.denied {
		reply.Owner = &known.Owner
	}
	return reply
}

// serve answers a request about a partition that this node serves.
func (c *Core) serve(now time.Time, p *partition, request RequestReceived) {
	body := request.Request
	switch {
	case body.Admit != nil:
		c.admit(now, p, request.ID, body.Admit)
	case body.Await != nil:
		c.await(p, request.ID, body.Await)
	case body.Settle != nil:
		p.ledger.Settle(now, *body.Settle)
		c.reply(Reply{ID: request.ID, Status: ReplyDone, Epoch: p.epoch})
	case body.Keep != nil:
		c.storeTurn(now, p, request.ID, body.Keep)
	case body.Find != nil:
		c.findChain(now, p, request.ID, body.Find)
	case body.Begin != nil:
		p.ledger.BeginStream(now, *body.Begin)
		c.reply(Reply{ID: request.ID, Status: ReplyDone, Epoch: p.epoch})
	case body.Origin != nil:
		c.findOrigin(p, request.ID, body.Origin)
	default:
		c.reply(Reply{ID: request.ID, Status: ReplyNotOwner})
	}
}

func (c *Core) admit(now time.Time, p *partition, id uint64, request *AdmitRequest) {
	reply := Reply{ID: id, Status: ReplyDone, Epoch: p.epoch}
	if request.Previous != "" && !request.HasChain {
		chain, found := p.ledger.Chain(request.Previous)
		if !found {
			c.reply(Reply{ID: id, Status: ReplyAbsent, Epoch: p.epoch})
			return
		}
		reply.Chain = chain
	}
	admission := p.ledger.Admit(now, request.Turn)
	if admission.Position > 0 && c.stalled(now, p) {
		if !admission.Repeated {
			// A turn that was granted before may be running and waiting for its record.
			p.ledger.Settle(now, ledger.Settlement{Turn: request.Turn.ID, Program: request.Turn.Program})
		}
		c.reply(Reply{ID: id, Status: p.refusalStatus(), Epoch: p.epoch})
		return
	}
	if admission.Replica == "" && request.Previous != "" {
		admission.Replica = p.ledger.ServedBy(request.Previous)
	}
	if request.Begin != nil && admission.Verdict == ledger.VerdictGranted {
		p.ledger.BeginStream(now, *request.Begin)
	}
	reply.Admission, reply.Stalled = &admission, c.stalled(now, p)
	c.reply(reply)
}

// findOrigin replies with the origin of a stream.
func (c *Core) findOrigin(p *partition, id uint64, request *OriginRequest) {
	origin, known := p.ledger.StreamOrigin(request.Attempt)
	if !known {
		c.reply(Reply{ID: id, Status: ReplyAbsent, Epoch: p.epoch})
		return
	}
	c.reply(Reply{ID: id, Status: ReplyDone, Epoch: p.epoch, Origin: &origin})
}

// storeTurn stores a complete turn, and answers once it is durable.
func (c *Core) storeTurn(now time.Time, p *partition, id uint64, request *KeepRequest) {
	previous := request.Turn.Previous
	if previous != "" && !request.HasBase && !p.ledger.HoldsTurn(previous) {
		c.reply(Reply{ID: id, Status: ReplyAbsent, Epoch: p.epoch})
		return
	}
	if request.RefuseWhenStalled && c.stalled(now, p) {
		c.reply(Reply{ID: id, Status: p.refusalStatus(), Epoch: p.epoch})
		return
	}
	p.ledger.Settle(now, request.Settlement)
	position := p.ledger.StoreTurn(now, request.Turn)
	p.waiters = append(p.waiters, waiter{id: id, position: position})
}

// await answers at once if the position is already durable, and later otherwise.
func (c *Core) await(p *partition, id uint64, request *AwaitRequest) {
	switch {
	case request.Epoch != p.epoch:
		c.reply(Reply{ID: id, Status: ReplyLost})
	case request.Position <= p.ledger.Durable():
		c.reply(Reply{ID: id, Status: ReplyDone, Epoch: p.epoch})
	default:
		p.waiters = append(p.waiters, waiter{id: id, position: request.Position})
	}
}

// findChain replies with the chain of a turn, or with its absence once an append has proven
// that this node still owns the partition.
func (c *Core) findChain(now time.Time, p *partition, id uint64, request *FindRequest) {
	chain, found := p.ledger.Chain(request.Turn)
	if found {
		c.reply(Reply{ID: id, Status: ReplyDone, Epoch: p.epoch, Chain: chain})
		return
	}
	if request.Unscoped != "" && p.ledger.HoldsTurn(request.Unscoped) {
		c.reply(Reply{ID: id, Status: ReplyUnscoped, Epoch: p.epoch})
		return
	}
	absent := Reply{ID: id, Status: ReplyAbsent, Epoch: p.epoch, Scoped: true}
	p.epochChecks = append(p.epochChecks, epochCheck{id: id, afterAppend: p.appendsBegun, reply: absent, requestedAt: now})
}
