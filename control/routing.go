package control

import (
	"maps"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
)

// Routing is an immutable copy of what a gateway needs to find the owner of a
// partition. The Core makes a new one whenever something in it has changed.
type Routing struct {
	self  machine.ID
	nodes []machine.Machine
	hints map[partition.ID]machine.ID
	owned map[partition.ID]bool
}

// Routing returns the present routing.
func (c *Core) Routing() *Routing {
	routing := &Routing{self: c.config.Self.ID, nodes: c.nodes, hints: maps.Clone(c.hints), owned: make(map[partition.ID]bool)}
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
		desired, ok := partition.Owner(id, r.nodes, r.hints[id])
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
