package cluster

import (
	"time"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// recordFault records the start or the end of a fault.
func (c *Cluster) recordFault(kind history.FaultKind, id machine.ID, begin bool) {
	c.record(history.Event{Fault: &history.Fault{Kind: kind, Machine: id, Begin: begin}})
}

// Crash kills a node's process.
func (c *Cluster) Crash(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running {
		return
	}
	if n.paused {
		c.recordFault(history.FaultPause, n.self.ID, false)
	}
	c.recordFault(history.FaultDown, n.self.ID, true)
	n.crash()
}

// Restart starts a node's process again if it isn't running.
func (c *Cluster) Restart(index int) error {
	n := c.nodes[index%len(c.nodes)]
	if n.running {
		return nil
	}
	c.recordFault(history.FaultDown, n.self.ID, false)
	return n.start()
}

// Pause suspends a node's process without killing it.
func (c *Cluster) Pause(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running || n.paused {
		return
	}
	c.recordFault(history.FaultPause, n.self.ID, true)
	n.paused = true
}

// Resume continues a paused process, which first handles everything that
// arrived during the pause.
func (c *Cluster) Resume(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running || !n.paused {
		return
	}
	c.recordFault(history.FaultPause, n.self.ID, false)
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, run := range backlog {
		n.enqueue(run)
	}
	n.enqueue(func() { n.step(control.Tick{}) })
}

// Stop starts a planned stop of a node.
func (c *Cluster) Stop(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running || n.paused || n.leaving {
		return
	}
	n.leaving = true
	c.record(history.Event{PlannedStop: &history.PlannedStop{Machine: n.self.ID}})
	n.post(control.StopRequested{})
}

// BlockLink blocks the link from one zone to another in this direction only.
func (c *Cluster) BlockLink(from, to int) {
	link := zonePair{c.zone(from), c.zone(to)}
	if link.from == link.to || c.blockedLinks[link] {
		return
	}
	c.blockedLinks[link] = true
	c.recordLinkFault(link, true)
}

// UnblockLinks unblocks every blocked link.
func (c *Cluster) UnblockLinks() {
	for _, from := range c.config.Zones {
		for _, to := range c.config.Zones {
			if link := (zonePair{from, to}); c.blockedLinks[link] {
				delete(c.blockedLinks, link)
				c.recordLinkFault(link, false)
			}
		}
	}
}

// zone returns the zone with the index, modulo the number of zones.
func (c *Cluster) zone(index int) zone.Name { return c.config.Zones[index%len(c.config.Zones)] }

// recordLinkFault records the start or end of a blocked link as a fault of every
// node and engine in both zones.
func (c *Cluster) recordLinkFault(link zonePair, begin bool) {
	for _, n := range c.nodes {
		if n.self.Zone == link.from || n.self.Zone == link.to {
			c.recordFault(history.FaultNetworkPartition, n.self.ID, begin)
		}
	}
	for _, e := range c.engines {
		if e.machine.Zone == link.from || e.machine.Zone == link.to {
			c.recordFault(history.FaultNetworkPartition, e.machine.ID, begin)
		}
	}
}

// StoreDown makes the platform unavailable.
func (c *Cluster) StoreDown() { c.setStore(func(s *storeFaults) { s.down = true }) }

// StoreSlow makes the platform take seconds for every request.
func (c *Cluster) StoreSlow() { c.setStore(func(s *storeFaults) { s.slow = true }) }

// StoreLosesAnswers makes the platform lose half of its answers, after the
// requests took effect.
func (c *Cluster) StoreLosesAnswers() { c.setStore(func(s *storeFaults) { s.loseAnswers = true }) }

// StoreUp ends all faults of the platform.
func (c *Cluster) StoreUp() { c.setStore(func(s *storeFaults) { *s = storeFaults{} }) }

// setStore changes the platform's faults, and records when the first one starts
// and when the last one ends.
func (c *Cluster) setStore(change func(*storeFaults)) {
	before := c.store
	change(&c.store)
	if before == (storeFaults{}) && c.store != before {
		c.recordFault(history.FaultStore, "", true)
	}
	if before != (storeFaults{}) && c.store == (storeFaults{}) {
		c.recordFault(history.FaultStore, "", false)
	}
}

// Flap sets whether the machine list omits entries at random.
func (c *Cluster) Flap(on bool) {
	if on != c.flapping {
		c.flapping = on
		c.recordFault(history.FaultIncompleteList, "", on)
	}
}

// CrashEngine kills an engine, which loses its streams and cached prefixes.
func (c *Cluster) CrashEngine(index int) {
	e := c.engines[index%len(c.engines)]
	if !e.down {
		c.recordFault(history.FaultDown, e.machine.ID, true)
		e.crash()
	}
}

// RestartEngine starts a crashed engine again, with an empty cache.
func (c *Cluster) RestartEngine(index int) {
	e := c.engines[index%len(c.engines)]
	if e.down {
		e.down = false
		c.machines.Announce(c.now, e.machine)
		c.recordFault(history.FaultDown, e.machine.ID, false)
	}
}

// LeaveEngine marks an engine as leaving in the machine list.
func (c *Cluster) LeaveEngine(index int) {
	e := c.engines[index%len(c.engines)]
	if e.down || e.machine.Status == machine.StatusLeaving {
		return
	}
	e.machine.Status = machine.StatusLeaving
	c.machines.Announce(c.now, e.machine)
	c.record(history.Event{Leaving: &history.Leaving{Backend: e.machine.ID}})
}

// HangTool sets whether a tool service executes requests without ever answering.
func (c *Cluster) HangTool(index int, on bool) {
	c.tools[index%len(c.tools)].hanging = on
}

// Heal ends every fault and restarts every node and engine that is down.
func (c *Cluster) Heal() error {
	c.UnblockLinks()
	c.StoreUp()
	c.Flap(false)
	for i := range c.nodes {
		c.Resume(i)
		if err := c.Restart(i); err != nil {
			return err
		}
	}
	for i := range c.engines {
		c.RestartEngine(i)
	}
	for i := range c.tools {
		c.HangTool(i, false)
	}
	return nil
}

// Limits of Settle: planned stops get stoppingSteps steps to complete, the
// healed cluster settleSteps steps to answer all callers, and the sweeps of the
// engines' caches get sweepingTime.
const (
	settleStep    = 5 * time.Second
	settleSteps   = 240
	sweepingTime  = 100 * time.Second
	stoppingSteps = 30
)

// Settle waits for planned stops, ends all faults, waits until every caller has
// its answers and the sweeps have run, lists the engines' prefixes, and closes
// the history.
func (c *Cluster) Settle() error {
	for range stoppingSteps {
		if !c.stopping() {
			break
		}
		c.Advance(settleStep)
	}
	if err := c.Heal(); err != nil {
		return err
	}
	for range settleSteps {
		if c.idle() {
			break
		}
		c.Advance(settleStep)
	}
	c.Advance(sweepingTime)
	for _, e := range c.engines {
		e.list()
	}
	c.record(history.Event{RunEnded: &history.RunEnded{Settled: true}})
	return nil
}

// stopping reports whether a planned stop is in progress.
func (c *Cluster) stopping() bool {
	for _, n := range c.nodes {
		if n.running && n.leaving {
			return true
		}
	}
	return false
}

// idle reports whether every program has ended.
func (c *Cluster) idle() bool {
	for _, each := range c.agents {
		if !each.done {
			return false
		}
	}
	return true
}
