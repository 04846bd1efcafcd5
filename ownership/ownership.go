package ownership

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartitionOf returns the partition of a program, with count partitions in total.
func PartitionOf(program string, count int) int {
	if count <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(program) % uint64(count))
}

// Node is a candidate for owning partitions.
type Node struct {
	ID string
	// Weight is the node's share of the partitions relative to other nodes. Values that
	// are not positive count as 1.
	Weight float64
	// Zone is the node's zone, or "" if unknown.
	Zone string
}

func (n Node) weight() float64 {
	if n.Weight <= 0 {
		return 1
	}
	return n.Weight
}

// TopNode returns the node that is to own the partition, or "" if there are no nodes. It
// does not depend on the order of the nodes. Nodes get partitions in proportion to their
// weights, and removing a node moves only its own partitions.
func TopNode(partition int, nodes []Node) string {
	if best := TopNodes(partition, nodes, 1); len(best) > 0 {
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

// TopNodes returns at most count nodes, the highest ranked first: the one that is to own
// the partition, followed by those that are to own it if the nodes before them are gone.
func TopNodes(partition int, nodes []Node, count int) []string {
	return nodeIDs(topScored(partition, nodes, count))
}

// topScored returns the nodes of TopNodes with their scores and zones.
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

// PreferenceList returns the nodes of TopNodes. If all of them are in one zone, the last
// is replaced by the highest ranked node of another zone, since a zone may fail as a
// whole.
func PreferenceList(partition int, nodes []Node, count int) []string {
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
	if other := TopNode(partition, others); other != "" {
		preferred[len(preferred)-1] = other
	}
	return preferred
}

const (
	// minWeightShare is the share of the largest weight below which a node owns no
	// partitions: it could not read the log in time for a takeover.
	minWeightShare = 0.1
	// minEligibleNodes is how many nodes must be above that share for it to apply, so
	// that after the loss of one there are still an owner and a standby.
	minEligibleNodes = 3
)

// Eligible returns the nodes whose weight is large enough, relative to the others, to own
// partitions, or all nodes if those are too few.
func Eligible(nodes []Node) []Node {
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

// compareScored orders nodes by descending score, and equal scores by ID.
func compareScored(left, right scoredNode) int {
	return cmp.Or(cmp.Compare(right.score, left.score), cmp.Compare(left.id, right.id))
}

// rendezvousScore returns the score of weighted rendezvous hashing: the weight divided by
// the negative logarithm of a uniform number derived from the node and the partition.
func rendezvousScore(partition int, node Node) float64 {
	var buffer [keyBufferBytes]byte
	key := append(buffer[:0], node.ID...)
	key = append(key, '/')
	key = strconv.AppendInt(key, int64(partition), 10)
	hash := xxhash.Sum64(key)
	uniform := (float64(hash>>mantissaShift) + 0.5) / (1 << mantissaBits)
	return node.weight() / -math.Log(uniform)
}

// keyBufferBytes is large enough for most keys of a node and a partition, which then need
// no allocation.
const keyBufferBytes = 64

// Only as many bits of a hash are used as a float64 represents exactly.
const (
	mantissaBits  = 53
	mantissaShift = 64 - mantissaBits
)

// Epoch numbers the successive owners of a partition. The high bits count claims. The low
// bits identify the claiming process, so that two processes that claim after the same
// epoch never get the same one.
type Epoch uint64

// saltBits is the width of the process's part of an epoch. Epochs stay below 2^53, so
// that every JSON parser represents them exactly.
const saltBits = 20

// Salt is the process's part of its epochs.
type Salt uint32

// NewSalt derives a process's salt from a random number.
func NewSalt(random uint64) Salt { return Salt(random & (1<<saltBits - 1)) }

// NextEpoch returns the process's epoch that follows the given one.
func (s Salt) NextEpoch(epoch Epoch) Epoch {
	return (epoch>>saltBits+1)<<saltBits | Epoch(s)
}

// ClaimEpoch returns the epoch of a claim made at the given time, after the highest known
// epoch. It is higher than those of claims made in earlier seconds even if the process
// knows none of them, as after the loss of all nodes. Differences between clocks only
// cause a claim that the log refuses.
func (s Salt) ClaimEpoch(highest Epoch, at time.Time) Epoch {
	seconds := Epoch(max(0, at.Unix()))
	return s.NextEpoch(max(highest, (seconds-1)<<saltBits))
}
