package coordinator

import (
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
	// Collectors gather the loads of this node's zone, the first that answers, and
	// RemoteCollectors are the first ones of the other zones.
	Collectors       []machine.Machine
	RemoteCollectors []machine.Machine
	// Near is how many nodes of this node's zone there are, itself included.
	Near int
	// Heir says that this node may own a partition: it has to notice soon when it
	// no longer reaches the store.
	Heir bool
}

const (
	// sourceRank, readerRank and collectorRank stand for a partition in the rankings of
	// sources, readers and collectors.
	sourceRankKey    = -2
	readerRankKey    = -1
	collectorRankKey = -3
	// sourcesOfFleet and readersPerZone are how many there are, so that one may fail.
	sourcesPerFleet = 2
	readersPerZone  = 2
	// collectorsPerZone is how many nodes may gather the loads of a zone: the second
	// stands in for one that is lost, and the third where that is frozen too.
	collectorsPerZone = 3
)

// Roles returns what nodes do for others. The caller must not change its slices.
func (c *Core) Roles() Roles { return c.ranking.roles }

// Readers returns the nodes of this node's zone that the others of the zone follow. The
// caller must not change the slice.
func (c *Core) Readers() []machine.Machine { return c.ranking.roles.Readers }

// rankRoles deals the roles to the candidates, weak machines excepted where there are others:
// a source or reader carries what hundreds of nodes ask for. Places are this node's among
// the heirs of the partitions.
func (c *Core) assignRoles(candidates []ownership.Node, selfRanks []int) Roles {
	roles := Roles{Sources: c.lookupAll(ownership.First(sourceRankKey, ownership.Able(candidates), sourcesPerFleet))}
	byZone := make(map[zone.Name][]ownership.Node)
	for _, candidate := range candidates {
		byZone[zone.Name(candidate.Zone)] = append(byZone[zone.Name(candidate.Zone)], candidate)
	}
	ownZone := c.self().Zone
	for name, zoneNodes := range byZone {
		eligible := ownership.Able(zoneNodes)
		readers := c.lookupAll(ownership.First(readerRankKey, eligible, readersPerZone))
		collectors := c.lookupAll(ownership.First(collectorRankKey, eligible, collectorsPerZone))
		if name == ownZone {
			roles.Readers, roles.Near, roles.Collectors = readers, len(zoneNodes), collectors
			continue
		}
		roles.Remote = append(roles.Remote, readers...)
		roles.RemoteCollectors = append(roles.RemoteCollectors, collectors[:min(len(collectors), 1)]...)
	}
	slices.SortFunc(roles.Remote, machine.CompareID)
	slices.SortFunc(roles.RemoteCollectors, machine.CompareID)
	roles.Heir = slices.ContainsFunc(selfRanks, func(rank int) bool { return rank >= 0 })
	return roles
}

// machines returns the nodes of some ids.
func (c *Core) lookupAll(ids []string) (found []machine.Machine) {
	for _, id := range ids {
		if node, known := c.lookup(machine.ID(id)); known {
			found = append(found, node)
		}
	}
	return found
}
