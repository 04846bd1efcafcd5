// Package linkhttp carries control messages between nodes over HTTP/1.1 with
// JSON bodies.
//
// # Sending
//
// Transport.Send adds a message to a bounded queue of the peer and returns. Each
// peer has two lanes, each with its own connection, opened on demand and kept
// alive, so that small messages, such as probes, never wait behind large ones,
// such as records for mirrors. A lane sends its queued messages in batches, so
// that a burst takes few round trips. An empty lane has no goroutine.
//
// A message may be lost to a full queue, an open circuit breaker or a failed
// request, and it may arrive twice if a connection breaks after the peer has read
// the request. Receivers must tolerate both. The transport does not retry, except
// that it resends a request once if the peer had closed the idle connection.
//
// # Receiving
//
// Transport.Handler serves Path. It checks the peer token in constant time,
// bounds the body, refuses messages for other nodes, ignores fields and kinds of
// message that a newer version has added, and passes each message to the
// receiver. Messages share no memory with the request.
//
// # Network partitions
//
// With Config.Permits, tests and stand-ins simulate network partitions between
// zones, in one or both directions. Both the sender and the receiver check it.
package linkhttp
