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

// Key identifies a replica in messages. It is computed from the replica's id alone, so
// that nodes with different replica lists use the same key. Two of 10,000 replicas share
// a key with a probability of about 1 %; a node that lists both ignores their
// loads.
type Key uint32

// KeyOf returns the key of a replica.
func KeyOf(id replica.ID) Key { return Key(xxhash.Sum64String(string(id))) }

const (
	// keyBytes is the size of a packed key.
	keyBytes = 4
	// packedBytes limits the size of a packed list, so that a message with two lists and
	// its field names fits into a datagram. If there are more replicas, the counts of the
	// busiest are sent.
	packedBytes = 1400
	// maximumRequests limits the requests at one replica accepted from one node, and
	// maximumSamples the number of turns that a token time may claim to be based on.
	maximumRequests = 1 << 7
	maximumSamples  = 64
	// samplesPerNode limits the weight of one node's token times in a median, in turns.
	samplesPerNode = 4
	// tokenTimeUnit is the resolution of packed token times, and maximumTokenTime the
	// longest accepted one.
	tokenTimeUnit    = 10 * time.Microsecond
	maximumTokenTime = time.Second
)

// errMalformedList is returned for a packed list that ends within an entry or contains an
// invalid number.
var errMalformedList = errors.New("gather: malformed packed list")

// TokenTimeEstimate is the time to generate one token at a replica, and the number of
// turns that it is based on.
type TokenTimeEstimate struct {
	TokenTime time.Duration
	Samples   int
}

// packCounts encodes the positive counts. It reports partial if they do not all fit.
func packCounts(counts map[Key]int) (packed []byte, partial bool) {
	packed = make([]byte, 0, min(packedBytes, len(counts)*(keyBytes+1)))
	keys := busiest(counts, packedBytes/(keyBytes+2))
	for _, key := range keys {
		packed = binary.BigEndian.AppendUint32(packed, uint32(key))
		packed = binary.AppendUvarint(packed, uint64(counts[key]))
	}
	return packed, len(keys) < len(counts)
}

// busiest returns the keys of the positive counts, and only those of the highest counts
// if there are more than limit.
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

// unpackCounts decodes packed counts. No count exceeds maximum.
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

// packTokenTimes encodes as many token times as fit into a packed list.
func packTokenTimes(tokenTimes map[Key]TokenTimeEstimate) []byte {
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

// unpackTokenTimes decodes packed token times and skips those out of range.
func unpackTokenTimes(packed []byte) (map[Key]TokenTimeEstimate, error) {
	tokenTimes := make(map[Key]TokenTimeEstimate)
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
		tokenTimes[key] = TokenTimeEstimate{TokenTime: time.Duration(units) * tokenTimeUnit, Samples: int(min(samples, maximumSamples))}
	}
	return tokenTimes, nil
}

// unpackKey decodes a key.
func unpackKey(packed []byte) (key Key, rest []byte, err error) {
	if len(packed) < keyBytes {
		return 0, nil, errMalformedList
	}
	return Key(binary.BigEndian.Uint32(packed)), packed[keyBytes:], nil
}

// unpackNumber decodes a varint.
func unpackNumber(packed []byte) (number uint64, rest []byte, err error) {
	number, size := binary.Uvarint(packed)
	if size <= 0 {
		return 0, nil, errMalformedList
	}
	return number, packed[size:], nil
}
