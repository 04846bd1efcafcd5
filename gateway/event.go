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

// event is one event of an answer's stream. at is the position after it.
type event struct {
	kind eventKind
	at   position
	data []byte
}

// textData is the data of a text event.
type textData struct {
	// Offset is where the text begins in the attempt's answer, in bytes.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// restartData is the data of a restart event.
type restartData struct {
	Attempt int `json:"attempt"`
}

// maximumEventText bounds the text of one event, in bytes, so that the write
// time-out bounds the pace of a slow caller and not the size of its answer.
const maximumEventText = 64 << 10

// textEvent carries text that begins at the position, or the first part of it.
// JSON cannot hold a part of a character: the text must not end inside one.
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

// wholeCharacters returns the length of the text without a character that is
// cut at its end.
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

// restartEvent says that the attempt's text begins anew.
func restartEvent(attempt int) event {
	return event{kind: eventRestart, at: position{attempt: attempt}, data: marshal(restartData{Attempt: attempt})}
}

// errorEvent ends a stream that cannot go on.
func errorEvent(refusal *api.Error) event {
	return event{kind: eventError, data: marshal(api.ErrorBody{Error: refusal})}
}

// writeTo appends the event's lines to the buffer.
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

// failure returns the error that an error event carries.
func (e event) failure() *api.Error {
	if failure := api.ErrorIn(e.data); failure != nil {
		return failure
	}
	return api.Refuse(api.CodeOwnerUnknown, "the owner's stream broke off")
}
