package ingress

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/header"
)

// failure is the body of an answer of this process's own.
type failure struct {
	Error string `json:"error"`
}

// Fail answers with a status of this process's own and a reason. A wait of
// more than zero tells the client when to come back.
func (e *Exchange) Fail(status int, reason string, wait time.Duration) {
	if e.begun {
		e.Break()
		return
	}
	body, err := json.Marshal(failure{Error: reason})
	if err != nil {
		body = nil
	}
	e.writeStatus(status)
	e.writeField(header.ContentType, "application/json")
	if wait > 0 {
		e.writeField(header.RetryAfter, retryAfter(wait))
	}
	e.finishWhole(status, body)
}

// Relay answers with a replica's answer: its status, its fields and its whole
// body.
func (e *Exchange) Relay(head *fasthttp.ResponseHeader, body []byte) {
	e.writeStatus(head.StatusCode())
	e.writeFields(head)
	e.finishWhole(head.StatusCode(), body)
}

// BeginStream starts an answer whose body follows in pieces.
func (e *Exchange) BeginStream(head *fasthttp.ResponseHeader) error {
	e.writeStatus(head.StatusCode())
	e.writeFields(head)
	e.writeConnection()
	e.writeField(header.TransferEncoding, "chunked")
	_, _ = e.connection.writer.WriteString("\r\n")
	return e.connection.writer.Flush()
}

// hexBase is the base of the chunk sizes.
const hexBase = 16

// Write sends one piece of a stream at once.
func (e *Exchange) Write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	writer := e.connection.writer
	_, _ = writer.WriteString(strconv.FormatInt(int64(len(piece)), hexBase))
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(piece)
	_, _ = writer.WriteString("\r\n")
	return writer.Flush()
}

// EndStream completes a stream.
func (e *Exchange) EndStream() error {
	e.ended = true
	_, _ = e.connection.writer.WriteString("0\r\n\r\n")
	err := e.connection.writer.Flush()
	if err != nil {
		e.keepAlive = false
	}
	return err
}

// Break ends the connection without completing the answer.
func (e *Exchange) Break() {
	e.ended = true
	e.keepAlive = false
	e.connection.closing.Store(true)
}

// SetWriteDeadline bounds how long a client that does not read holds the
// exchange up.
func (e *Exchange) SetWriteDeadline(deadline time.Time) {
	_ = e.connection.socket.SetWriteDeadline(deadline)
}

// Begun reports whether the client has the head of the answer.
func (e *Exchange) Begun() bool { return e.begun }

func (e *Exchange) writeStatus(status int) {
	e.begun = true
	writer := e.connection.writer
	_, _ = writer.WriteString("HTTP/1.1 ")
	_, _ = writer.WriteString(strconv.Itoa(status))
	_, _ = writer.WriteString(" ")
	_, _ = writer.WriteString(fasthttp.StatusMessage(status))
	_, _ = writer.WriteString("\r\n")
}

func (e *Exchange) writeField(name, value string) {
	writer := e.connection.writer
	_, _ = writer.WriteString(name)
	_, _ = writer.WriteString(": ")
	_, _ = writer.WriteString(value)
	_, _ = writer.WriteString("\r\n")
}

// writeFields passes on a replica's fields, but for those of its connection.
func (e *Exchange) writeFields(head *fasthttp.ResponseHeader) {
	listed := string(head.Peek(header.Connection))
	for name, value := range head.All() {
		if !concernsConnection(string(name), listed) {
			e.writeField(string(name), string(value))
		}
	}
}

// writeConnection says whether the connection stays open.
func (e *Exchange) writeConnection() {
	if e.connection.server.closesConnections() || e.connection.closing.Load() {
		e.keepAlive = false
	}
	if !e.keepAlive {
		e.writeField(header.Connection, "close")
	}
}

func (e *Exchange) finishWhole(status int, body []byte) {
	e.ended = true
	e.writeConnection()
	writer := e.connection.writer
	if status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified {
		e.writeField(header.ContentLength, strconv.Itoa(len(body)))
	}
	_, _ = writer.WriteString("\r\n")
	if e.Method != fasthttp.MethodHead {
		_, _ = writer.Write(body)
	}
	if writer.Flush() != nil {
		e.keepAlive = false
	}
}
