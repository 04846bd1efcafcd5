package coordinator

import (
	"cmp"
	"slices"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/zone"
)

// Roles are what nodes of a large fleet do for the others, as one node ranks them.
// What all nodes would else read of the store grows with nodes times replicas: two
// sources read it for the fleet, the readers of each zone follow a source, and all
// others follow a reader of their zone.
type Roles struct {
	// Sources follow the replicas in the store.
	Sources []machine.Machine
	// Readers are those of this node's zone, and Remote those of the others.
	Readers []machine.Machine
	Remote  []machine.Machine
	// Near is how many nodes of this node's zone there are, itself included.
	Near int
	// Heir says that this node may own a partition: it has to notice soon when it
	// no longer reaches the store.
	Heir bool
}

const (
	// sourceRank and readerRank stand for a partition in the rankings of sources and
	// readers.
	sourceRank = -2
	readerRank = -1
	// sourcesOfFleet and readersPerZone are how many there are, so that one may fail.
	sourcesOfFleet = 2
	readersPerZone = 2
)

// Roles returns what nodes do for others. The caller must not change its slices.
func (c *Core) Roles() Roles { return c.ranking.roles }

// Readers returns the nodes of this node's zone that the others of the zone follow. The
// caller must not change the slice.
func (c *Core) Readers() []machine.Machine { return c.ranking.roles.Readers }

// rankRoles deals the roles to the candidates, weak machines excepted where there are others:
// a source or reader carries what hundreds of nodes ask for.
func (c *Core) rankRoles(candidates []ownership.Node, heirs [][]string) Roles {
	roles := Roles{Sources: c.machines(ownership.First(sourceRank, ownership.Able(candidates), sourcesOfFleet))}
	byZone := make(map[zone.Name][]ownership.Node)
	for _, candidate := range candidates {
		byZone[zone.Name(candidate.Zone)] = append(byZone[zone.Name(candidate.Zone)], candidate)
	}
	own := c.self().Zone
	for name, near := range byZone {
		readers := c.machines(ownership.First(readerRank, ownership.Able(near), readersPerZone))
		if name == own {
			roles.Readers, roles.Near = readers, len(near)
			continue
		}
		roles.Remote = append(roles.Remote, readers...)
	}
	slices.SortFunc(roles.Remote, func(left, right machine.Machine) int { return cmp.Compare(left.ID, right.ID) })
	self := string(c.self().ID)
	roles.Heir = slices.ContainsFunc(heirs, func(of []string) bool { return slices.Contains(of, self) })
	return roles
}

// machines returns the nodes of some ids.
func (c *Core) machines(ids []string) (found []machine.Machine) {
	for _, id := range ids {
		if node, known := c.lookup(machine.ID(id)); known {
			found = append(found, node)
		}
	}
	return found
}
