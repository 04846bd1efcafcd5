package replica

import (
	"cmp"
	"slices"
)

// Most nodes of a large fleet hold a part of its replicas: what they hold, hear and
// keep connections to would else grow with the fleet. Nodes of a group hold the same
// part, so that they meet at the same replicas.
const (
	// subsetThreshold is how many replicas of a service every node may hold: some 100 KB on
	// the wire, and less than a megabyte of memory.
	subsetThreshold = 512
	// subsetOwnZone is how many replicas of its own zone a node holds of a larger service.
	// With six slots each they serve the requests of four times as many nodes at once.
	subsetOwnZone = 256
	// subsetOtherZone is how many of each other zone it holds, for when its own is lost,
	// evacuated, or not where a request may be served.
	subsetOtherZone = 32
)

// Group is the nodes of a zone that hold the same part of the replicas.
type Group struct {
	Zone   string
	Number int
}

// Subset returns the replicas that the nodes of a group hold: of each service all, or
// as many of each zone as they need.
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

// rankByZone returns the ready replicas of each zone in the order of a group.
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
