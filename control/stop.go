package control

import (
	"time"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
)

// requestStop begins the planned stop: the node announces that it leaves,
// drains its partitions and hands each over once its attempts have ended.
func (c *Core) requestStop(now time.Time) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.drainDeadline = now.Add(c.config.DrainTimeout)
	c.nextListAt = now
	c.membership.Leave(now)
	c.expireParked(now)
	for _, owned := range c.sortedPartitions() {
		c.setView(now, owned)
	}
}

// requestDrain begins the planned stop of this node, or tells the peer whose
// stop is asked for.
func (c *Core) requestDrain(now time.Time, id machine.ID) {
	if id == c.config.Self.ID {
		c.requestStop(now)
		return
	}
	c.sendTo(id, link.Message{Drain: true})
}

// finishStop reports that nothing is left to hand over.
func (c *Core) finishStop(now time.Time) {
	if !c.stopping || c.stopped {
		return
	}
	if len(c.partitions) > 0 && now.Before(c.drainDeadline.Add(c.config.ParkTimeout)) {
		return
	}
	c.stopped = true
	c.emit(StopComplete{})
}

// busy reports whether work runs that a hand-over would cut.
func (p *ownedPartition) busy() bool {
	return len(p.placed) > 0 || len(p.unproposed) > 0
}

// reviewDrain drains a partition whose hand-over is due: no new attempt
// starts, and the hand-over is held while attempts run, but not longer than
// the drain's time-out. An attempt that still runs then is resumed by the next
// owner, under the same stream name, or looked up by its key.
func (c *Core) reviewDrain(now time.Time, owned *ownedPartition) {
	due := owned.serving() && owned.replica.HandoverDue()
	switch {
	case due && !owned.draining:
		owned.draining = true
		owned.drainDeadline = now.Add(c.config.DrainTimeout)
		owned.postponeQueued(c)
	case !due && owned.draining && owned.serving():
		c.endDrain(now, owned)
	}
	hold := owned.busy() && (!owned.draining || now.Before(owned.drainDeadline))
	if hold != owned.handoverHeld {
		c.setView(now, owned)
	}
}

// postponeQueued takes the partition's calls that are not placed yet out of
// the scheduler; the next owner starts them.
func (p *ownedPartition) postponeQueued(c *Core) {
	for _, call := range sortedCalls(p.queued) {
		c.config.Policy.Withdraw(call)
		p.postponed = append(p.postponed, p.queued[call].effect)
	}
	clear(p.queued)
}

// endDrain lets a partition that stays here after all go on.
func (c *Core) endDrain(now time.Time, owned *ownedPartition) {
	owned.draining = false
	postponed := owned.postponed
	owned.postponed = nil
	for _, effect := range postponed {
		c.scheduleCall(now, owned, effect)
	}
}
