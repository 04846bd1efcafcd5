package ownership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartitionOf returns the partition of a program, of count partitions.
func PartitionOf(program string, count int) int {
	if count <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(program) % uint64(count))
}

// Rank returns the node that is to own the partition, or "" where there is no
// node. The order of the nodes does not matter.
func Rank(partition int, nodes []string) string {
	best, bestWeight := "", uint64(0)
	for _, node := range nodes {
		weight := weightOf(partition, node)
		if best == "" || weight > bestWeight || (weight == bestWeight && node < best) {
			best, bestWeight = node, weight
		}
	}
	return best
}

func weightOf(partition int, node string) uint64 {
	return xxhash.Sum64String(node + "/" + strconv.Itoa(partition))
}

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
