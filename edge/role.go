package edge

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

const (
	// relayAbove is the product of nodes and replicas from which on most nodes follow
	// the replicas and the configuration through others.
	relayAbove = 40_000
	// assumedReplicas stands for the number of replicas while none is known, so that a
	// fleet of a hundred nodes counts as large from its start.
	assumedReplicas = 400
)

// role is what a node reads of the store, and of whom it has the rest.
type role int

const (
	// roleAlone reads all of the store, as each node of a small fleet does.
	roleAlone role = iota
	// roleSource reads all of the store, for the readers.
	roleSource
	// roleReader reads the configuration of the store and has the replicas of a source.
	roleReader
	// roleFollower has both of a reader.
	roleFollower
)

// large reports whether the fleet is so large that most nodes follow others.
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

// includes reports whether a node is one of some.
func includes(nodes []machine.Machine, id machine.ID) bool {
	return slices.ContainsFunc(nodes, func(node machine.Machine) bool { return node.ID == id })
}

// readersToFollow returns the nodes that this node has the replicas of, those that it
// asks first before the others, or none where it reads the store itself.
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

// spread orders the readers of this zone so that its nodes divide among them, and puts
// those of other zones behind, where they serve if all of this zone are lost.
func (n *Node) orderReaders(roles coordinator.Roles) []machine.Machine {
	place := int(xxhash.Sum64String(n.settings.Node) & 0xffff)
	ordered := rotate(roles.Readers, place)
	return append(ordered, rotate(roles.RemoteReaders, place/2)...)
}

// rotate returns the nodes beginning with the one at a place, counted around.
func rotate(nodes []machine.Machine, place int) []machine.Machine {
	rotated := make([]machine.Machine, 0, len(nodes))
	for index := range nodes {
		rotated = append(rotated, nodes[(place+index)%len(nodes)])
	}
	return rotated
}

// groupNodes is how many nodes of a zone hold the same replicas at most. The replicas of
// its own zone that a node holds serve that many at the load that they are built for.
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
