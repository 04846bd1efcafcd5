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

// Routing is an immutable snapshot of the data that a gateway needs to find the
// owner of a partition. The driver takes a new one whenever RoutingChanged
// reports a change.
type Routing struct {
	self       machine.ID
	nodes      []machine.Machine
	tree       *contract.Tree
	ownerHints map[partition.ID]machine.ID
	owned      map[partition.ID]bool
}

// Routing returns a snapshot of the current routing.
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

// routableNodes returns the nodes that requests may be sent to. A node that has
// just started leaves itself out until the machine list has settled: it owns
// nothing yet, and the highest-ranked of the others currently owns the
// partitions that it will take over.
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

// hintMargin is how much longer than the dwell time requests keep going to the
// previous owner after the view has named another node.
const hintMargin = time.Second

// hintDuration returns how long requests keep going to the previous owner. An
// owner that stays does not hand over before HandoverDwell. A leaving owner may
// be gone soon, and after ClaimDwell its successor has determined whether it
// still serves.
func (c *Core) hintDuration(owner machine.ID) time.Duration {
	for _, node := range c.nodes {
		if node.ID == owner && node.Status == machine.StatusLeaving {
			return c.config.Replica.ClaimDwell + hintMargin
		}
	}
	return c.config.Replica.HandoverDwell + hintMargin
}

// keepOwnerHints keeps requests going to the nodes that owned partitions in the
// previous view and still run: a node that joins owns nothing yet, and a node
// that leaves serves until it has handed over.
func (c *Core) keepOwnerHints(now time.Time, previous []machine.Machine) {
	for _, id := range c.knownPartitions {
		placement := c.placement(id)
		owner, _ := partition.Owner(id, placement, previous, c.ownerHints[id])
		if owner == "" || owner == c.config.Self.ID {
			continue
		}
		if next, _ := partition.Owner(id, placement, c.nodes, ""); next == owner {
			continue
		}
		if hinted, _ := partition.Owner(id, placement, c.nodes, owner); hinted != owner {
			continue
		}
		c.ownerHints[id] = owner
		c.hintExpiry[id] = now.Add(c.hintDuration(owner))
	}
}

// setHint sets the known owner of a partition without expiry, or clears it if
// owner is empty.
func (c *Core) setHint(id partition.ID, owner machine.ID) {
	delete(c.hintExpiry, id)
	delete(c.ownerHints, id)
	if owner != "" {
		c.ownerHints[id] = owner
	}
	c.routingChanged = true
}

// expireHints removes the hints that have expired.
func (c *Core) expireHints(now time.Time) {
	for id, until := range c.hintExpiry {
		if !now.Before(until) {
			c.setHint(id, "")
		}
	}
}

// placementOf returns the zones that may hold a partition: the placement of its
// group's branch. It is empty, so that it permits no zone, if the branch was
// removed.
func placementOf(tree *contract.Tree, id partition.ID) zone.Placement {
	resolved, err := tree.Resolve(contract.Path(id.Group.Branch()))
	if err != nil {
		return ""
	}
	return resolved.Placement
}

// placement returns placementOf for the settings in force on this node.
func (c *Core) placement(id partition.ID) zone.Placement { return placementOf(c.Tree(), id) }

// RoutingChanged reports whether the routing has changed since the last call.
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
