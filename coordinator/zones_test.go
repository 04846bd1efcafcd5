package coordinator_test

import (
	"fmt"
	"slices"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// newZonedFleet starts nodes and assigns them to zones in turn.
func newZonedFleet(seed uint64, nodes, zones int) *fleet {
	started := 0
	return newFleetWith(seed, nodes, 1, func(config *coordinator.Config) {
		config.Membership.Self.Zone = zone.Name(fmt.Sprintf("zone-%d", started%zones))
		started++
	})
}

// cutZone cuts a zone's nodes off from the store and from the other zones.
func (f *fleet) cutZone(name zone.Name) []machine.ID {
	inside := f.nodesOf(name)
	for id, node := range f.nodes {
		node.cut = slices.Contains(inside, id)
		node.reachable = inside
		if !node.cut {
			node.reachable = f.nodesOutside(name)
		}
	}
	return inside
}

// healZones ends a cut.
func (f *fleet) healZones() {
	for _, node := range f.nodes {
		node.cut, node.reachable = false, nil
	}
}

func (f *fleet) nodesOf(name zone.Name) []machine.ID {
	return f.nodesWhere(func(node *member) bool { return node.self.Zone == name })
}

func (f *fleet) nodesOutside(name zone.Name) []machine.ID {
	return f.nodesWhere(func(node *member) bool { return node.self.Zone != name })
}

func (f *fleet) nodesWhere(matches func(*member) bool) (found []machine.ID) {
	for id, node := range f.nodes {
		if matches(node) {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found
}
