package gateway

import (
	"bytes"
	"unicode/utf8"

	"birchwood.example/birchwood/api"
)

// eventKind is the name of a server-sent event. docs/API.md describes them.
type eventKind string

// The events of a stream. A stream ends with eventEnd or eventError.
const (
	eventAccepted  eventKind = "accepted"
	eventText      eventKind = "text"
	eventRestart   eventKind = "restart"
	eventEnd       eventKind = "end"
	eventError     eventKind = "error"
	eventKeepAlive eventKind = ""
)

// event is one event of an answer's stream.
type event struct {
	kind eventKind
	// at is the position in the answer after the event.
	at   position
	data []byte
}

// textData is the data of a text event.
type textData struct {
	// Offset is the byte offset of Text in the attempt's answer.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// restartData is the data of a restart event.
type restartData struct {
	Attempt int `json:"attempt"`
}

// maximumEventText bounds the text of one event, in bytes. As the write time-out
// is renewed for each event, it then limits how slowly a caller may read, and
// not how large its answer may be.
const maximumEventText = 64 << 10

// textEvent returns an event with the text that begins at the position, or with
// its first part. The text must not end within a UTF-8 sequence, as JSON cannot
// represent a partial character. It reports false if there is no text.
func textEvent(at position, text string) (event, bool) {
	if len(text) > maximumEventText {
		text = text[:maximumEventText]
		text = text[:wholeCharacters(text)]
	}
	if text == "" {
		return event{}, false
	}
	data := marshal(textData{Offset: at.offset, Text: text})
	at.offset += len(text)
	return event{kind: eventText, at: at, data: data}, true
}

// wholeCharacters returns the length of the text without an incomplete UTF-8
// sequence at its end.
func wholeCharacters(text string) int {
	for back := 1; back <= utf8.UTFMax && back <= len(text); back++ {
		start := len(text) - back
		if !utf8.RuneStart(text[start]) {
			continue
		}
		if utf8.FullRuneInString(text[start:]) {
			return len(text)
		}
		return start
	}
	return len(text)
}

// restartEvent returns the event that begins a new attempt: the caller discards
// the text so far.
func restartEvent(attempt int) event {
	return event{kind: eventRestart, at: position{attempt: attempt}, data: marshal(restartData{Attempt: attempt})}
}

// errorEvent returns the event that ends a stream with an error.
func errorEvent(refusal *api.Error) event {
	return event{kind: eventError, data: marshal(api.ErrorBody{Error: refusal})}
}

// writeTo appends the event to the buffer in the server-sent events format.
func (e event) writeTo(buffer *bytes.Buffer) {
	if e.kind == eventKeepAlive {
		buffer.WriteString(": keep-alive\n\n")
		return
	}
	buffer.WriteString("event: ")
	buffer.WriteString(string(e.kind))
	if e.kind == eventText || e.kind == eventRestart {
		buffer.WriteString("\nid: ")
		buffer.WriteString(e.at.String())
	}
	buffer.WriteString("\ndata: ")
	buffer.Write(e.data)
	buffer.WriteString("\n\n")
}

// failure returns the error of an error event. If the event's data can't be
// decoded, it returns owner_unknown, which lets the stream be reopened.
func (e event) failure() *api.Error {
	if failure := api.DecodeError(e.data); failure != nil {
		return failure
	}
	return api.Refuse(api.CodeOwnerUnknown, "the owner's stream broke off")
}
