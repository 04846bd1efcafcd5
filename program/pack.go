package program

import (
	"encoding/binary"
	"fmt"
)

// The layout of one packed entry: status, kind, key hash, body hash, then the
// two offsets, all little-endian.
const (
	packedKey      = 2
	packedBody     = packedKey + 8
	packedAccepted = packedBody + 8
	packedEnded    = packedAccepted + 8
	packedBytes    = packedEnded + 8
)

func packCalls(calls []callEntry) []byte {
	packed := make([]byte, len(calls)*packedBytes)
	for i, entry := range calls {
		target := packed[i*packedBytes : (i+1)*packedBytes]
		target[0] = byte(entry.status)
		target[1] = byte(entry.kind)
		binary.LittleEndian.PutUint64(target[packedKey:], entry.keyHash)
		binary.LittleEndian.PutUint64(target[packedBody:], entry.bodyHash)
		binary.LittleEndian.PutUint64(target[packedAccepted:], entry.accepted)
		binary.LittleEndian.PutUint64(target[packedEnded:], entry.ended)
	}
	return packed
}

func unpackCalls(packed []byte) ([]callEntry, error) {
	if len(packed)%packedBytes != 0 {
		return nil, fmt.Errorf("%d bytes of call entries: want a multiple of %d", len(packed), packedBytes)
	}
	calls := make([]callEntry, len(packed)/packedBytes)
	for i := range calls {
		source := packed[i*packedBytes : (i+1)*packedBytes]
		if statusCode(source[0]) > statusCancelled {
			return nil, fmt.Errorf("call entry %d has status %d", i, source[0])
		}
		calls[i] = callEntry{
			status:   statusCode(source[0]),
			kind:     kindCode(source[1]),
			keyHash:  binary.LittleEndian.Uint64(source[packedKey:]),
			bodyHash: binary.LittleEndian.Uint64(source[packedBody:]),
			accepted: binary.LittleEndian.Uint64(source[packedAccepted:]),
			ended:    binary.LittleEndian.Uint64(source[packedEnded:]),
		}
	}
	return calls, nil
}
