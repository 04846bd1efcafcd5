package ledger

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// StreamOrigin is where a stream began. What two software versions write does not fit
// together, so a stream may go on only at replicas of the version that began it.
type StreamOrigin struct {
	Service string `json:"service"`
	// Version is that of the replicas' software.
	Version string `json:"version"`
}

// Stream is a stream that began.
type Stream struct {
	// Attempt is the ID of the client attempt that receives the first event.
	Attempt string       `json:"attempt"`
	Origin  StreamOrigin `json:"origin"`
}

const (
	// StreamLifetime is how long the origin of a stream is kept. Clients resume a stream
	// within the deadline of its first attempt.
	StreamLifetime = time.Minute
	// maxStreams bounds the origins of one partition; the oldest give way.
	maxStreams = 1 << 15
	// streamRecords is the number of records that are written in turn. At one record per
	// batch, and 25 batches a second, they hold the origins of the last 20 s.
	streamRecords = 512
	// maxStreamsPerRecord bounds a record's size.
	maxStreamsPerRecord = 512
)

// streams holds the origins of the streams that began lately. An origin never changes. It
// is lost if the owner fails before it is durable: a stream without a known origin cannot be
// resumed.
type streams struct {
	origins map[string]knownOrigin
	// order holds the attempts by the time at which they became known.
	order []datedAttempt
	// unrecorded are the streams that no record contains yet.
	unrecorded []Stream
	// nextRecord is the number of the next record.
	nextRecord uint64
}

// knownOrigin is the origin of a stream. It is ambiguous if the same attempt was reported
// to have begun at two origins.
type knownOrigin struct {
	StreamOrigin
	ambiguous bool
}

// datedAttempt is an attempt with the time at which it became known.
type datedAttempt struct {
	attempt string
	at      time.Time
}

// streamsValue is the durable form of some origins, grouped by origin.
type streamsValue struct {
	// Number increases from record to record, over all owners.
	Number uint64         `json:"number"`
	Begun  []streamsGroup `json:"begun"`
}

// streamsGroup lists the attempts whose streams have the same origin.
type streamsGroup struct {
	StreamOrigin
	Attempts []string `json:"attempts"`
}

// BeginStream notes where a stream began. It is recorded with the next batch.
func (l *Ledger) BeginStream(now time.Time, stream Stream) {
	s := &l.streams
	if !s.add(now, stream) {
		return
	}
	s.unrecorded = append(s.unrecorded, stream)
	s.unrecorded = s.unrecorded[max(0, len(s.unrecorded)-maxStreams):]
}

// StreamOrigin returns where the stream of an attempt began, and whether that is known.
func (l *Ledger) StreamOrigin(attempt string) (StreamOrigin, bool) {
	known, found := l.streams.origins[attempt]
	return known.StreamOrigin, found && !known.ambiguous
}

// add adds an origin and reports whether it is new.
func (s *streams) add(now time.Time, stream Stream) bool {
	if known, found := s.origins[stream.Attempt]; found {
		known.ambiguous = known.ambiguous || known.StreamOrigin != stream.Origin
		s.origins[stream.Attempt] = known
		return false
	}
	if s.origins == nil {
		s.origins = make(map[string]knownOrigin)
	}
	s.origins[stream.Attempt] = knownOrigin{StreamOrigin: stream.Origin}
	s.order = append(s.order, datedAttempt{attempt: stream.Attempt, at: now})
	s.expire(now)
	return true
}

// expire removes the origins that are too old or too many.
func (s *streams) expire(now time.Time) {
	expired := max(0, len(s.order)-maxStreams)
	for expired < len(s.order) && now.Sub(s.order[expired].at) > StreamLifetime {
		expired++
	}
	for _, old := range s.order[:expired] {
		delete(s.origins, old.attempt)
	}
	s.order = s.order[expired:]
}

// proposeStreams proposes a record of origins that no record contains yet.
func (l *Ledger) proposeStreams() {
	s := &l.streams
	if len(s.unrecorded) == 0 {
		return
	}
	count := min(len(s.unrecorded), maxStreamsPerRecord)
	value := streamsValue{Number: s.nextRecord, Begun: groupByOrigin(s.unrecorded[:count])}
	s.unrecorded = s.unrecorded[count:]
	l.propose(streamsPrefix+strconv.FormatUint(s.nextRecord%streamRecords, 10), encode(value))
	s.nextRecord++
}

// groupByOrigin groups streams by their origin, in the order in which the origins occur.
func groupByOrigin(begun []Stream) (groups []streamsGroup) {
	index := make(map[StreamOrigin]int)
	for _, stream := range begun {
		position, found := index[stream.Origin]
		if !found {
			position = len(groups)
			index[stream.Origin] = position
			groups = append(groups, streamsGroup{StreamOrigin: stream.Origin})
		}
		groups[position].Attempts = append(groups[position].Attempts, stream.Attempt)
	}
	return groups
}

// restoreStreams restores a record of origins.
func (l *Ledger) restoreStreams(now time.Time, record Record) error {
	var value streamsValue
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return fmt.Errorf("ledger: record %q: %w", record.Key, err)
	}
	l.streams.nextRecord = max(l.streams.nextRecord, value.Number+1)
	for _, group := range value.Begun {
		for _, attempt := range group.Attempts {
			l.streams.add(now, Stream{Attempt: attempt, Origin: group.StreamOrigin})
		}
	}
	return nil
}
