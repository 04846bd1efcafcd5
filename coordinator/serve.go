package coordinator

import (
	"time"

	"birchwood.example/birchwood/ledger"
)

// stepRequest serves a request, holds it for the takeover under way, or says
// that this node is not the owner.
func (c *Core) stepRequest(now time.Time, request Requested) {
	if request.Partition < 0 || request.Partition >= len(c.partitions) {
		c.reply(Reply{ID: request.ID, Status: ReplyNotOwner})
		return
	}
	one := c.partitions[request.Partition]
	switch one.state {
	case stateServing:
		c.serveOrHold(now, one, heldRequest{request: request, until: now.Add(c.config.HoldFor)})
	case stateTaking:
		one.held = append(one.held, heldRequest{request: request, until: now.Add(c.config.HoldFor)})
	default:
		c.reply(c.notOwner(request))
	}
}

// notOwner answers a request about a partition that this node does not serve, with
// the node that does as far as it knows.
func (c *Core) notOwner(request Requested) Reply {
	reply := Reply{ID: request.ID, Status: ReplyNotOwner}
	if known := c.owners[request.Partition]; known.Epoch > 0 && known.Node != c.self().ID && !known.disowned {
		reply.Owner = &known.Owner
	}
	return reply
}

// serve answers a request about a partition that this node serves.
func (c *Core) serve(now time.Time, one *partition, request Requested) {
	body := request.Request
	switch {
	case body.Admit != nil:
		c.admit(now, one, request.ID, body.Admit)
	case body.Await != nil:
		c.await(one, request.ID, body.Await)
	case body.Settle != nil:
		one.ledger.Settle(now, *body.Settle)
		c.reply(Reply{ID: request.ID, Status: ReplyDone, Epoch: one.epoch})
	case body.Keep != nil:
		c.keep(now, one, request.ID, body.Keep)
	case body.Find != nil:
		c.find(now, one, request.ID, body.Find)
	default:
		c.reply(Reply{ID: request.ID, Status: ReplyNotOwner})
	}
}

func (c *Core) admit(now time.Time, one *partition, id uint64, asked *AdmitRequest) {
	reply := Reply{ID: id, Status: ReplyDone, Epoch: one.epoch}
	if asked.Previous != "" && !asked.HasChain {
		chain, found := one.ledger.Chain(asked.Previous)
		if !found {
			c.reply(Reply{ID: id, Status: ReplyAbsent, Epoch: one.epoch})
			return
		}
		reply.Chain = chain
	}
	admission := one.ledger.Admit(now, asked.Turn)
	if admission.Position > 0 && c.stalled(now, one) {
		if !admission.Again {
			// One that was granted before may run, and wait for its record.
			one.ledger.Settle(now, ledger.Settlement{Turn: asked.Turn.ID, Program: asked.Turn.Program})
		}
		c.reply(Reply{ID: id, Status: one.refusal(), Epoch: one.epoch})
		return
	}
	if admission.Replica == "" && asked.Previous != "" {
		admission.Replica = one.ledger.ServedBy(asked.Previous)
	}
	reply.Admission, reply.Stalled = &admission, c.stalled(now, one)
	c.reply(reply)
}

// keep takes a whole turn in, and answers once it is durable.
func (c *Core) keep(now time.Time, one *partition, id uint64, asked *KeepRequest) {
	previous := asked.Turn.Previous
	if previous != "" && !asked.HasBase && !one.ledger.Holds(previous) {
		c.reply(Reply{ID: id, Status: ReplyAbsent, Epoch: one.epoch})
		return
	}
	if asked.AtOnce && c.stalled(now, one) {
		c.reply(Reply{ID: id, Status: one.refusal(), Epoch: one.epoch})
		return
	}
	one.ledger.Settle(now, asked.Settlement)
	position := one.ledger.Keep(now, asked.Turn)
	one.waiters = append(one.waiters, waiter{id: id, position: position})
}

// await answers at once what is durable already.
func (c *Core) await(one *partition, id uint64, asked *AwaitRequest) {
	switch {
	case asked.Epoch != one.epoch:
		c.reply(Reply{ID: id, Status: ReplyLost})
	case asked.Position <= one.ledger.Durable():
		c.reply(Reply{ID: id, Status: ReplyDone, Epoch: one.epoch})
	default:
		one.waiters = append(one.waiters, waiter{id: id, position: asked.Position})
	}
}

// find answers with a chain, or proves first that it is not here.
func (c *Core) find(now time.Time, one *partition, id uint64, asked *FindRequest) {
	chain, found := one.ledger.Chain(asked.Turn)
	if found {
		c.reply(Reply{ID: id, Status: ReplyDone, Epoch: one.epoch, Chain: chain})
		return
	}
	if asked.Unscoped != "" && one.ledger.Holds(asked.Unscoped) {
		c.reply(Reply{ID: id, Status: ReplyUnowned, Epoch: one.epoch})
		return
	}
	absent := Reply{ID: id, Status: ReplyAbsent, Epoch: one.epoch, Scoped: true}
	one.verifiers = append(one.verifiers, verifier{id: id, after: one.begun, reply: absent, askedAt: now})
}
