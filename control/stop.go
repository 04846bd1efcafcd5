package control

import (
	"time"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
)

// requestStop begins the planned stop: the node announces that it leaves,
// drains its partitions and hands each over once its attempts have ended.
func (c *Core) requestStop(now time.Time) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.stopBy = now.Add(c.config.DrainTimeout)
	c.nextList = now
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
	if len(c.partitions) > 0 && now.Before(c.stopBy.Add(c.config.ParkTimeout)) {
		return
	}
	c.stopped = true
	c.emit(StopComplete{})
}

// beginDrain stops new attempts in a partition that is to be handed over.
func (c *Core) beginDrain(now time.Time, owned *ownedPartition) {
	if !owned.draining {
		owned.draining = true
		owned.drainUntil = now.Add(c.config.DrainTimeout)
		owned.holdQueued(c)
	}
	c.continueDrain(now, owned)
}

// holdQueued takes the partition's calls that are not placed yet out of the
// scheduler; the next owner starts them.
func (p *ownedPartition) holdQueued(c *Core) {
	for _, call := range sortedCalls(p.queued) {
		c.config.Policy.Withdraw(call)
		p.held = append(p.held, p.queued[call])
	}
	clear(p.queued)
}

// continueDrain hands the partition over once no attempt runs, or when it has
// taken too long. An attempt that still runs then is resumed by the next
// owner, under the same stream name, or looked up by its key.
func (c *Core) continueDrain(now time.Time, owned *ownedPartition) {
	busy := len(owned.placed) > 0 || len(owned.unproposed) > 0
	if busy && now.Before(owned.drainUntil) {
		return
	}
	owned.replica.SetView(now, partition.View{Nodes: c.nodes, Stopping: c.stopping})
}

// endDrain lets a partition that stays here after all go on.
func (c *Core) endDrain(now time.Time, owned *ownedPartition) {
	if !owned.draining {
		return
	}
	owned.draining = false
	held := owned.held
	owned.held = nil
	for _, effect := range held {
		c.start(now, owned, effect)
	}
}
