package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/membudget"
)

// Request is one request to a replica.
type Request struct {
	Method string
	// Target is the request target of the first line, as the client sent it.
	Target string
	Host   string
	// ID is the request id. An answer that echoes another id is skipped.
	ID string
	// Fields are raw header lines, each ended by CRLF.
	Fields []byte
	Body   []byte
	// HasBody makes the request carry a Content-Length even if Body is empty.
	HasBody bool
	// Deadline is the time by which the exchange has to end.
	Deadline time.Time
	// Memory holds the memory of the answer's body; nil if that is not bounded.
	Memory *membudget.Holder
	// Survived returns nil if the process of the replica survived the end of the exchange, and
	// otherwise why that is not shown. It may block until the exchange's deadline. Without it, no
	// body that ends with its connection is confirmed.
	Survived func(ClosedExchange) error
}

// inlineBodyBytes is the size up to which a body is written before the answer
// is read. A longer one is written concurrently, since a replica may answer
// before it has read all of it.
const inlineBodyBytes = 16 << 10

// Send writes a request to the replica and reads the head of the answer. Its
// errors are of type *NotSentError or *UnknownError.
func (p *Pool) Send(to Target, request *Request, cancel *Cancel) (*Response, error) {
	connection, err := p.get(to, request.Deadline)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return p.exchange(to, connection, request, cancel)
}

// SendOnOldest is Send on the idle connection that was opened first, or on a new one if none is
// idle.
func (p *Pool) SendOnOldest(to Target, request *Request, cancel *Cancel) (*Response, error) {
	connection, err := p.oldest(to, request.Deadline)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return p.exchange(to, connection, request, cancel)
}

// exchange sends a request on a connection.
func (p *Pool) exchange(to Target, connection *conn, request *Request, cancel *Cancel) (*Response, error) {
	if err := cancel.bind(connection.Conn, request.Deadline); err != nil {
		_ = connection.Close()
		return nil, &NotSentError{Cause: err}
	}
	response := &Response{
		pool: p, to: to, conn: connection, cancel: cancel, deadline: request.Deadline, end: EndOpen, connectedAt: connection.openedAt,
		memory: request.Memory, survived: request.Survived,
	}
	response.writing = writeRequest(connection.writer, request)
	if err := response.readHead(request.ID); err != nil {
		response.Abort()
		return nil, &UnknownError{Stage: "read answer", Cause: cancelCauseOr(cancel, err)}
	}
	response.takeWitness()
	return response, nil
}

// cancelCauseOr returns the cause of a cancelled exchange, or err if the
// exchange was not cancelled. A cancellation makes reads and writes fail, and
// their errors are less informative than its cause.
func cancelCauseOr(cancel *Cancel, err error) error {
	if cause := cancel.Cause(); cause != nil {
		return cause
	}
	return err
}

// requestWriting is the writing of a request, which may still be under way.
type requestWriting struct {
	// done is closed once the writing has ended, with err.
	done chan struct{}
	err  error
}

// await waits until the writing has ended, at the latest with the deadline of its connection. It
// returns nil if the complete request was written.
func (w *requestWriting) await() error {
	<-w.done
	return w.err
}

// written reports whether the complete request has been written.
func (w *requestWriting) written() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// sawReset reports whether the writing has ended because the replica reset the connection.
func (w *requestWriting) sawReset() bool {
	select {
	case <-w.done:
		return errors.Is(w.err, syscall.ECONNRESET) || errors.Is(w.err, syscall.EPIPE)
	default:
		return false
	}
}

// writeRequest writes the request. A body longer than inlineBodyBytes is
// written by another goroutine. A write error does not end the exchange, since the replica
// may have answered before it closed the connection. If not, reading the answer fails.
func writeRequest(writer *bufio.Writer, request *Request) *requestWriting {
	writing := &requestWriting{done: make(chan struct{})}
	writeHead(writer, request)
	write := func() {
		defer close(writing.done)
		_, _ = writer.Write(request.Body)
		// The errors of a bufio.Writer are sticky.
		writing.err = writer.Flush()
	}
	if len(request.Body) <= inlineBodyBytes {
		write()
	} else {
		go write()
	}
	return writing
}

func writeHead(writer *bufio.Writer, request *Request) {
	for _, part := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\n", header.Host, ": ", request.Host, "\r\n"} {
		_, _ = writer.WriteString(part)
	}
	_, _ = writer.Write(request.Fields)
	if request.HasBody || len(request.Body) > 0 {
		_, _ = writer.WriteString(header.ContentLength + ": " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
}

const (
	// maxForeignAnswers is the number of answers to other requests after which an exchange fails.
	maxForeignAnswers = 3
	// maxInformational is the number of informational responses after which an exchange fails.
	maxInformational = 16
)

// errInformational means that informational responses came in place of an answer.
var errInformational = errors.New("too many informational responses")

// errForeignAnswer means that an answer to another request arrived and could
// not be skipped.
var errForeignAnswer = errors.New("the answer belongs to another request")

// errAmbiguousID means that an answer echoes the ids of several requests.
var errAmbiguousID = errors.New("the answer has the ids of several requests")

// readHead reads answers until it has read the head of the request's own,
// skipping informational responses and answers to earlier requests.
func (r *Response) readHead(id string) error {
	for range maxForeignAnswers {
		if err := r.readOneHead(); err != nil {
			return err
		}
		own, err := r.answers(id)
		if own || err != nil {
			return err
		}
		r.skippedAnswers = true
		if r.length() < 0 || r.length() > r.pool.config.SkipBytes {
			return errForeignAnswer
		}
		if _, err := io.CopyN(io.Discard, r.conn.reader, int64(r.length())); err != nil {
			return err
		}
	}
	return errForeignAnswer
}

// answers reports whether the head that was read answers the request with the given id. One without
// an id does.
func (r *Response) answers(id string) (bool, error) {
	echoed := r.Header.PeekAll(r.pool.config.Names.RequestID)
	if len(echoed) == 0 {
		return true, nil
	}
	for _, other := range echoed[1:] {
		if !bytes.Equal(other, echoed[0]) {
			return false, errAmbiguousID
		}
	}
	return len(echoed[0]) == 0 || string(echoed[0]) == id, nil
}

func (r *Response) readOneHead() error {
	for range maxInformational {
		// The library accepts and repairs heads that are not valid HTTP.
		if _, err := header.PeekResponse(r.conn.reader); err != nil {
			return err
		}
		r.Header.Reset()
		r.Header.SetNoDefaultContentType(true)
		if err := r.Header.Read(r.conn.reader); err != nil {
			return err
		}
		if r.Header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errInformational
}
