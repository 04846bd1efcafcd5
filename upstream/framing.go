package upstream

import "io"

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
	// EndClosed means that the replica's side closed the connection in order, and that
	// nothing else delimits the body. A replica that ended midway looks the same.
	EndClosed BodyEnd = "closed"
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
	case err != io.EOF:
		r.end = EndBroken
	case r.Framing() == FramingClose:
		r.end = EndClosed
	default:
		r.end = EndDelimited
	}
}
