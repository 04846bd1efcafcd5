package control

import (
	"maps"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/zone"
)

// Routing is an immutable copy of what a gateway needs to find the owner of a
// partition. The Core makes a new one whenever something in it has changed.
type Routing struct {
	self  machine.ID
	nodes []machine.Machine
	tree  *contract.Tree
	hints map[partition.ID]machine.ID
	owned map[partition.ID]bool
}

// Routing returns the present routing.
func (c *Core) Routing() *Routing {
	routing := &Routing{self: c.config.Self.ID, nodes: c.nodes, tree: c.Tree(), hints: maps.Clone(c.hints), owned: make(map[partition.ID]bool)}
	for id, owned := range c.partitions {
		if owned.acquired {
			routing.owned[id] = true
			continue
		}
		if owner, ok := owned.replica.Owner(); ok {
			routing.hints[id] = owner
		}
	}
	return routing
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
		desired, ok := partition.Owner(id, placementOf(r.tree, id), r.nodes, r.hints[id])
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
