package control

import (
	"time"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
)

// requestStop begins the planned stop: the node announces that it is leaving,
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

// requestDrain begins the planned stop of this node, or sends the request to
// the peer that should stop.
func (c *Core) requestDrain(now time.Time, id machine.ID) {
	if id == c.config.Self.ID {
		c.requestStop(now)
		return
	}
	c.sendTo(id, link.Message{Drain: true})
}

// finishStop emits StopComplete once all partitions are handed over, or once
// the drain deadline plus ParkTimeout has passed.
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

// busy reports whether a handover would interrupt running attempts or lose
// unproposed records.
func (p *ownedPartition) busy() bool {
	return len(p.placed) > 0 || len(p.unproposed) > 0
}

// reviewDrain starts and ends the draining of a partition whose handover is
// due. While it drains, no new attempt starts, and the handover is deferred
// while attempts run, but at most for DrainTimeout. An attempt that still runs
// then is resumed by the next owner under the same stream name, or looked up by
// its key.
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

// postponeQueued withdraws the partition's unplaced calls from the scheduler.
// The next owner schedules them.
func (p *ownedPartition) postponeQueued(c *Core) {
	for _, call := range sortedCalls(p.queued) {
		c.config.Policy.Withdraw(call)
		p.postponed = append(p.postponed, p.queued[call].effect)
	}
	clear(p.queued)
}

// endDrain schedules the postponed calls of a partition that stays on this node
// after all.
func (c *Core) endDrain(now time.Time, owned *ownedPartition) {
	owned.draining = false
	postponed := owned.postponed
	owned.postponed = nil
	for _, effect := range postponed {
		c.scheduleCall(now, owned, effect)
	}
}
