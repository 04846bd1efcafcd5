package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/membudget"
)

// Response is an answer whose head has been read. Exactly one of ReadAll, Discard,
// Abort or Finish must end it.
type Response struct {
	// Header is the head, with the framing fields as the replica sent them.
	Header fasthttp.ResponseHeader

	pool    *Pool
	to      Target
	conn    *conn
	cancel  *Cancel
	writing *requestWriting
	// connectedAt is when the connection was opened, and witnessedAt the time before which
	// connections were opened to the process that answers.
	connectedAt time.Time
	witnessedAt time.Time
	witness     *Witness
	survived    func(ClosedExchange) error
	// deadline is the time by which the exchange has to end.
	deadline time.Time
	// skippedAnswers is set if answers to other requests preceded this one.
	skippedAnswers bool
	// memory holds the memory of the body.
	memory *membudget.Holder
	body   io.Reader
	end    BodyEnd
}

// Status returns the status code.
func (r *Response) Status() int { return r.Header.StatusCode() }

// ConnectedAt returns when the connection of the exchange was opened.
func (r *Response) ConnectedAt() time.Time { return r.connectedAt }

// chunkedLength is the length of a chunked body. That of a body that ends when the
// connection closes is also negative.
const chunkedLength = -1

// length returns the length of the body, which is negative if its head has none.
func (r *Response) length() int {
	if r.bodiless() {
		return 0
	}
	return r.Header.ContentLength()
}

func (r *Response) bodiless() bool {
	status := r.Status()
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// ErrClosed means that the replica's side closed the connection in order under a body
// that nothing else delimits. The replica either ended its answer or ended itself in
// the middle of it; ConfirmEnd decides between the two.
var ErrClosed = errors.New("the connection closed under a body without a length")

// ErrUnconfirmed means that ConfirmEnd could not show that the replica ended its answer itself.
var ErrUnconfirmed = errors.New("the end of the body is not confirmed")

// ReadAll reads the complete body and ends the exchange. Its errors are of type
// *UnknownError: the body was truncated or too large, or its end is not confirmed.
func (r *Response) ReadAll() ([]byte, error) {
	body, err := r.readWithin(r.pool.config.BodyBytes)
	if errors.Is(err, ErrClosed) {
		err = r.ConfirmEnd()
	}
	if err != nil {
		r.Abort()
		return nil, &UnknownError{Stage: "read body", Cause: cancelCauseOr(r.cancel, err)}
	}
	r.Finish()
	return body, nil
}

// readWithin reads the body, or returns membudget.ErrTooLarge if it has more than limit bytes.
func (r *Response) readWithin(limit int) ([]byte, error) {
	if r.length() > limit {
		return nil, membudget.ErrTooLarge
	}
	return membudget.ReadAll(r, limit, r.memory)
}

// Discard ends an exchange whose body is not needed. It closes the connection unless the body is
// short.
func (r *Response) Discard() {
	if r.Framing() == FramingClose {
		r.Abort()
		return
	}
	if _, err := r.readWithin(r.pool.config.SkipBytes); err != nil {
		r.Abort()
		return
	}
	r.Finish()
}

// Read implements io.Reader. It yields the body as it arrives. io.EOF means that the
// framing ended the body; a body without a length ends with ErrClosed.
func (r *Response) Read(into []byte) (int, error) {
	read, err := r.reader().Read(into)
	r.noteEnd(err)
	return read, err
}

// reader returns a reader of the body without its framing.
func (r *Response) reader() io.Reader {
	if r.body == nil {
		r.body = r.newReader()
	}
	return r.body
}

func (r *Response) newReader() io.Reader {
	switch r.Framing() {
	case FramingChunks:
		return &chunkedBody{connection: r.conn.reader, chunks: httputil.NewChunkedReader(r.conn.reader)}
	case FramingClose:
		return &untilCloseBody{connection: r.conn.reader}
	default:
		return &sizedBody{connection: r.conn.reader, remaining: r.length()}
	}
}

// sizedBody reads a body of a known length.
type sizedBody struct {
	connection io.Reader
	remaining  int
}

// Read implements io.Reader.
func (b *sizedBody) Read(into []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	read, err := b.connection.Read(into[:min(len(into), b.remaining)])
	b.remaining -= read
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return read, err
}

// untilCloseBody reads a body that ends when the connection closes.
type untilCloseBody struct{ connection io.Reader }

// Read implements io.Reader.
func (b *untilCloseBody) Read(into []byte) (int, error) {
	read, err := b.connection.Read(into)
	if err == io.EOF {
		err = ErrClosed
	}
	return read, err
}

// chunkedBody reads a chunked body, including its last chunk and trailer.
type chunkedBody struct {
	connection *bufio.Reader
	chunks     io.Reader
	ended      bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(into []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	read, err := b.chunks.Read(into)
	if err != io.EOF {
		return read, err
	}
	if err := header.SkipTrailer(b.connection); err != nil {
		return read, err
	}
	b.ended = true
	return read, io.EOF
}

// Finish ends an exchange. The connection returns to the pool if the request
// was fully written, the body was read to its end and nothing follows it, no answer was
// skipped, the answer does not require the connection to be closed and the exchange was
// not cancelled; otherwise Finish closes it.
func (r *Response) Finish() {
	if r.conn == nil {
		return
	}
	connection := r.conn
	r.conn = nil
	r.witness.release()
	_ = r.cancel.bind(nil, time.Time{})
	if r.end != EndDelimited || !connection.reusable() || !r.writing.written() || r.skippedAnswers || r.Header.ConnectionClose() || r.cancel.Cause() != nil {
		_ = connection.Close()
		return
	}
	connection.idleLimit = keepAliveLimit(r.Header.Peek(header.KeepAlive), r.pool.config.IdleLimit)
	_ = connection.SetDeadline(time.Time{})
	r.pool.put(r.to, connection)
}

// Abort ends the exchange at any point. It closes the connection, which makes the
// replica stop working on the request.
func (r *Response) Abort() {
	if r.conn == nil {
		return
	}
	connection := r.conn
	r.conn = nil
	r.witness.release()
	_ = r.cancel.bind(nil, time.Time{})
	_ = connection.Close()
}

// idleSlack is subtracted from a replica's Keep-Alive timeout, since a request
// that is sent just before the timeout may be lost.
const idleSlack = 300 * time.Millisecond

// keepAliveLimit parses a Keep-Alive field such as "timeout=5" and returns the
// timeout less idleSlack, or fallback if the field has none.
func keepAliveLimit(value []byte, fallback time.Duration) time.Duration {
	for parameter := range strings.SplitSeq(string(value), ",") {
		name, number, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(number))
		if err == nil && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-idleSlack)
		}
	}
	return fallback
}
