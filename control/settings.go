package control

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// advanceSettings follows the settings stream and puts a new revision in
// force: partitions of new placements open, and programs get the new terms.
func (c *Core) advanceSettings(now time.Time) bool {
	ready := c.follower.Ready()
	if ready.Read != nil {
		c.emit(ReadSettings{Read: *ready.Read})
	}
	if peer, ok := c.membership.Lookup(ready.Fetch); ok {
		c.emit(FetchSettings{Peer: peer})
	}
	for _, verdict := range ready.Verdicts {
		c.emit(SettingsVerdict{Verdict: verdict})
	}
	if !ready.Changed {
		return false
	}
	tree := c.Tree()
	c.membership.SetRevision(uint64(tree.Revision()))
	c.emit(SettingsChanged{Tree: tree})
	c.setKnownPartitions(now)
	c.setBackends(now)
	for _, owned := range c.sortedPartitions() {
		c.updatePartitionTerms(now, owned)
	}
	return true
}

// stepSettingsFetched takes in a peer's settings. A failure or an older copy
// changes nothing: the follower asks again.
func (c *Core) stepSettingsFetched(now time.Time, event SettingsFetched) {
	if event.Err == nil {
		_ = c.follower.Import(now, event.Data)
	}
}

// announceSettings tells every peer at once that a newer record of the
// settings exists, so that each reads it without waiting for its next poll or
// for gossip. Changes are rare: the cost is one small message a peer for each.
func (c *Core) announceSettings(now time.Time) {
	report := c.follower.Report(now)
	for _, node := range c.nodes {
		c.sendTo(node.ID, link.Message{Settings: &report})
	}
}

// updatePartitionTerms gives every program of a partition the terms that its
// branch has now.
func (c *Core) updatePartitionTerms(now time.Time, owned *ownedPartition) {
	if !owned.acquired {
		return
	}
	for _, described := range owned.store.List("", owned.store.Count()) {
		c.updateTerms(now, owned, described)
	}
}

// updateTerms binds a program's next dispatch to its branch's present contract.
// Prefixes at engines that the new placement forbids are released. The
// contract of a branch that is gone permits no zone.
func (c *Core) updateTerms(now time.Time, owned *ownedPartition, described api.Program) {
	if described.Ended {
		return
	}
	var terms program.Terms
	if resolved, err := c.Tree().Resolve(contract.Path(described.Branch)); err == nil {
		terms = termsOf(resolved)
	}
	terms.Revision = uint64(c.Tree().Revision())
	output, refusal := owned.store.Step(now, program.Command{Program: described.ID, Retarget: &terms})
	if refusal != nil {
		return
	}
	c.apply(now, owned, output, nil)
	for _, engineID := range sortedMachines(owned.prefixEngines[described.ID]) {
		backend, ok := c.backendManager.backend(engineID)
		if ok && !terms.Placement.Contains(backend.Zone) {
			c.config.Policy.Evicted(now, described.ID, engineID)
			c.releaseAt(described.ID, engineID)
			delete(owned.prefixEngines[described.ID], engineID)
		}
	}
}

// termsOf takes from a contract what binds a program.
func termsOf(resolved contract.Contract) program.Terms {
	return program.Terms{
		Revision:        uint64(resolved.Revision),
		Placement:       resolved.Placement,
		Models:          resolved.Models,
		Tools:           resolved.Tools,
		Priority:        resolved.Priority,
		BudgetTokens:    resolved.BudgetTokens,
		MaxTurns:        resolved.MaxTurns,
		MaxDuration:     resolved.MaxDuration,
		IdleTimeout:     resolved.IdleTimeout,
		CallTimeout:     resolved.CallTimeout,
		ToolTimeout:     resolved.ToolTimeout,
		MaxOutputTokens: resolved.MaxOutputTokens,
		Attempts:        resolved.Attempts,
		Retention:       resolved.Retention,
		Drained:         resolved.DrainedBackends,
	}
}

// sortedMachines returns a map's keys in a fixed order.
func sortedMachines[V any](machines map[machine.ID]V) []machine.ID {
	ids := make([]machine.ID, 0, len(machines))
	for id := range machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
