package history

import (
	"slices"
	"time"

	"birchwood.example/birchwood/zone"
)

// checkPlacement verifies that calls run and records are used only in zones
// that the placement of their branch permits, or permitted within the bound
// before.
func (c *checker) checkPlacement() {
	for _, program := range c.programs {
		if len(program.created) == 0 {
			continue
		}
		placements := c.placements[program.created[0].ProgramCreated.Branch]
		for _, each := range program.calls {
			for _, start := range each.started {
				if start.AttemptStarted.Zone == "" || permitted(placements, start.AttemptStarted.Zone, start.At, c.run.SettingsBound) {
					continue
				}
				c.report(InvariantPlacement, []*record{lastBefore(placements, start.At), start},
					"call %d of program %s ran in zone %s, which its placement does not permit",
					each.ref.sequence, program.id, start.AttemptStarted.Zone)
			}
		}
	}
	c.checkStreams()
}

// checkStreams verifies that the records of a branch are used only in its
// zones. A previous owner in another zone has the bound to hand the records
// over, not counting the time of faults.
func (c *checker) checkStreams() {
	for _, r := range c.streams {
		placements := c.placements[r.Stream.Branch]
		if permitted(placements, r.Stream.Zone, r.At, c.run.MoveBound) {
			continue
		}
		last := lastBefore(placements, r.At)
		withinBound := last != nil && c.faultFreeTime(last.PlacementSet.Since, r.At, anyFault) <= c.run.MoveBound
		if withinBound && everPermitted(placements, r.Stream.Zone) {
			continue
		}
		c.report(InvariantPlacement, []*record{last, r},
			"machine %s in zone %s used stream %s", r.Stream.Machine, r.Stream.Zone, r.Stream.Stream)
	}
}

// permitted reports whether the zone is permitted by the placement in effect
// at the given time or by one that was replaced at most the bound before. It
// returns true if no placement was recorded.
func permitted(placements []*record, name zone.Name, at time.Time, bound time.Duration) bool {
	for i, r := range placements {
		replaced := i+1 < len(placements) && at.Sub(placements[i+1].PlacementSet.Since) > bound
		if !replaced && r.PlacementSet.Placement.Contains(name) {
			return true
		}
	}
	return len(placements) == 0
}

// everPermitted reports whether any recorded placement permits the zone.
func everPermitted(placements []*record, name zone.Name) bool {
	return slices.ContainsFunc(placements, func(r *record) bool { return r.PlacementSet.Placement.Contains(name) })
}

// lastBefore returns the placement in effect at the given time.
func lastBefore(placements []*record, at time.Time) *record {
	var last *record
	for _, r := range placements {
		if !r.PlacementSet.Since.After(at) {
			last = r
		}
	}
	return last
}
