package history

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// checkSettings verifies that the nodes agree on every change, that an
// accepted change is in force on every node within the bound, and that no node
// reverts to an older revision.
func (c *checker) checkSettings() {
	c.checkVerdicts()
	c.checkReverts()
	c.checkPropagation()
}

// checkVerdicts verifies that every node reaches the verdict that the operator
// received.
func (c *checker) checkVerdicts() {
	type decision struct {
		accepted bool
		revision uint64
	}
	first := map[string]*record{}
	decided := map[string]decision{}
	compare := func(id string, r *record, reached decision) {
		before, found := decided[id]
		if !found {
			first[id], decided[id] = r, reached
			return
		}
		if before != reached {
			c.report(InvariantSettings, []*record{first[id], r},
				"change %s has two verdicts: accepted %t at revision %d, accepted %t at revision %d",
				id, before.accepted, before.revision, reached.accepted, reached.revision)
		}
	}
	for _, r := range c.verdicts {
		compare(r.Verdict.ID, r, decision{r.Verdict.Accepted, r.Verdict.Revision})
	}
	for _, r := range c.changes {
		compare(r.SettingsChange.ID, r, decision{r.SettingsChange.Accepted, r.SettingsChange.Revision})
	}
}

// checkReverts verifies that a node's revision never decreases within an
// incarnation, and that no incarnation puts a revision in force that was
// replaced longer ago than the bound.
func (c *checker) checkReverts() {
	type incarnation struct {
		node   machine.ID
		number uint64
	}
	highest := map[incarnation]*record{}
	for _, r := range c.inForce {
		key := incarnation{r.InForce.Node, r.InForce.Incarnation}
		before, found := highest[key]
		if found && r.InForce.Revision < before.InForce.Revision {
			c.report(InvariantSettings, []*record{before, r},
				"node %s reverted from revision %d to %d",
				key.node, before.InForce.Revision, r.InForce.Revision)
			continue
		}
		highest[key] = r
		if newer := c.replacedBefore(r.InForce.Revision, r.At.Add(-c.run.SettingsBound)); newer != nil {
			c.report(InvariantSettings, []*record{newer, r},
				"node %s put revision %d in force %s after revision %d was accepted",
				key.node, r.InForce.Revision, r.At.Sub(newer.At), newer.SettingsChange.Revision)
		}
	}
}

// replacedBefore returns an accepted change that is newer than the revision
// and whose verdict the operator received before the given time.
func (c *checker) replacedBefore(revision uint64, before time.Time) *record {
	for _, r := range c.changes {
		if r.SettingsChange.Accepted && r.SettingsChange.Revision > revision && r.At.Before(before) {
			return r
		}
	}
	return nil
}

// checkPropagation verifies that a node that no fault affects puts an accepted
// change in force within the bound.
func (c *checker) checkPropagation() {
	nodes := map[machine.ID][]*record{}
	var order []machine.ID
	for _, r := range c.inForce {
		if nodes[r.InForce.Node] == nil {
			order = append(order, r.InForce.Node)
		}
		nodes[r.InForce.Node] = append(nodes[r.InForce.Node], r)
	}
	for _, change := range c.changes {
		due := change.At.Add(c.run.SettingsBound)
		if !change.SettingsChange.Accepted || due.After(c.end) {
			continue
		}
		for _, node := range order {
			if nodes[node][0].At.After(change.At) || c.stopped(node, due) {
				continue
			}
			if c.faultFreeTime(change.At, due, affects(node)) < c.run.SettingsBound {
				continue
			}
			if !reachedRevision(nodes[node], change.SettingsChange.Revision, due) {
				c.report(InvariantSettings, []*record{change},
					"node %s did not put revision %d in force within %s",
					node, change.SettingsChange.Revision, c.run.SettingsBound)
			}
		}
	}
}

// reachedRevision reports whether the node put the revision or a newer one in
// force by the given time.
func reachedRevision(inForce []*record, revision uint64, by time.Time) bool {
	for _, r := range inForce {
		if r.InForce.Revision >= revision && !r.At.After(by) {
			return true
		}
	}
	return false
}

// stopped reports whether a planned stop of the machine began by the given
// time.
func (c *checker) stopped(id machine.ID, by time.Time) bool {
	for _, r := range c.plannedStops {
		if r.PlannedStop.Machine == id && !r.At.After(by) {
			return true
		}
	}
	return false
}
