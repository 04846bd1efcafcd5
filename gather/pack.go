package gather

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/replica"
)

// Key names a replica in messages. It follows from the replica's id alone, so that nodes
// whose lists differ mean the same replica by it. Of 10,000 replicas two share a key once
// in a hundred fleets; who holds both takes in neither.
type Key uint32

// KeyOf returns the key of a replica.
func KeyOf(id replica.ID) Key { return Key(xxhash.Sum64String(string(id))) }

const (
	// keyBytes is the size of a packed key.
	keyBytes = 4
	// packedBytes bounds a packed list, so that a message of two of them and its names
	// stays within a datagram. Of more replicas the busiest are told.
	packedBytes = 1400
	// maximumRequests bounds what a node is believed to have at one replica, and
	// maximumSamples how many turns a pace is believed to rest on.
	maximumRequests = 1 << 7
	maximumSamples  = 64
	// samplesPerNode is how many turns a node's pace counts as at most beside others'.
	samplesPerNode = 4
	// paceUnit is the resolution of a packed time of a token, and maximumPace the
	// longest that is believed.
	tokenTimeUnit    = 10 * time.Microsecond
	maximumTokenTime = time.Second
)

// errPacked says that a packed list does not end where an entry does, or holds a number
// that no node can mean.
var errMalformedList = errors.New("gather: packed list not understood")

// Pace is the time of a token at a replica, and how many turns it rests on.
type Pace struct {
	TokenTime time.Duration
	Samples   int
}

// packCounts packs the counts that are positive. Partial says that there are too many.
func packCounts(counts map[Key]int) (packed []byte, partial bool) {
	packed = make([]byte, 0, min(packedBytes, len(counts)*(keyBytes+1)))
	keys := busiest(counts, packedBytes/(keyBytes+2))
	for _, key := range keys {
		packed = binary.BigEndian.AppendUint32(packed, uint32(key))
		packed = binary.AppendUvarint(packed, uint64(counts[key]))
	}
	return packed, len(keys) < len(counts)
}

// busiest returns the keys of positive counts, the highest ones where there are more
// than the most.
func busiest(counts map[Key]int, limit int) []Key {
	keys := make([]Key, 0, len(counts))
	for key, count := range counts {
		if count > 0 {
			keys = append(keys, key)
		}
	}
	if len(keys) <= limit {
		return keys
	}
	slices.SortFunc(keys, func(left, right Key) int {
		return cmp.Or(cmp.Compare(counts[right], counts[left]), cmp.Compare(left, right))
	})
	return keys[:limit]
}

// unpackCounts reads packed counts. None is taken for more than the bound.
func unpackCounts(packed []byte, maximum int) (map[Key]int, error) {
	counts := make(map[Key]int, len(packed)/(keyBytes+1))
	for len(packed) > 0 {
		key, rest, err := unpackKey(packed)
		if err != nil {
			return nil, err
		}
		count, rest, err := unpackNumber(rest)
		if err != nil {
			return nil, err
		}
		counts[key] = int(min(count, uint64(maximum)))
		packed = rest
	}
	return counts, nil
}

// packPaces packs paces, as many as a list holds.
func packTokenTimes(tokenTimes map[Key]Pace) []byte {
	var packed []byte
	for key, estimate := range tokenTimes {
		if len(packed)+keyBytes+2*binary.MaxVarintLen32 > packedBytes {
			break
		}
		packed = binary.BigEndian.AppendUint32(packed, uint32(key))
		packed = binary.AppendUvarint(packed, uint64(estimate.TokenTime/tokenTimeUnit))
		packed = binary.AppendUvarint(packed, uint64(estimate.Samples))
	}
	return packed
}

// unpackPaces reads packed paces, within what is believed.
func unpackTokenTimes(packed []byte) (map[Key]Pace, error) {
	tokenTimes := make(map[Key]Pace)
	for len(packed) > 0 {
		key, rest, err := unpackKey(packed)
		if err != nil {
			return nil, err
		}
		units, rest, err := unpackNumber(rest)
		if err != nil {
			return nil, err
		}
		samples, rest, err := unpackNumber(rest)
		if err != nil {
			return nil, err
		}
		packed = rest
		if units == 0 || units > uint64(maximumTokenTime/tokenTimeUnit) || samples == 0 {
			continue
		}
		tokenTimes[key] = Pace{TokenTime: time.Duration(units) * tokenTimeUnit, Samples: int(min(samples, maximumSamples))}
	}
	return tokenTimes, nil
}

// unpackKey reads a key.
func unpackKey(packed []byte) (key Key, rest []byte, err error) {
	if len(packed) < keyBytes {
		return 0, nil, errMalformedList
	}
	return Key(binary.BigEndian.Uint32(packed)), packed[keyBytes:], nil
}

// unpackNumber reads a number.
func unpackNumber(packed []byte) (number uint64, rest []byte, err error) {
	number, size := binary.Uvarint(packed)
	if size <= 0 {
		return 0, nil, errMalformedList
	}
	return number, packed[size:], nil
}
