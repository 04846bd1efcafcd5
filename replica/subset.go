package replica

import (
	"cmp"
	"slices"
)

// Most nodes of a large fleet hold only a subset of its replicas. Otherwise the list, the
// updates and the connections of each node would grow with the fleet. All nodes of a group hold
// the same subset, so that they use the same replicas.
const (
	// subsetThreshold is the largest size of a service whose replicas every node holds in full:
	// about 100 KB on the wire and less than 1 MB of memory.
	subsetThreshold = 512
	// subsetOwnZone is the number of replicas in its own zone that a node holds of a larger
	// service. With six slots each, they serve the concurrent requests of four times as many
	// nodes.
	subsetOwnZone = 256
	// subsetOtherZone is the number of replicas that it holds in each other zone, for when its
	// own zone is lost, evacuated, or not permitted for a request.
	subsetOtherZone = 32
)

// Group identifies the nodes of a zone that hold the same subset of the replicas.
type Group struct {
	Zone   string
	Number int
}

// Subset returns the replicas that the nodes of a group hold: all replicas of a small service,
// and a fixed number per zone of a large one.
func (s *Set) Subset(group Group) map[ID]bool {
	held := make(map[ID]bool)
	for service := range s.services {
		s.addSubset(held, service, group)
	}
	return held
}

// addSubset adds the replicas of one service.
func (s *Set) addSubset(held map[ID]bool, service string, group Group) {
	list := s.services[service]
	if len(list) <= subsetThreshold {
		for _, m := range list {
			held[m.entry.ID] = true
		}
		return
	}
	for name, ranked := range rankByZone(list, group) {
		count := subsetOtherZone
		if name == group.Zone {
			count = subsetOwnZone
		}
		for _, m := range ranked[:min(count, len(ranked))] {
			held[m.id] = true
		}
	}
}

// rankedID is a replica with its rank for a group.
type rankedID struct {
	id   ID
	rank uint64
}

// rankByZone returns the ready replicas of each zone in the order of their rank for the group.
func rankByZone(list []*member, group Group) map[string][]rankedID {
	zones := make(map[string][]rankedID)
	for _, m := range list {
		if m.entry.Status != StatusReady {
			continue
		}
		ranked := rankedID{id: m.entry.ID, rank: rankHash(group.Zone, group.Number, m.entry.ID)}
		zones[m.entry.Zone] = append(zones[m.entry.Zone], ranked)
	}
	for _, ranked := range zones {
		slices.SortFunc(ranked, func(left, right rankedID) int {
			return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.id, right.id))
		})
	}
	return zones
}
