package upstream

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// Framing is how an answer delimits its body.
type Framing string

// The framings of HTTP/1.1.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingClose means that the body has neither a length nor chunks and ends with the
	// connection.
	FramingClose Framing = "close"
)

// BodyEnd is how the body of an answer ended, as far as it has been read.
type BodyEnd string

const (
	// EndOpen means that the body has not been read to an end.
	EndOpen BodyEnd = "open"
	// EndDelimited means that the whole body was read, by its length or its last chunk.
	EndDelimited BodyEnd = "delimited"
	// EndClosed means that the body ended with ErrClosed. ConfirmEnd replaces it by
	// EndConfirmed or EndUnconfirmed.
	EndClosed      BodyEnd = "closed"
	EndConfirmed   BodyEnd = "confirmed"
	EndUnconfirmed BodyEnd = "unconfirmed"
	// EndBroken means that reading the body failed.
	EndBroken BodyEnd = "broken"
)

// Framing returns how the answer delimits its body.
func (r *Response) Framing() Framing {
	switch length := r.length(); {
	case length == chunkedLength:
		return FramingChunks
	case length < 0:
		return FramingClose
	default:
		return FramingLength
	}
}

// End returns how the body ended, as far as it has been read.
func (r *Response) End() BodyEnd { return r.end }

// noteEnd records how a read of the body ended.
func (r *Response) noteEnd(err error) {
	switch {
	case err == nil:
	case err == io.EOF:
		r.end = EndDelimited
	case errors.Is(err, ErrClosed):
		r.end = EndClosed
	default:
		r.end = EndBroken
	}
}

// ConfirmEnd decides whether a body that ended with ErrClosed is whole, and returns nil if
// it is. The connections of a process that ends close in order as well; a replica whose process
// survived has ended its answer itself.
func (r *Response) ConfirmEnd() error {
	if r.pool.config.Survived == nil {
		r.end = EndUnconfirmed
		return ErrUnconfirmed
	}
	closed := ClosedExchange{To: r.to, Since: r.witnessedAt, At: time.Now(), Deadline: r.deadline}
	if err := r.pool.config.Survived(closed); err != nil {
		r.end = EndUnconfirmed
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	r.end = EndConfirmed
	return nil
}

// ClosedExchange is an exchange that ended with its connection.
type ClosedExchange struct {
	To Target
	// Since is the time before which connections were opened to the process of the exchange.
	Since time.Time
	// At is when the connection closed, and Deadline the time by which it has to be known whether
	// the process survived that.
	At, Deadline time.Time
}

// ensureWitness opens a connection before a body that ends with its own connection is read,
// unless an idle one is open: only what the process does on an older connection shows that it
// survived the end of the body.
func (r *Response) ensureWitness() {
	if r.Framing() == FramingClose && !r.pool.HasIdle(r.to) {
		// Without a witness, the end is not confirmed.
		_ = r.pool.Connect(r.to, r.deadline)
	}
	r.witnessedAt = time.Now()
}
