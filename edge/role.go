package edge

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

const (
	// relayAbove is the product of nodes and replicas from which on most nodes follow the
	// replicas and the configuration through others.
	relayAbove = 40_000
	// assumedReplicas is the assumed number of replicas while it is unknown, so that a
	// fleet of a hundred nodes counts as large from its start.
	assumedReplicas = 400
)

// role determines what a node reads from the store, and which nodes it gets the rest from.
type role int

const (
	// roleAlone reads everything from the store, like each node of a small fleet.
	roleAlone role = iota
	// roleSource reads everything from the store, and serves the readers.
	roleSource
	// roleReader reads the configuration from the store and gets the replicas from a
	// source.
	roleReader
	// roleFollower gets both from a reader.
	roleFollower
)

// large reports whether the fleet is large enough that most nodes follow others.
func (n *Node) large() bool {
	if !n.settings.uses(FollowReaders) {
		return false
	}
	live, replicas := int(n.liveNodes.Load()), n.replicas.total()
	if replicas == 0 {
		replicas = assumedReplicas
	}
	return live*replicas >= n.settings.relayAbove()
}

func (s *Settings) relayAbove() int {
	if s.RelayAbove > 0 {
		return s.RelayAbove
	}
	return relayAbove
}

// role returns this node's role.
func (n *Node) role() role {
	roles := n.roles.Load()
	switch {
	case roles == nil || !n.large():
		return roleAlone
	case includes(roles.Sources, n.self.ID):
		return roleSource
	case includes(roles.Readers, n.self.ID):
		return roleReader
	default:
		return roleFollower
	}
}

// includes reports whether a node is in a list.
func includes(nodes []machine.Machine, id machine.ID) bool {
	return slices.ContainsFunc(nodes, func(node machine.Machine) bool { return node.ID == id })
}

// readersToFollow returns the nodes from which this node gets the replicas, in the order in
// which to query them, or none if it reads the store itself.
func (n *Node) readersToFollow() []machine.Machine {
	switch roles := n.roles.Load(); n.role() {
	case roleReader:
		return roles.Sources
	case roleFollower:
		return n.orderReaders(*roles)
	default:
		return nil
	}
}

// orderReaders orders the readers of this zone so that its nodes are distributed over them.
// Those of other zones come last, and serve if all readers of this zone have failed.
func (n *Node) orderReaders(roles coordinator.Roles) []machine.Machine {
	place := int(xxhash.Sum64String(n.settings.Node) & 0xffff)
	ordered := rotate(roles.Readers, place)
	return append(ordered, rotate(roles.RemoteReaders, place/2)...)
}

// rotate returns the nodes in cyclic order, beginning with the one at a place.
func rotate(nodes []machine.Machine, place int) []machine.Machine {
	rotated := make([]machine.Machine, 0, len(nodes))
	for index := range nodes {
		rotated = append(rotated, nodes[(place+index)%len(nodes)])
	}
	return rotated
}

// maximumGroupNodes is the maximum number of a zone's nodes that hold the same replicas.
// The replicas of its own zone that a node holds can serve that many nodes at their design
// load.
const maximumGroupNodes = 256

// ownGroup returns this node's group in its zone.
func (n *Node) ownGroup() replica.Group {
	near := 0
	if roles := n.roles.Load(); roles != nil {
		near = roles.Near
	}
	number := int(xxhash.Sum64String(n.settings.Node) % uint64(1+near/maximumGroupNodes))
	return replica.Group{Zone: n.settings.Zone, Number: number}
}
