package cluster

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/zone"
)

// The branches that programs run on. BranchDepot has zones of its own, below
// BranchCold.
const (
	BranchCold  contract.Path = "cold"
	BranchDepot contract.Path = "cold/depot"
	BranchChat  contract.Path = "chat"
)

// Branches lists the branches that programs run on.
func Branches() []contract.Path { return []contract.Path{BranchCold, BranchDepot, BranchChat} }

// operators emulates the operators who change the settings.
type operators struct {
	tree    *contract.Tree
	changes int
	// recorded holds the IDs of the changes that are in the history.
	recorded map[string]bool
	// placements holds the last placement of each branch in the history.
	placements map[contract.Path]zone.Placement
}

// recordPlacements records the placements of branches that have changed.
func (c *Cluster) recordPlacements() {
	for _, path := range Branches() {
		resolved, err := c.operators.tree.Resolve(path)
		if err != nil || c.operators.placements[path] == resolved.Placement {
			continue
		}
		c.operators.placements[path] = resolved.Placement
		c.record(history.Event{PlacementSet: &history.PlacementSet{
			Branch: string(path), Placement: resolved.Placement, Since: c.now,
		}})
	}
}

// openSettings appends the initial settings to the settings stream.
func (c *Cluster) openSettings() error {
	c.operators = operators{
		tree: contract.NewTree(), recorded: map[string]bool{}, placements: map[contract.Path]zone.Placement{},
	}
	budget, turns := int64(1_000_000), 64
	change := contract.Change{ID: "first", Actor: "operator", At: c.now, Edits: []contract.Edit{
		{Path: contract.Root, Values: contract.Values{
			Zones: c.config.Zones, Models: []string{modelName}, Tools: []string{toolName},
			BudgetTokens: &budget, MaxTurns: &turns,
		}},
		{Path: BranchCold},
		{Path: BranchDepot, Values: contract.Values{Zones: c.config.Zones[:max(1, len(c.config.Zones)-1)]}},
		{Path: BranchChat},
	}}
	c.appendChange(change, c.now)
	if verdict, _ := c.operators.tree.Verdict(change.ID); !verdict.Accepted {
		return fmt.Errorf("cluster: initial settings refused: %v", verdict.Findings)
	}
	return nil
}

// appendChange appends a change to the settings stream and applies it at once,
// to record in the history the verdict and the time it took effect.
func (c *Cluster) appendChange(change contract.Change, sentAt time.Time) uint64 {
	text := encode(change)
	revision := c.log.Append(contract.StreamName, [][]byte{text}) + 1
	verdict := c.operators.tree.ApplyBytes(contract.Revision(revision), text)
	if !c.operators.recorded[change.ID] {
		c.operators.recorded[change.ID] = true
		recorded := &history.SettingsChange{
			ID: change.ID, SentAt: sentAt, BaseRevision: uint64(change.Based), Accepted: verdict.Accepted, Revision: uint64(verdict.Revision),
		}
		for _, edit := range change.Edits {
			recorded.Paths = append(recorded.Paths, string(edit.Path))
		}
		c.record(history.Event{SettingsChange: recorded})
	}
	c.recordPlacements()
	return revision
}

// ChangeZones changes a branch's zones as an operator would, through a node. The
// change is based on the revision that this node has.
func (c *Cluster) ChangeZones(path contract.Path, zones []zone.Name, through int) {
	c.operators.changes++
	change := contract.Change{
		ID: fmt.Sprintf("change-%d", c.operators.changes), Actor: "operator", At: c.now,
		Edits: []contract.Edit{{Path: path, Values: contract.Values{Zones: slices.Clone(zones)}}},
	}
	at := c.nodes[through%len(c.nodes)]
	if !at.running {
		return
	}
	at.enqueue(func() {
		change.Based = at.core.Tree().Revision()
		at.changeSettings(change)
	})
}

// changeSettings appends a change, as the node's operator interface does, and
// records the verdict that the operator gets.
func (n *node) changeSettings(change contract.Change) {
	c := n.cluster
	sentAt := c.now
	n.verdicts[change.ID] = func(verdict contract.Verdict) {
		c.record(history.Event{Verdict: &history.Verdict{
			Node: "operator", ID: verdict.ID, Accepted: verdict.Accepted, Revision: uint64(verdict.Revision),
		}})
	}
	var revision uint64
	effect := func() { revision = c.appendChange(change, sentAt) }
	c.storeRequest(n, effect, func(err error) {
		if err == nil {
			n.post(control.SettingsAppended{Revision: contract.Revision(revision)})
		}
	})
}

// recordVerdict records this node's verdict and passes it to a waiting operator.
func (n *node) recordVerdict(verdict contract.Verdict) {
	n.cluster.record(history.Event{Verdict: &history.Verdict{
		Node: n.self.ID, ID: verdict.ID, Accepted: verdict.Accepted, Revision: uint64(verdict.Revision),
	}})
	if deliver, waiting := n.verdicts[verdict.ID]; waiting {
		delete(n.verdicts, verdict.ID)
		deliver(verdict)
	}
}
