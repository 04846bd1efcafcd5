package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/membudget"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// Exchange is one request and its response. Only the handler's goroutine may
// use it, except for Cancel, which is safe for concurrent use.
type Exchange struct {
	// Method, Target and Host are as the client sent them.
	Method string
	Target string
	Host   string
	// Body is the complete body. HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
	// Arrived is when the first byte of the request was received.
	Arrived time.Time
	// Memory holds the memory of the exchange's bodies until its handler has returned; nil if that
	// is not bounded.
	Memory *membudget.Holder
	// Cancel ends the exchange. It is triggered when the client disconnects.
	Cancel *upstream.Cancel

	connection *connection
	head       fasthttp.RequestHeader
	keepAlive  bool
	// requestRead is set once the complete request has been read; from then on
	// the client is checked for having disconnected.
	requestRead atomic.Bool
	// headWritten is set when the head of the response is written, ended when
	// the response is complete or aborted.
	headWritten bool
	ended       bool
}

// Path returns the request target without its query.
func (e *Exchange) Path() string {
	path, _, _ := strings.Cut(e.Target, "?")
	return path
}

// Field returns the value of a header field, or "".
func (e *Exchange) Field(name string) string {
	if name == "" {
		return ""
	}
	return string(e.head.Peek(name))
}

// Values returns the values of all occurrences of a header field.
func (e *Exchange) Values(name string) []string {
	var values []string
	for _, value := range e.head.PeekAll(name) {
		values = append(values, string(value))
	}
	return values
}

// ForwardedFields returns the raw header lines to forward to a replica: all
// except hop-by-hop fields, Host, and the named ones.
func (e *Exchange) ForwardedFields(without ...string) []byte {
	raw := e.head.RawHeaders()
	forwarded := make([]byte, 0, len(raw)+256)
	connectionOptions := e.Field(header.Connection)
	for line := range bytes.Lines(raw) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || isExcluded(string(name), connectionOptions) || containsFold(without, string(name)) {
			continue
		}
		forwarded = append(forwarded, bytes.TrimRight(line, "\r\n")...)
		forwarded = append(forwarded, "\r\n"...)
	}
	return forwarded
}

func containsFold(names []string, name string) bool {
	for _, candidate := range names {
		if strings.EqualFold(candidate, name) {
			return true
		}
	}
	return false
}

// excludedFields are the fields that are not forwarded, besides those that the
// Connection field lists: hop-by-hop fields, and Host and Content-Length, which
// are written anew.
var excludedFields = []string{
	header.Connection, header.ContentLength, header.Expect, header.Host, header.KeepAlive, header.TransferEncoding,
	"Proxy-Connection", "Te", "Trailer", "Upgrade",
}

func isExcluded(name, connectionOptions string) bool {
	if containsFold(excludedFields, name) {
		return true
	}
	for option := range strings.SplitSeq(connectionOptions, ",") {
		if option = strings.TrimSpace(option); option != "" && strings.EqualFold(option, name) {
			return true
		}
	}
	return false
}

// read reads the request, enforcing the limits.
func (e *Exchange) read(limits routing.Limits) *rejection {
	connection := e.connection
	_ = connection.socket.SetReadDeadline(deadlineIn(limits.HeaderTimeout))
	if err := e.head.Read(connection.reader); err != nil {
		return rejectionOf(err)
	}
	e.Method = string(e.head.Method())
	e.Target = string(e.head.RequestURI())
	e.Host = string(e.head.Host())
	e.keepAlive = !e.head.ConnectionClose()
	if rejected := e.checkHead(limits); rejected != nil {
		return rejected
	}
	if err := e.sendContinue(); err != nil {
		return rejectionOf(err)
	}
	_ = connection.socket.SetReadDeadline(deadlineIn(max(limits.HeaderTimeout, limits.IdleTimeout)))
	if rejected := e.readBody(limits); rejected != nil {
		return rejected
	}
	_ = connection.socket.SetReadDeadline(time.Time{})
	e.requestRead.Store(true)
	return nil
}

// checkHead refuses heads that are too large, whose framing is ambiguous, or
// whose request target is not a path.
func (e *Exchange) checkHead(limits routing.Limits) *rejection {
	if limits.HeaderBytes > 0 && len(e.head.Header()) > limits.HeaderBytes {
		return &rejection{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "the head is larger than the limit"}
	}
	lengths, codings := 0, 0
	for line := range bytes.Lines(e.head.RawHeaders()) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, err := header.FieldName(line)
		switch {
		case err != nil:
			return &rejection{status: fasthttp.StatusBadRequest, reason: err.Error()}
		case strings.EqualFold(string(name), header.ContentLength):
			lengths++
		case strings.EqualFold(string(name), header.TransferEncoding):
			codings++
		}
	}
	if lengths+codings > 1 {
		return &rejection{status: fasthttp.StatusBadRequest, reason: "the length of the body is given twice"}
	}
	if !strings.HasPrefix(e.Target, "/") {
		return &rejection{status: fasthttp.StatusBadRequest, reason: "the request target is not a path"}
	}
	e.HasBody = lengths+codings > 0
	return nil
}

// sendContinue sends "100 Continue" to a client that expects it before it sends
// the body.
func (e *Exchange) sendContinue() error {
	if !e.HasBody || !strings.EqualFold(e.Field(header.Expect), "100-continue") {
		return nil
	}
	_, _ = e.connection.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return e.connection.writer.Flush()
}

func (e *Exchange) readBody(limits routing.Limits) *rejection {
	if !e.HasBody {
		return nil
	}
	length := e.head.ContentLength()
	limit := limits.BodyBytes
	if limit > 0 && length > limit {
		return &rejection{status: fasthttp.StatusRequestEntityTooLarge, reason: "the body is larger than the limit"}
	}
	if length >= 0 {
		if err := e.Memory.Add(length); err != nil {
			return outOfMemory(err)
		}
		e.Body = make([]byte, length)
		if _, err := io.ReadFull(e.connection.reader, e.Body); err != nil {
			return rejectionOf(err)
		}
		return nil
	}
	return e.readChunkedBody(limit)
}

func (e *Exchange) readChunkedBody(limit int) *rejection {
	body, err := membudget.ReadAll(httputil.NewChunkedReader(e.connection.reader), limit, e.Memory)
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return &rejection{status: fasthttp.StatusRequestEntityTooLarge, reason: "the body is larger than the limit"}
	case errors.Is(err, membudget.ErrExhausted):
		return outOfMemory(err)
	case err != nil:
		return rejectionOf(err)
	}
	e.Body = body
	if err := header.SkipTrailer(e.connection.reader); err != nil {
		return rejectionOf(err)
	}
	return nil
}

// memoryRetryAfter is when a client may try again whose body finds no memory: bodies are held for
// as long as requests run.
const memoryRetryAfter = 500 * time.Millisecond

// outOfMemory refuses a request whose body finds no memory. It was not run.
func outOfMemory(err error) *rejection {
	return &rejection{status: fasthttp.StatusServiceUnavailable, reason: err.Error(), retryAfter: memoryRetryAfter}
}

// isDisconnect reports whether err means that the client closed the connection.
func isDisconnect(err error) bool {
	var nothing fasthttp.ErrNothingRead
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &nothing) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// refuse answers a request that is not passed to the handler.
func (e *Exchange) refuse(rejected *rejection) {
	if rejected.silent {
		e.ended = true
		return
	}
	_ = e.connection.socket.SetWriteDeadline(deadlineIn(refusalTimeout))
	e.Fail(rejected.status, rejected.reason, rejected.retryAfter)
}

// refusalTimeout limits the time for writing a refusal, in case the client does
// not read it.
const refusalTimeout = time.Second

// retryAfter formats a Retry-After value in seconds with three decimals.
func retryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}
