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

// advanceSettings reads the settings stream and applies a new revision: it
// opens partitions of new placements and updates the terms of programs.
func (c *Core) advanceSettings(now time.Time) bool {
	ready := c.follower.Ready()
	if ready.Read != nil {
		c.emit(ReadSettings{Read: *ready.Read})
	}
	if peer, ok := c.membership.Lookup(ready.FetchFrom); ok {
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

// stepSettingsFetched imports a peer's settings. A failed fetch or an older
// copy is ignored: the follower requests it again.
func (c *Core) stepSettingsFetched(now time.Time, event SettingsFetched) {
	if event.Err == nil {
		_ = c.follower.Import(now, event.Data)
	}
}

// announceSettings notifies every peer at once of a new record in the settings
// stream, so that they read it without waiting for their next poll or for
// gossip. Changes are rare: each costs one small message per peer.
func (c *Core) announceSettings(now time.Time) {
	report := c.follower.Report(now)
	for _, node := range c.nodes {
		c.sendTo(node.ID, link.Message{Settings: &report})
	}
}

// updatePartitionTerms updates the terms of every program of a partition to
// those of its branch's current contract.
func (c *Core) updatePartitionTerms(now time.Time, owned *ownedPartition) {
	if !owned.acquired {
		return
	}
	for _, described := range owned.store.List("", owned.store.Count()) {
		c.updateTerms(now, owned, described)
	}
}

// updateTerms sets a program's terms for its next dispatch to those of its
// branch's current contract, and releases its prefixes at engines that the new
// placement excludes. If the branch was removed, the terms permit no zone.
func (c *Core) updateTerms(now time.Time, owned *ownedPartition, described api.Program) {
	if described.Ended {
		return
	}
	var terms program.Terms
	if resolved, err := c.Tree().Resolve(contract.Path(described.Branch)); err == nil {
		terms = termsOf(resolved)
	}
	terms.Revision = uint64(c.Tree().Revision())
	output, refusal := owned.store.Step(now, program.Command{Program: described.ID, UpdateTerms: &terms})
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

// termsOf returns the terms of programs under a contract.
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
		DrainedBackends: resolved.DrainedBackends,
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
