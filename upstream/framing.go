package upstream

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
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
// survived has ended its answer itself. ConfirmEnd may block until the exchange's deadline.
func (r *Response) ConfirmEnd() error {
	closed := ClosedExchange{Since: r.witnessedAt, At: time.Now(), Deadline: r.deadline, Witness: r.witness}
	r.witness = nil
	err := r.checkWritten()
	if err == nil {
		err = r.checkSurvival(closed)
	}
	closed.Witness.release()
	if err == nil {
		// Last, because a reset may follow the end: the peer's system resets a closed connection
		// when more of the request arrives.
		err = r.checkDelivered()
	}
	if err != nil {
		r.end = EndUnconfirmed
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	r.end = EndConfirmed
	return nil
}

// isFailure reports whether the answer is a failure. Replicas refuse a long request before they
// have read it, so that a failure is whole although its request is not.
func (r *Response) isFailure() bool { return r.Status() >= fasthttp.StatusBadRequest }

// errReset means that the connection of an answer was reset or has failed after its end.
var errReset = errors.New("the connection was reset")

// checkWritten returns an error if the writer of the request saw the connection reset, or if the
// answer is a success and its request was not written whole. The system reports a reset once: if
// the writer gets it, the reader sees an end in order.
func (r *Response) checkWritten() error {
	if r.isFailure() {
		if r.writing.sawReset() {
			return errReset
		}
		return nil
	}
	if err := r.writing.await(); err != nil {
		return fmt.Errorf("the request was not written whole: %w", err)
	}
	return nil
}

// deliveryPoll is the time between two looks at a request that is not yet received whole.
const deliveryPoll = 5 * time.Millisecond

// errNotReceived means that the replica's system did not receive the whole request in time.
var errNotReceived = errors.New("the request was not received whole")

// checkDelivered returns an error if the connection was reset after its end, or if the answer is a
// success and the replica's system has not received its whole request: a request that is written
// may still be in the buffers of this side. It may block until the exchange's deadline.
func (r *Response) checkDelivered() error {
	for {
		state, known := r.conn.delivery()
		switch {
		case state.failed || r.writing.sawReset():
			return errReset
		case !known, state.complete, r.isFailure():
			return nil
		}
		if r.cancel.Cause() != nil || time.Until(r.deadline) <= 0 {
			return errNotReceived
		}
		time.Sleep(deliveryPoll)
	}
}

// checkSurvival returns an error unless the replica's process survived the end of the exchange.
func (r *Response) checkSurvival(closed ClosedExchange) error {
	if r.survived == nil {
		return errNoSurvival
	}
	return r.survived(closed)
}

// errNoSurvival means that the request does not tell how to confirm the end of its answer.
var errNoSurvival = errors.New("nothing shows whether the process survived")

// ClosedExchange is an exchange that ended with its connection.
type ClosedExchange struct {
	// Since is the time before which connections were opened to the process of the exchange.
	Since time.Time
	// At is when the connection closed, and Deadline the time by which it has to be known whether
	// the process survived that.
	At, Deadline time.Time
	// Witness is a connection to the process from before Since; nil if there is none. One request
	// may be sent on it.
	Witness *Witness
}

// Witness is a connection that was opened before a body was read that ends with its own
// connection: only what the process does on an older connection shows at once that it survived
// the end of the body.
type Witness struct {
	pool       *Pool
	to         Target
	connection *conn
}

// Send sends a request on the connection, which the pool keeps afterwards.
func (w *Witness) Send(request *Request) (*Response, error) {
	connection := w.connection
	w.connection = nil
	return w.pool.exchange(w.to, connection, request, &Cancel{})
}

// release returns the connection to the pool unless a request was sent on it. A nil Witness has
// none.
func (w *Witness) release() {
	if w != nil && w.connection != nil {
		w.pool.put(w.to, w.connection)
	}
}

// takeWitness holds an older connection if the body ends with its own.
func (r *Response) takeWitness() {
	if r.Framing() != FramingClose || r.survived == nil {
		return
	}
	// Without a witness, it takes longer to confirm the end.
	if connection, err := r.pool.oldest(r.to, r.deadline); err == nil {
		r.witness = &Witness{pool: r.pool, to: r.to, connection: connection}
	}
	r.witnessedAt = time.Now()
}
