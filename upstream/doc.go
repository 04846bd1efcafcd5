// Package upstream sends requests to replicas over persistent HTTP/1.1
// connections. Its errors distinguish a request that was certainly not sent
// from one that may have run.
//
// A Pool holds the connections of one process to all replicas. Pool.Send writes
// one request and reads the head of its answer; the Response then yields the
// body, complete or as it arrives. A connection returns to the pool only after
// an answer whose end was unambiguous. It is checked again before reuse: a
// connection that the replica has closed, or that has unread bytes of another
// answer, is discarded.
//
// An answer may have neither a length nor chunks and end with its connection. That
// end is an error of its own, ErrClosed, never io.EOF: a replica that was killed
// midway closes its connections in the same way.
//
// Late answers to other requests that arrive in place of the expected one are
// recognised by the request id that replicas echo, and skipped.
package upstream
