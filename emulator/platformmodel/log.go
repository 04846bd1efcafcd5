package platformmodel

// Log is an append-only log service with named streams of entries. Offsets start at
// zero. A stream that was never written to reads as empty.
type Log struct {
	streams map[string][][]byte
}

// NewLog returns a log without streams.
func NewLog() *Log {
	return &Log{streams: make(map[string][][]byte)}
}

// Append appends copies of the entries to the stream, at consecutive offsets, and
// returns the offset of the first.
func (l *Log) Append(stream string, entries [][]byte) uint64 {
	first := uint64(len(l.streams[stream]))
	for _, entry := range entries {
		l.streams[stream] = append(l.streams[stream], append([]byte(nil), entry...))
	}
	return first
}

// Read returns up to maximum entries starting at the offset from, and the end of
// the stream, which is the offset of its next entry. The entries have at most
// maximumBytes in total, but the first is returned whatever its size. They are
// shared with the log: the caller must not modify them.
func (l *Log) Read(stream string, from uint64, maximum, maximumBytes int) ([][]byte, uint64) {
	entries := l.streams[stream]
	end := uint64(len(entries))
	if from >= end || maximum <= 0 {
		return nil, end
	}
	rest := entries[from:]
	count, size := 0, 0
	for count < len(rest) && count < maximum {
		size += len(rest[count])
		if count > 0 && size > maximumBytes {
			break
		}
		count++
	}
	return rest[:count], end
}
