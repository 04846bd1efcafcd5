package partition

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Owner returns the node that should own the partition: the hint if it is
// listed, not dead and in a permitted zone, otherwise the permitted node with
// the highest rendezvous score. It returns false if no node is permitted. The
// hint may be a leaving node: it serves until it has handed over.
//
// Rendezvous hashing moves only the partitions of a node that joins or leaves,
// and needs no coordination: nodes with the same list compute the same owner.
func Owner(id ID, placement zone.Placement, nodes []machine.Machine, hint machine.ID) (machine.ID, bool) {
	var best machine.ID
	var bestScore uint64
	// The score is checked first because it is cheaper than the placement
	// check, and this runs for each partition whenever a node joins or leaves.
	for i := range nodes {
		node := &nodes[i]
		if node.ID == hint && node.Status != machine.StatusDead && placement.Contains(node.Zone) {
			return hint, true
		}
		score := rendezvousScore(id, node.ID)
		better := best == "" || score > bestScore || score == bestScore && node.ID < best
		if better && permitted(placement, *node) {
			best = node.ID
			bestScore = score
		}
	}
	return best, best != ""
}

// permitted reports whether the node may own or mirror the partition.
func permitted(placement zone.Placement, node machine.Machine) bool {
	if node.Status == machine.StatusLeaving || node.Status == machine.StatusDead {
		return false
	}
	return placement.Contains(node.Zone)
}

// rendezvousScore returns the score that ranks a node for a partition.
func rendezvousScore(id ID, node machine.ID) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], id.Group...)
	text = append(text, byte(id.Index), byte(id.Index>>8), byte(id.Index>>16), byte(id.Index>>24), 0)
	text = append(text, node...)
	return xxhash.Sum64(text)
}

// MirrorCandidates returns up to count nodes that should mirror the partition
// for the owner: permitted nodes other than the owner, by rendezvous rank.
// Nodes in zones without the owner or another candidate come first.
func MirrorCandidates(id ID, placement zone.Placement, nodes []machine.Machine, owner machine.ID, count int) []machine.ID {
	ranked := rankedCandidates(id, placement, nodes, owner)
	used := map[zone.Name]bool{}
	for _, node := range nodes {
		if node.ID == owner {
			used[node.Zone] = true
		}
	}
	var chosen []machine.ID
	var sameZone []machine.ID
	for _, node := range ranked {
		if used[node.Zone] {
			sameZone = append(sameZone, node.ID)
			continue
		}
		used[node.Zone] = true
		chosen = append(chosen, node.ID)
	}
	chosen = append(chosen, sameZone...)
	return chosen[:min(count, len(chosen))]
}

func rankedCandidates(id ID, placement zone.Placement, nodes []machine.Machine, owner machine.ID) []machine.Machine {
	var ranked []machine.Machine
	for _, node := range nodes {
		if node.ID != owner && permitted(placement, node) {
			ranked = append(ranked, node)
		}
	}
	slices.SortFunc(ranked, func(a, b machine.Machine) int {
		byScore := cmp.Compare(rendezvousScore(id, b.ID), rendezvousScore(id, a.ID))
		return cmp.Or(byScore, cmp.Compare(a.ID, b.ID))
	})
	return ranked
}
