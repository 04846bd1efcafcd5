package ownership

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartitionOf returns the partition of a program, of count partitions.
func PartitionOf(program string, count int) int {
	if count <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(program) % uint64(count))
}

// Node is a candidate for the ownership of partitions.
type Node struct {
	ID string
	// Weight is the node's share of the partitions, relative to the others';
	// what is not positive counts as 1.
	Weight float64
	// Zone is where the node is; "" where that is not known.
	Zone string
}

func (n Node) weight() float64 {
	if n.Weight <= 0 {
		return 1
	}
	return n.Weight
}

// Rank returns the node that is to own the partition, or "" where there is no
// node. The order of the nodes does not matter. A node gets partitions in
// proportion to its weight, and one that goes leaves those of the others where
// they are.
func Rank(partition int, nodes []Node) string {
	if best := First(partition, nodes, 1); len(best) > 0 {
		return best[0]
	}
	return ""
}

// scoredNode is a node with its score for one partition.
type scoredNode struct {
	id    string
	zone  string
	score float64
}

// First returns the nodes that rank first for the partition, count at most: the one
// that is to own it, and those that are to own it without that one.
func First(partition int, nodes []Node, count int) []string {
	return nodeIDs(topScored(partition, nodes, count))
}

// topScored returns what First does, with scores and zones.
func topScored(partition int, nodes []Node, count int) []scoredNode {
	if count <= 0 {
		return nil
	}
	best := make([]scoredNode, 0, count+1)
	for _, node := range nodes {
		candidate := scoredNode{id: node.ID, zone: node.Zone, score: rendezvousScore(partition, node)}
		if len(best) == count && compareScored(candidate, best[count-1]) > 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, candidate, compareScored)
		best = slices.Insert(best, index, candidate)
		best = best[:min(len(best), count)]
	}
	return best
}

func nodeIDs(ranked []scoredNode) []string {
	ids := make([]string, 0, len(ranked))
	for _, candidate := range ranked {
		ids = append(ids, candidate.id)
	}
	return ids
}

// Heirs returns those that First returns. Where all of them are in one zone, the last
// gives way to the one of another zone that ranks first there: a zone may go as a whole.
func Heirs(partition int, nodes []Node, count int) []string {
	ranked := topScored(partition, nodes, count)
	preferred := nodeIDs(ranked)
	if len(ranked) < 2 {
		return preferred
	}
	zone := ranked[0].zone
	if slices.ContainsFunc(ranked, func(candidate scoredNode) bool { return candidate.zone != zone }) {
		return preferred
	}
	others := slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Zone == zone })
	if other := Rank(partition, others); other != "" {
		preferred[len(preferred)-1] = other
	}
	return preferred
}

const (
	// minWeightShare is the share of the heaviest node's weight below which a node owns
	// nothing: it could not read in time what a takeover needs.
	minWeightShare = 0.1
	// minEligibleNodes is how many nodes above that there must be for it, so that the loss
	// of one leaves another and its heir.
	minEligibleNodes = 3
)

// Able returns the nodes that are strong enough to own partitions beside the others,
// or all where those are too few.
func Able(nodes []Node) []Node {
	heaviest := 0.0
	for _, node := range nodes {
		heaviest = max(heaviest, node.weight())
	}
	eligible := slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.weight() < minWeightShare*heaviest })
	if len(eligible) < minEligibleNodes {
		return nodes
	}
	return eligible
}

// compareScored orders the better node first, and equal ones by their names.
func compareScored(left, right scoredNode) int {
	return cmp.Or(cmp.Compare(right.score, left.score), cmp.Compare(left.id, right.id))
}

// rendezvousScore is the weighted score of rendezvous hashing: the weight by the negative
// logarithm of a uniform number that belongs to the node and the partition.
func rendezvousScore(partition int, node Node) float64 {
	var buffer [keyBufferBytes]byte
	key := append(buffer[:0], node.ID...)
	key = append(key, '/')
	key = strconv.AppendInt(key, int64(partition), 10)
	hash := xxhash.Sum64(key)
	uniform := (float64(hash>>mantissaShift) + 0.5) / (1 << mantissaBits)
	return node.weight() / -math.Log(uniform)
}

// keyBufferBytes holds the name of a node and a partition, as a rule, without an allocation.
const keyBufferBytes = 64

// A hash keeps as many bits as a float64 holds exactly.
const (
	mantissaBits  = 53
	mantissaShift = 64 - mantissaBits
)

// Epoch numbers the owners of a partition. The high bits count claims; the low
// ones belong to the claiming process, so that two processes that claim after
// the same epoch never claim the same one.
type Epoch uint64

// saltBits is the width of a process's part of an epoch. Epochs stay below
// 2^53, so that every reader of JSON keeps them.
const saltBits = 20

// Salt is a process's part of its epochs.
type Salt uint32

// SaltOf draws a process's part from a random number.
func SaltOf(random uint64) Salt { return Salt(random & (1<<saltBits - 1)) }

// After returns the process's epoch that follows the given one.
func (s Salt) After(epoch Epoch) Epoch {
	return (epoch>>saltBits+1)<<saltBits | Epoch(s)
}

// Claim returns the epoch of a claim at a time of day, after the given one. It is
// higher than those of claims of earlier seconds, also where the claimant knows
// none of them, as after the loss of all nodes. Clocks that differ cost a claim
// that the log refuses, and no more.
func (s Salt) Claim(highest Epoch, at time.Time) Epoch {
	seconds := Epoch(max(0, at.Unix()))
	return s.After(max(highest, (seconds-1)<<saltBits))
}
