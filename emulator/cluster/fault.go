package cluster

import (
	"time"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// fault records the begin or the end of a disturbance.
func (c *Cluster) fault(kind history.FaultKind, id machine.ID, begin bool) {
	c.record(history.Event{Fault: &history.Fault{Kind: kind, Machine: id, Begin: begin}})
}

// Crash kills a node's process.
func (c *Cluster) Crash(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running {
		return
	}
	if n.paused {
		c.fault(history.FaultPause, n.self.ID, false)
	}
	c.fault(history.FaultDown, n.self.ID, true)
	n.crash()
}

// Restart starts a node's process again, if it is dead.
func (c *Cluster) Restart(index int) error {
	n := c.nodes[index%len(c.nodes)]
	if n.running {
		return nil
	}
	c.fault(history.FaultDown, n.self.ID, false)
	return n.start()
}

// Pause stops a node's process without killing it.
func (c *Cluster) Pause(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running || n.paused {
		return
	}
	c.fault(history.FaultPause, n.self.ID, true)
	n.paused = true
}

// Wake lets a paused process go on, with all that reached it meanwhile.
func (c *Cluster) Wake(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running || !n.paused {
		return
	}
	c.fault(history.FaultPause, n.self.ID, false)
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, run := range backlog {
		n.enqueue(run)
	}
	n.enqueue(func() { n.step(control.Tick{}) })
}

// Stop begins a node's planned stop.
func (c *Cluster) Stop(index int) {
	n := c.nodes[index%len(c.nodes)]
	if !n.running || n.paused || n.leaving {
		return
	}
	n.leaving = true
	c.record(history.Event{PlannedStop: &history.PlannedStop{Machine: n.self.ID}})
	n.post(control.StopRequested{})
}

// Cut cuts the way from one zone to another; the other direction stays.
func (c *Cluster) Cut(from, to int) {
	way := zonePair{c.zone(from), c.zone(to)}
	if way.from == way.to || c.cuts[way] {
		return
	}
	c.cuts[way] = true
	c.faultZones(way, true)
}

// Mend opens every way that is cut.
func (c *Cluster) Mend() {
	for _, from := range c.config.Zones {
		for _, to := range c.config.Zones {
			if way := (zonePair{from, to}); c.cuts[way] {
				delete(c.cuts, way)
				c.faultZones(way, false)
			}
		}
	}
}

// zone returns a zone by a number.
func (c *Cluster) zone(index int) zone.Name { return c.config.Zones[index%len(c.config.Zones)] }

// faultZones records a cut for every machine in both zones.
func (c *Cluster) faultZones(way zonePair, begin bool) {
	for _, n := range c.nodes {
		if n.self.Zone == way.from || n.self.Zone == way.to {
			c.fault(history.FaultNetworkPartition, n.self.ID, begin)
		}
	}
	for _, e := range c.engines {
		if e.machine.Zone == way.from || e.machine.Zone == way.to {
			c.fault(history.FaultNetworkPartition, e.machine.ID, begin)
		}
	}
}

// StoreDown makes the platform's service unreachable.
func (c *Cluster) StoreDown() { c.setStore(func(s *storeFaults) { s.down = true }) }

// StoreSlow makes it take seconds for every request.
func (c *Cluster) StoreSlow() { c.setStore(func(s *storeFaults) { s.slow = true }) }

// StoreLosesAnswers makes half of its answers get lost after the effect.
func (c *Cluster) StoreLosesAnswers() { c.setStore(func(s *storeFaults) { s.loseAnswers = true }) }

// StoreUp heals the platform's service.
func (c *Cluster) StoreUp() { c.setStore(func(s *storeFaults) { *s = storeFaults{} }) }

func (c *Cluster) setStore(change func(*storeFaults)) {
	before := c.store
	change(&c.store)
	if before == (storeFaults{}) && c.store != before {
		c.fault(history.FaultStore, "", true)
	}
	if before != (storeFaults{}) && c.store == (storeFaults{}) {
		c.fault(history.FaultStore, "", false)
	}
}

// Flap makes the machine list leave out entries at random, or stops that.
func (c *Cluster) Flap(on bool) {
	if on != c.flapping {
		c.flapping = on
		c.fault(history.FaultIncompleteList, "", on)
	}
}

// CrashEngine kills an engine: its streams and prefixes are gone.
func (c *Cluster) CrashEngine(index int) {
	e := c.engines[index%len(c.engines)]
	if !e.down {
		c.fault(history.FaultDown, e.machine.ID, true)
		e.crash()
	}
}

// RestartEngine starts a dead engine again, empty.
func (c *Cluster) RestartEngine(index int) {
	e := c.engines[index%len(c.engines)]
	if e.down {
		e.down = false
		c.machines.Announce(c.now, e.machine)
		c.fault(history.FaultDown, e.machine.ID, false)
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

// HangTool makes a tool service take requests and never answer, or stops that.
func (c *Cluster) HangTool(index int, on bool) {
	c.tools[index%len(c.tools)].hanging = on
}

// Heal ends every fault and starts every dead node.
func (c *Cluster) Heal() error {
	c.Mend()
	c.StoreUp()
	c.Flap(false)
	for i := range c.nodes {
		c.Wake(i)
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

// The time that a healed cluster gets to answer everything, and then to sweep.
const (
	settleStep    = 5 * time.Second
	settleSteps   = 240
	sweepingTime  = 100 * time.Second
	stoppingSteps = 30
)

// Settle heals everything, waits until every caller has its answers and every
// sweep has passed, and closes the history.
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

// stopping reports whether a planned stop is under way.
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
