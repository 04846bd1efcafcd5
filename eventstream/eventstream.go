// Package eventstream cuts a stream of server-sent events into its events, byte
// for byte, and reads what a scheduler needs of each: the id and the data. It
// performs no I/O.
package eventstream

import (
	"bytes"
	"strconv"
)

// Event is one whole event.
type Event struct {
	// Raw is the event as it came, with the blank line that ends it. It is
	// valid until the next call of Write.
	Raw []byte
	// ID is the value of its id field, and HasID whether it had a number there.
	ID    int64
	HasID bool
	// Data joins the values of its data fields with line feeds, and HasData
	// tells an empty value from none.
	Data    []byte
	HasData bool
}

// Splitter cuts a stream into events. The zero value is ready.
type Splitter struct {
	buffer []byte
	// start is where the first event that was not taken begins.
	start int
}

// Write adds bytes of the stream.
func (s *Splitter) Write(piece []byte) {
	if s.start > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.start:]...)
		s.start = 0
	}
	s.buffer = append(s.buffer, piece...)
}

// Next returns the next whole event, or false.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buffer[s.start:]
	length := eventLength(rest)
	if length == 0 {
		return Event{}, false
	}
	s.start += length
	return parse(rest[:length]), true
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.buffer[s.start:] }

// eventLength returns the length of the event that the bytes begin with, up to
// and including its blank line, or 0 if it is not whole.
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
