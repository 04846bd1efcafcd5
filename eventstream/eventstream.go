// Package eventstream splits a stream of server-sent events into events,
// preserving their bytes, and parses the id and data fields of each. It performs
// no I/O.
package eventstream

import (
	"bytes"
	"strconv"
)

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the blank line that ends it. It
	// is valid until the next call of Write.
	Raw []byte
	// ID is the value of the id field. HasID reports whether there is an id
	// field with a number.
	ID    int64
	HasID bool
	// Data holds the values of the data fields, joined by line feeds. HasData
	// distinguishes an empty value from a missing field.
	Data    []byte
	HasData bool
}

// Splitter splits a stream into events. The zero value is ready to use.
type Splitter struct {
	buffer []byte
	// start is the offset in buffer of the next event.
	start int
}

// Write appends bytes of the stream.
func (s *Splitter) Write(piece []byte) {
	if s.start > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.start:]...)
		s.start = 0
	}
	s.buffer = append(s.buffer, piece...)
}

// Next returns the next complete event, or false if there is none yet.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buffer[s.start:]
	length := eventLength(rest)
	if length == 0 {
		return Event{}, false
	}
	s.start += length
	return parse(rest[:length]), true
}

// Rest returns the bytes after the last event that Next returned.
func (s *Splitter) Rest() []byte { return s.buffer[s.start:] }

// eventLength returns the length of the first event in raw, including its blank
// line, or 0 if the event is incomplete.
func eventLength(raw []byte) int {
	length := 0
	for {
		end := bytes.IndexByte(raw[length:], '\n')
		if end < 0 {
			return 0
		}
		line := raw[length : length+end]
		length += end + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return length
		}
	}
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, err := strconv.ParseInt(string(value), 10, 64)
			event.ID, event.HasID = id, err == nil
		case "data":
			if event.HasData {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, value...)
			event.HasData = true
		}
	}
	return event
}
