package coordinator

import (
	"time"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/machine"
)

// maxLoadReportInterval is the longest mean time between two statuses of a peer at which
// statuses alone report loads often enough. It is half of the time for which such a report
// is valid.
const maxLoadReportInterval = time.Second

// statusesSuffice reports whether the statuses of the failure detector, which each probe
// and each answer carries, report every peer's loads often enough.
func (c *Core) statusesSuffice() bool {
	probing := &c.config.Membership
	statusesPerPeriod := 2 * max(1, probing.ProbesPerPeriod)
	return time.Duration(c.LiveCount()-1)*probing.ProbePeriod/time.Duration(statusesPerPeriod) <= maxLoadReportInterval
}

// gather reports this node's requests in progress to the collectors, and performs the
// collector role if this node has it.
func (c *Core) gather(now time.Time) {
	roles := &c.ranking.roles
	c.gatherer.Tick(now, gather.Fleet{
		Self: c.self(), Disabled: c.config.DisableGathering || c.statusesSuffice(), Near: roles.Near,
		Collectors: roles.Collectors, PeerCollectors: roles.RemoteCollectors,
	}, c.loads.Reports)
	c.collectGatherReady()
}

// stepGather processes a message about loads if its sender is known.
func (c *Core) stepGather(now time.Time, from machine.ID, message gather.Message) {
	sender, known := c.lookup(from)
	if !known {
		return
	}
	if err := c.gatherer.Receive(now, sender, message); err != nil {
		c.ready.Rejected = append(c.ready.Rejected, Rejected{From: from, Err: err})
	}
	c.collectGatherReady()
}

// collectGatherReady moves the output of the gatherer into that of the core.
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

// briefSelf returns only this node's ID and zone. Gather messages are frequent, and their
// receivers have the rest.
func (c *Core) briefSelf() machine.Machine {
	return machine.Machine{ID: c.self().ID, Zone: c.self().Zone}
}
