package coordinator

import (
	"slices"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/zone"
)

// Roles are the tasks that some nodes of a large fleet perform for the others, as ranked by
// one node. If every node read the replicas from the store, the load would grow with nodes
// times replicas. Instead, two sources read them for the fleet, the readers of each zone
// follow a source, and all other nodes follow a reader of their zone.
type Roles struct {
	// Sources follow the replicas in the store.
	Sources []machine.Machine
	// Readers are the readers of this node's zone, and RemoteReaders those of the other
	// zones.
	Readers       []machine.Machine
	RemoteReaders []machine.Machine
	// Collectors gather the loads of this node's zone; the first one that answers is used.
	// RemoteCollectors are the first collectors of the other zones.
	Collectors       []machine.Machine
	RemoteCollectors []machine.Machine
	// Near is the number of nodes in this node's zone, including itself.
	Near int
	// MayOwnPartition reports that this node is in the preference list of a partition, and
	// so has to detect quickly when it can no longer reach the store.
	MayOwnPartition bool
}

const (
	// sourceRankKey, readerRankKey and collectorRankKey stand for a partition in the
	// rankings of sources, readers and collectors.
	sourceRankKey    = -2
	readerRankKey    = -1
	collectorRankKey = -3
	// sourcesPerFleet and readersPerZone allow for the failure of one of them.
	sourcesPerFleet = 2
	readersPerZone  = 2
	// collectorsPerZone is how many nodes may gather the loads of a zone: the second
	// replaces a lost first one, and the third is used if the second is unresponsive too.
	collectorsPerZone = 3
)

// Roles returns the current roles. The caller must not change their slices.
func (c *Core) Roles() Roles { return c.ranking.roles }

// Readers returns the nodes that the other nodes of this node's zone follow. The caller
// must not change the slice.
func (c *Core) Readers() []machine.Machine { return c.ranking.roles.Readers }

// assignRoles assigns the roles to the candidates. It excludes weak machines if there are
// others, since a source or reader serves hundreds of nodes. selfRanks holds this node's
// ranks in the preference lists of the partitions.
func (c *Core) assignRoles(candidates []ownership.Node, selfRanks []int) Roles {
	roles := Roles{Sources: c.lookupAll(ownership.TopNodes(sourceRankKey, ownership.Eligible(candidates), sourcesPerFleet))}
	byZone := make(map[zone.Name][]ownership.Node)
	for _, candidate := range candidates {
		byZone[zone.Name(candidate.Zone)] = append(byZone[zone.Name(candidate.Zone)], candidate)
	}
	ownZone := c.self().Zone
	for name, zoneNodes := range byZone {
		eligible := ownership.Eligible(zoneNodes)
		readers := c.lookupAll(ownership.TopNodes(readerRankKey, eligible, readersPerZone))
		collectors := c.lookupAll(ownership.TopNodes(collectorRankKey, eligible, collectorsPerZone))
		if name == ownZone {
			roles.Readers, roles.Near, roles.Collectors = readers, len(zoneNodes), collectors
			continue
		}
		roles.RemoteReaders = append(roles.RemoteReaders, readers...)
		roles.RemoteCollectors = append(roles.RemoteCollectors, collectors[:min(len(collectors), 1)]...)
	}
	slices.SortFunc(roles.RemoteReaders, machine.CompareID)
	slices.SortFunc(roles.RemoteCollectors, machine.CompareID)
	roles.MayOwnPartition = slices.ContainsFunc(selfRanks, func(rank int) bool { return rank >= 0 })
	return roles
}

// lookupAll returns the nodes with the given IDs, except unknown ones.
func (c *Core) lookupAll(ids []string) (found []machine.Machine) {
	for _, id := range ids {
		if node, known := c.lookup(machine.ID(id)); known {
			found = append(found, node)
		}
	}
	return found
}
