package coordinator

import (
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// FormerMessage passes the final state of a partition on to its new owner.
type FormerMessage struct {
	Partition int `json:"partition"`
	// Epoch is that of the new owner.
	Epoch ownership.Epoch    `json:"epoch"`
	State ledger.FormerState `json:"state"`
}

// FormerReconciled reports, for logging, that an owner took over a FormerState.
type FormerReconciled struct {
	Partition int
	Epoch     ownership.Epoch
	From      machine.ID
	// Accounts is the number of accounts in the state, and Reconciled that of the accounts
	// that changed.
	Accounts   int
	Reconciled int
	// Confirmed is how long ago the log last confirmed the former owner.
	Confirmed time.Duration
}

const (
	// formerSends is how many times a FormerState is sent, since the new owner may not be
	// serving yet, and formerSendInterval the time between.
	formerSends        = 3
	formerSendInterval = 500 * time.Millisecond
	// formerLifetime is how long a FormerState waits for a new owner to become known.
	formerLifetime = 30 * time.Second
)

// former is the final state of an ownership that this node lost.
type former struct {
	state     ledger.FormerState
	epoch     ownership.Epoch
	lostAt    time.Time
	sendsLeft int
	nextSend  time.Time
}

// keepFormerState keeps the final state of an ownership for the new owner.
func (c *Core) keepFormerState(now time.Time, p *partition) {
	if c.config.SkipFormerState {
		return
	}
	p.former = &former{state: p.ledger.FormerState(now), epoch: p.epoch, lostAt: now, sendsLeft: formerSends, nextSend: now}
}

// tickFormer sends the state of a lost ownership to the new owner once that serves.
func (c *Core) tickFormer(now time.Time, p *partition) {
	if p.former == nil || now.Before(p.former.nextSend) {
		return
	}
	if p.former.sendsLeft == 0 || now.Sub(p.former.lostAt) > formerLifetime {
		p.former = nil
		return
	}
	owner := &c.owners[p.index]
	if owner.Epoch <= p.former.epoch || owner.TakingOver {
		return
	}
	p.former.sendsLeft--
	p.former.nextSend = now.Add(formerSendInterval)
	message := FormerMessage{Partition: p.index, Epoch: owner.Epoch, State: p.former.state}
	message.State.ConfirmedAgo += now.Sub(p.former.lostAt)
	if owner.Node == c.self().ID {
		c.stepFormer(now, c.self().ID, &message)
		return
	}
	if node, known := c.membership.Lookup(owner.Node); known {
		c.ready.Messages = append(c.ready.Messages, Outbound{To: node, Message: PeerMessage{From: c.self(), Former: &message}})
	}
}

// stepFormer takes over the state of a former owner.
func (c *Core) stepFormer(now time.Time, from machine.ID, message *FormerMessage) {
	if message.Partition < 0 || message.Partition >= len(c.partitions) {
		return
	}
	p := c.partitions[message.Partition]
	if p.state != stateServing || p.epoch != message.Epoch {
		return
	}
	reconciled := p.ledger.Reconcile(now, message.State)
	c.ready.FormerReconciled = append(c.ready.FormerReconciled, FormerReconciled{
		Partition: p.index, Epoch: p.epoch, From: from, Accounts: len(message.State.Accounts),
		Reconciled: reconciled, Confirmed: message.State.ConfirmedAgo,
	})
	if reconciled > 0 {
		c.startClaimSearch(now, p)
	}
}
