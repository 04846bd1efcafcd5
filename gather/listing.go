package gather

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// listedKeys bounds the replicas that a collector tells of, so that their keys and
	// counts stay within a datagram.
	maximumListedKeys = packedBytes / keyBytes
	// unusedFor is how long a replica without requests stays listed: a list that changes
	// is told anew.
	unusedTimeout = 5 * time.Second
)

// listing is a numbered list of replicas. Answers give counts in its order, and name it
// by a hash of what it lists, so that a node that holds another one takes nothing in.
type listing struct {
	keys     []Key
	packed   []byte
	hash     uint64
	lastUsed map[Key]time.Time
	// partial says that replicas with requests are not listed.
	partial bool
}

func newListing() listing { return listing{lastUsed: make(map[Key]time.Time)} }

// fit lists the replicas that have requests, and drops those without for long. Where
// there are too many, those go first that nodes nearby have requests at.
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

// evict takes a replica off the list at which nodes nearby have nothing.
func (l *listing) evict(local map[Key]int) bool {
	for _, key := range l.keys {
		if _, listed := l.lastUsed[key]; listed && local[key] == 0 {
			delete(l.lastUsed, key)
			return true
		}
	}
	return false
}

// renew orders the list anew.
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

// pack packs counts in the order of the list.
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

// heardList is a collector's list as a node took it in.
type receivedList struct {
	keys []Key
	hash uint64
}

// take takes in the list that a message brings, if any. It reports whether the message's
// counts are in the order of the list that is held.
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

// unpack reads counts in the order of the list.
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
