package history

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// checkMemory verifies that an engine caches nothing of a program whose end
// was acknowledged longer ago than the bound. The bound is counted from the
// end of the last fault on any machine, since the sweep needs the program's
// owner, the engine and the engine's manager.
func (c *checker) checkMemory() {
	for _, held := range c.held {
		for _, id := range held.EngineCache.Programs {
			program, found := c.byProgram[id]
			if !found || program.acknowledgedEnd == nil {
				continue
			}
			acknowledgedEnd := program.acknowledgedEnd.At
			if c.faultFreeTime(acknowledgedEnd, held.At, anyFault) > c.run.MemoryBound {
				c.report(InvariantMemory, []*record{program.acknowledgedEnd, held},
					"engine %s holds memory of program %s, which ended %s ago",
					held.EngineCache.Backend, id, held.At.Sub(acknowledgedEnd))
			}
		}
	}
}

// checkLeaving verifies that no call starts at a leaving back end after the
// bound. Time in which faults kept nodes from receiving the machine list, or
// suspended them, does not count.
func (c *checker) checkLeaving() {
	left := map[machine.ID]*record{}
	for _, r := range c.leaving {
		if _, found := left[r.Leaving.Backend]; !found {
			left[r.Leaving.Backend] = r
		}
	}
	for _, program := range c.programs {
		for _, each := range program.calls {
			for _, start := range each.started {
				since, found := left[start.AttemptStarted.Backend]
				if found && c.faultFreeTime(since.At, start.At, hidesLeaving(start.AttemptStarted.Backend)) > c.run.LeavingBound {
					c.report(InvariantLeaving, []*record{since, start},
						"back end %s was given call %d of program %s %s after it began to leave",
						start.AttemptStarted.Backend, each.ref.sequence, program.id, start.At.Sub(since.At))
				}
			}
		}
	}
}

// stopInterval is the interval of a machine's planned stop.
type stopInterval struct {
	from, to time.Time
	begin    *record
}

// checkPlannedStops verifies that no caller's connection is lost and no
// attempt is interrupted at a machine during its planned stop, unless a fault
// affects the machine meanwhile.
func (c *checker) checkPlannedStops() {
	intervals := c.stopIntervals()
	for _, exchange := range c.exchanges {
		if exchange.lost == nil || exchange.lost.Lost.HungUp || exchange.lost.Lost.NotSent {
			continue
		}
		if stop := c.plannedStopAt(intervals, exchange.sent.Sent.Node, exchange.lost.At); stop != nil {
			c.report(InvariantPlannedStop, []*record{stop, exchange.sent, exchange.lost},
				"the planned stop of %s cut request %s", exchange.sent.Sent.Node, exchange.sent.Sent.Request)
		}
	}
	for _, program := range c.programs {
		for _, each := range program.calls {
			for _, r := range each.finished {
				if r.AttemptFinished.Outcome != OutcomeInterrupted {
					continue
				}
				if stop := c.plannedStopAt(intervals, r.AttemptFinished.Backend, r.At); stop != nil {
					c.report(InvariantPlannedStop, []*record{stop, r},
						"the planned stop of %s cut call %d of program %s",
						r.AttemptFinished.Backend, each.ref.sequence, program.id)
				}
			}
		}
	}
}

// stopIntervals returns the intervals of the planned stops by machine.
func (c *checker) stopIntervals() map[machine.ID][]stopInterval {
	intervals := map[machine.ID][]stopInterval{}
	for _, r := range c.plannedStops {
		id := r.PlannedStop.Machine
		if !r.PlannedStop.Done {
			intervals[id] = append(intervals[id], stopInterval{from: r.At, to: c.end, begin: r})
			continue
		}
		if count := len(intervals[id]); count > 0 {
			intervals[id][count-1].to = r.At
		}
	}
	return intervals
}

// plannedStopAt returns the record that began the machine's planned stop in
// progress at the given time. It returns nil if there is none or if a fault
// affected the machine since that stop began.
func (c *checker) plannedStopAt(intervals map[machine.ID][]stopInterval, id machine.ID, at time.Time) *record {
	for _, interval := range intervals[id] {
		if at.Before(interval.from) || at.After(interval.to) {
			continue
		}
		if !c.faultActive(interval.from, at, affects(id)) {
			return interval.begin
		}
	}
	return nil
}

// anyFault selects all faults.
func anyFault(*Fault) bool { return true }

// hidesLeaving selects the faults that can keep a node from noticing that the
// machine is leaving.
func hidesLeaving(id machine.ID) func(*Fault) bool {
	return func(fault *Fault) bool {
		return fault.Machine == id || fault.Kind == FaultStore || fault.Kind == FaultIncompleteList || fault.Kind == FaultPause
	}
}

// affects selects the faults of one machine and of the platform.
func affects(id machine.ID) func(*Fault) bool {
	return func(fault *Fault) bool {
		return fault.Machine == id || fault.Machine == "" && fault.Kind != FaultIncompleteList
	}
}

// faultActive reports whether a selected fault was active at any time in the
// interval.
func (c *checker) faultActive(from, to time.Time, selected func(*Fault) bool) bool {
	active := 0
	for _, r := range c.faults {
		if !selected(r.Fault) || r.At.After(to) {
			continue
		}
		if !r.Fault.Begin {
			active--
			continue
		}
		active++
		if !r.At.Before(from) {
			return true
		}
	}
	return active > 0
}

// faultFreeTime returns the part of the interval after the end of the last
// selected fault, or zero if a selected fault is active at its end. Bounds are
// compared with this time.
func (c *checker) faultFreeTime(from, to time.Time, selected func(*Fault) bool) time.Duration {
	active := 0
	faultFreeSince := from
	for _, r := range c.faults {
		if !selected(r.Fault) || r.At.After(to) {
			continue
		}
		if r.Fault.Begin {
			active++
			continue
		}
		active--
		if r.At.After(faultFreeSince) {
			faultFreeSince = r.At
		}
	}
	if active > 0 {
		return 0
	}
	return to.Sub(faultFreeSince)
}
