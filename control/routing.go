package control

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/zone"
)

// Routing is an immutable copy of what a gateway needs to find the owner of a
// partition. The Core makes a new one whenever something in it has changed.
type Routing struct {
	self       machine.ID
	nodes      []machine.Machine
	tree       *contract.Tree
	ownerHints map[partition.ID]machine.ID
	owned      map[partition.ID]bool
}

// Routing returns the present routing.
func (c *Core) Routing() *Routing {
	routing := &Routing{self: c.config.Self.ID, nodes: c.routableNodes(), tree: c.Tree(), ownerHints: maps.Clone(c.ownerHints), owned: make(map[partition.ID]bool)}
	for id, owned := range c.partitions {
		if owned.acquired {
			routing.owned[id] = true
			continue
		}
		if owner, ok := c.Owner(id); ok {
			routing.ownerHints[id] = owner
		}
	}
	return routing
}

// routableNodes are the nodes that requests may go to. One that has just started
// leaves itself out until the machine list has settled: it owns nothing yet, and
// by rendezvous the best of the others is whom its partitions are to come from.
func (c *Core) routableNodes() []machine.Machine {
	if c.listed {
		return c.nodes
	}
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(node machine.Machine) bool { return node.ID == c.config.Self.ID })
	if len(others) == 0 {
		return c.nodes
	}
	return others
}

// hintMargin is how much longer than the dwell time requests stay with a former
// owner after the view has named another node.
const hintMargin = time.Second

// hintDuration is how long requests stay with a former owner. One that stays hands
// nothing over within its dwell time. One that leaves may be gone soon, and its
// successor, once it has dwelled, knows whether it still serves.
func (c *Core) hintDuration(owner machine.ID) time.Duration {
	for _, node := range c.nodes {
		if node.ID == owner && node.Status == machine.StatusLeaving {
			return c.config.Replica.ClaimDwell + hintMargin
		}
	}
	return c.config.Replica.HandoverDwell + hintMargin
}

// keepOwnerHints keeps requests with the nodes that owned partitions by the
// view before this one and are still there: one that joins owns nothing yet,
// and one that leaves serves until it has handed over.
func (c *Core) keepOwnerHints(now time.Time, before []machine.Machine) {
	for _, id := range c.knownPartitions {
		placement := c.placement(id)
		owner, _ := partition.Owner(id, placement, before, c.ownerHints[id])
		if owner == "" || owner == c.config.Self.ID {
			continue
		}
		if next, _ := partition.Owner(id, placement, c.nodes, ""); next == owner {
			continue
		}
		if kept, _ := partition.Owner(id, placement, c.nodes, owner); kept != owner {
			continue
		}
		c.ownerHints[id] = owner
		c.hintExpiry[id] = now.Add(c.hintDuration(owner))
	}
}

// setHint notes the owner of a partition for certain, or that none is known.
func (c *Core) setHint(id partition.ID, owner machine.ID) {
	delete(c.hintExpiry, id)
	delete(c.ownerHints, id)
	if owner != "" {
		c.ownerHints[id] = owner
	}
	c.routingChanged = true
}

// expireHints forgets former owners that have had their time.
func (c *Core) expireHints(now time.Time) {
	for id, until := range c.hintExpiry {
		if !now.Before(until) {
			c.setHint(id, "")
		}
	}
}

// placementOf returns the zones that may hold a partition: those of the branch
// that its group is named for. A branch that is gone permits none.
func placementOf(tree *contract.Tree, id partition.ID) zone.Placement {
	resolved, err := tree.Resolve(contract.Path(id.Group.Branch()))
	if err != nil {
		return ""
	}
	return resolved.Placement
}

// placement is placementOf by the settings in force on this node.
func (c *Core) placement(id partition.ID) zone.Placement { return placementOf(c.Tree(), id) }

// RoutingChanged reports whether the routing has changed since the last time
// it was asked.
func (c *Core) RoutingChanged() bool {
	changed := c.routingChanged
	c.routingChanged = false
	return changed
}

// Owner returns the node that owns, or should own, a partition.
func (r *Routing) Owner(id partition.ID) (machine.Machine, bool) {
	owner := r.self
	if !r.owned[id] {
		desired, ok := partition.Owner(id, placementOf(r.tree, id), r.nodes, r.ownerHints[id])
		if !ok {
			return machine.Machine{}, false
		}
		owner = desired
	}
	for _, node := range r.nodes {
		if node.ID == owner {
			return node, true
		}
	}
	return machine.Machine{ID: owner}, owner == r.self
}
