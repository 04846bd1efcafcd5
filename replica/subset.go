package replica

import (
	"cmp"
	"slices"
)

// Most nodes of a large fleet hold a part of its replicas: what they hold, hear and
// keep connections to would else grow with the fleet. Nodes of a group hold the same
// part, so that they meet at the same replicas.
const (
	// subsetAll is how many replicas of a service every node may hold: some 100 KB on
	// the wire, and less than a megabyte of memory.
	subsetAll = 512
	// subsetNear is how many replicas of its own zone a node holds of a larger service.
	// With six slots each they serve the requests of four times as many nodes at once.
	subsetNear = 256
	// subsetFar is how many of each other zone it holds, for when its own is lost,
	// evacuated, or not where a request may be served.
	subsetFar = 32
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
	if len(list) <= subsetAll {
		for _, one := range list {
			held[one.entry.ID] = true
		}
		return
	}
	for name, ranked := range rankByZone(list, group) {
		count := subsetFar
		if name == group.Zone {
			count = subsetNear
		}
		for _, one := range ranked[:min(count, len(ranked))] {
			held[one.id] = true
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
	for _, one := range list {
		if one.entry.Status != StatusReady {
			continue
		}
		ranked := rankedID{id: one.entry.ID, rank: rankIn(group.Zone, group.Number, one.entry.ID)}
		zones[one.entry.Zone] = append(zones[one.entry.Zone], ranked)
	}
	for _, ranked := range zones {
		slices.SortFunc(ranked, func(left, right rankedID) int {
			return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.id, right.id))
		})
	}
	return zones
}
