package coordinator

import (
	"time"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/machine"
)

// heardWithin is how often statuses must bring the loads of each peer, in the mean, for
// them to do: half of the time that such a report counts.
const maxLoadReportInterval = time.Second

// hearsAll reports whether the statuses of the failure detector, which each probe and
// each answer carries, bring every peer's loads often enough.
func (c *Core) statusesSuffice() bool {
	probing := &c.config.Membership
	statusesPerPeriod := 2 * max(1, probing.ProbesPerPeriod)
	return time.Duration(c.LiveCount()-1)*probing.ProbePeriod/time.Duration(statusesPerPeriod) <= maxLoadReportInterval
}

// gather tells the collectors what this node has under way, and as a collector tells
// others.
func (c *Core) gather(now time.Time) {
	roles := &c.ranking.roles
	c.gatherer.Tick(now, gather.Fleet{
		Self: c.self(), Off: c.config.GatherNothing || c.statusesSuffice(), Near: roles.Near,
		Collectors: roles.Collectors, Remote: roles.RemoteCollectors,
	}, c.loads.Reports)
	c.collectGatherReady()
}

// stepGather takes in a message about loads, of a node that this one knows.
func (c *Core) stepGather(now time.Time, from machine.ID, message gather.Message) {
	sender, known := c.lookup(from)
	if !known {
		return
	}
	if err := c.gatherer.Receive(now, sender, message); err != nil {
		c.ready.Unread = append(c.ready.Unread, Unread{From: from, Err: err})
	}
	c.collectGatherReady()
}

// collectGathered passes on what the exchange of loads has ready.
func (c *Core) collectGatherReady() {
	ready := c.gatherer.Ready()
	for _, outbound := range ready.Messages {
		message := outbound.Message
		c.ready.Messages = append(c.ready.Messages, Outbound{To: outbound.To, Message: PeerMessage{From: c.briefSelf(), Gather: &message}})
	}
	if ready.Totals != nil {
		c.ready.Totals = ready.Totals
	}
	c.ready.Collectors = append(c.ready.Collectors, ready.Changes...)
}

// brief names this node where the receiver knows the rest: such messages are many.
func (c *Core) briefSelf() machine.Machine {
	return machine.Machine{ID: c.self().ID, Zone: c.self().Zone}
}
