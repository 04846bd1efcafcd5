package gather

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maximumListedKeys limits the replicas in a collector's list, so that their keys and
	// counts fit into a datagram.
	maximumListedKeys = packedBytes / keyBytes
	// unusedTimeout is how long a replica without requests stays listed. Removing it
	// sooner would change the list more often, and each changed list has to be sent
	// again.
	unusedTimeout = 5 * time.Second
)

// listing is a collector's ordered list of replicas. Answers contain counts in this order
// and identify the list by its hash, so that a node that holds a different list does not
// misread them.
type listing struct {
	keys     []Key
	packed   []byte
	hash     uint64
	lastUsed map[Key]time.Time
	// partial is set if replicas with requests are not listed.
	partial bool
}

func newListing() listing { return listing{lastUsed: make(map[Key]time.Time)} }

// updateList adds the replicas that have requests and removes those that have had none
// for unusedTimeout. If there are too many, replicas with requests from local nodes have
// priority.
func (l *listing) updateList(now time.Time, local, remote map[Key]int) {
	changed := false
	l.partial = false
	add := func(key Key, mayEvict bool) {
		_, listed := l.lastUsed[key]
		if !listed && len(l.lastUsed) >= maximumListedKeys && !(mayEvict && l.evict(local)) {
			l.partial = true
			return
		}
		changed = changed || !listed
		l.lastUsed[key] = now
	}
	for key := range local {
		add(key, true)
	}
	for key := range remote {
		add(key, false)
	}
	for key, at := range l.lastUsed {
		if now.Sub(at) > unusedTimeout {
			delete(l.lastUsed, key)
			changed = true
		}
	}
	if changed {
		l.rebuild()
	}
}

// evict removes a replica without requests from local nodes, if there is one.
func (l *listing) evict(local map[Key]int) bool {
	for _, key := range l.keys {
		if _, listed := l.lastUsed[key]; listed && local[key] == 0 {
			delete(l.lastUsed, key)
			return true
		}
	}
	return false
}

// rebuild recomputes the order, the packed form and the hash of the list.
func (l *listing) rebuild() {
	l.keys, l.packed = l.keys[:0], nil
	for key := range l.lastUsed {
		l.keys = append(l.keys, key)
	}
	slices.Sort(l.keys)
	for _, key := range l.keys {
		l.packed = binary.BigEndian.AppendUint32(l.packed, uint32(key))
	}
	l.hash = xxhash.Sum64(l.packed)
}

// pack encodes counts in the order of the list, without trailing zeros.
func (l *listing) pack(counts map[Key]int) []byte {
	packed := make([]byte, 0, len(l.keys))
	length := 0
	for _, key := range l.keys {
		packed = binary.AppendUvarint(packed, uint64(counts[key]))
		if counts[key] > 0 {
			length = len(packed)
		}
	}
	return packed[:length]
}

// receivedList is a collector's list as received by a node.
type receivedList struct {
	keys []Key
	hash uint64
}

// update stores the list in a message, if it contains one. It reports whether the
// message's counts are in the order of the stored list.
func (r *receivedList) update(message *Message) (current bool, err error) {
	if len(message.Keys) > 0 && message.ListHash != r.hash {
		if len(message.Keys)%keyBytes != 0 || xxhash.Sum64(message.Keys) != message.ListHash {
			return false, errMalformedList
		}
		r.keys, r.hash = nil, message.ListHash
		for packed := message.Keys; len(packed) > 0; packed = packed[keyBytes:] {
			r.keys = append(r.keys, Key(binary.BigEndian.Uint32(packed)))
		}
	}
	return message.ListHash == r.hash, nil
}

// unpack decodes counts in the order of the list. No count exceeds maximum.
func (r *receivedList) unpack(packed []byte, maximum int) (map[Key]int, error) {
	counts := make(map[Key]int, len(r.keys))
	for _, key := range r.keys {
		if len(packed) == 0 {
			break
		}
		count, rest, err := unpackNumber(packed)
		if err != nil {
			return nil, err
		}
		if count > 0 {
			counts[key] = int(min(count, uint64(maximum)))
		}
		packed = rest
	}
	if len(packed) > 0 {
		return nil, errMalformedList
	}
	return counts, nil
}
