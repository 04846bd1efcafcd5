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

// Splitter splits a stream into events. Lines end with LF, CR LF or CR alone. The
// zero value is ready to use.
type Splitter struct {
	buffer []byte
	// start is the offset in buffer of the next event.
	start int
	// endedByCR is set if the last event ended with a CR that the stream may continue with
	// the LF of the same line end.
	endedByCR bool
}

// Write appends bytes of the stream.
func (s *Splitter) Write(piece []byte) {
	if s.start > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.start:]...)
		s.start = 0
	}
	s.buffer = append(s.buffer, piece...)
}

// Next returns the next complete event, or false if there is none yet. An event that
// ends with CR is returned without waiting for an LF; if one follows, it is returned as
// an event of its own, without fields.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buffer[s.start:]
	if len(rest) == 0 {
		return Event{}, false
	}
	if s.endedByCR && rest[0] == '\n' {
		s.endedByCR = false
		s.start++
		return Event{Raw: rest[:1]}, true
	}
	length := eventLength(rest)
	if length == 0 {
		return Event{}, false
	}
	s.start += length
	s.endedByCR = rest[length-1] == '\r'
	return parse(rest[:length]), true
}

// Rest returns the bytes after the last event that Next returned. They are part of an
// event that is not complete.
func (s *Splitter) Rest() []byte { return s.buffer[s.start:] }

// eventLength returns the length of the first event in raw, including its blank
// line, or 0 if the event is incomplete.
func eventLength(raw []byte) int {
	length := 0
	for {
		line, end := cutLine(raw[length:])
		if end == 0 {
			return 0
		}
		length += end
		if len(line) == 0 {
			return length
		}
	}
}

// cutLine returns the first line of raw without its line end, and the length of both; 0 if
// the line is not complete. A CR that ends raw completes its line.
func cutLine(raw []byte) (line []byte, length int) {
	end := bytes.IndexAny(raw, "\r\n")
	if end < 0 {
		return nil, 0
	}
	length = end + 1
	if raw[end] == '\r' && length < len(raw) && raw[length] == '\n' {
		length++
	}
	return raw[:end], length
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for line, length := cutLine(raw); length > 0; line, length = cutLine(raw) {
		raw = raw[length:]
		event.addField(line)
	}
	return event
}

// addField adds a line of the event.
func (e *Event) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		e.ID, e.HasID = id, err == nil
	case "data":
		if e.HasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		e.HasData = true
	}
}
