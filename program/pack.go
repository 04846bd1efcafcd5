package program

import (
	"encoding/binary"
	"fmt"
)

// Offsets of the fields in a packed entry, which consists of status, kind, key
// hash, body hash and the two log offsets, all little-endian.
const (
	keyHashOffset    = 2
	bodyHashOffset   = keyHashOffset + 8
	acceptedOffset   = bodyHashOffset + 8
	endedOffset      = acceptedOffset + 8
	packedEntryBytes = endedOffset + 8
)

func packCalls(calls []callEntry) []byte {
	packed := make([]byte, len(calls)*packedEntryBytes)
	for i, entry := range calls {
		target := packed[i*packedEntryBytes : (i+1)*packedEntryBytes]
		target[0] = byte(entry.status)
		target[1] = byte(entry.kind)
		binary.LittleEndian.PutUint64(target[keyHashOffset:], entry.keyHash)
		binary.LittleEndian.PutUint64(target[bodyHashOffset:], entry.bodyHash)
		binary.LittleEndian.PutUint64(target[acceptedOffset:], entry.accepted)
		binary.LittleEndian.PutUint64(target[endedOffset:], entry.ended)
	}
	return packed
}

func unpackCalls(packed []byte) ([]callEntry, error) {
	if len(packed)%packedEntryBytes != 0 {
		return nil, fmt.Errorf("%d bytes of call entries: want a multiple of %d", len(packed), packedEntryBytes)
	}
	calls := make([]callEntry, len(packed)/packedEntryBytes)
	for i := range calls {
		source := packed[i*packedEntryBytes : (i+1)*packedEntryBytes]
		if statusCode(source[0]) > statusCancelled {
			return nil, fmt.Errorf("call entry %d has unknown status %d", i, source[0])
		}
		calls[i] = callEntry{
			status:   statusCode(source[0]),
			kind:     kindCode(source[1]),
			keyHash:  binary.LittleEndian.Uint64(source[keyHashOffset:]),
			bodyHash: binary.LittleEndian.Uint64(source[bodyHashOffset:]),
			accepted: binary.LittleEndian.Uint64(source[acceptedOffset:]),
			ended:    binary.LittleEndian.Uint64(source[endedOffset:]),
		}
	}
	return calls, nil
}
