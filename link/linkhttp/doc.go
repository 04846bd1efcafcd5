// Package linkhttp carries control messages between nodes over HTTP/1.1 with
// JSON bodies.
//
// # Sending
//
// Transport.Send puts a message into a bounded queue of its peer and returns.
// Each peer has two lanes with a connection of their own, opened when needed
// and kept alive: small messages, such as probes, never wait behind large
// ones, such as records for mirrors. A lane sends what has queued up as one
// request, so that a burst costs few round trips. A lane without messages
// holds no goroutine.
//
// A message may be lost, at a full queue, an open circuit breaker or a failed
// request, and it may arrive twice, when a connection broke after the peer
// had read the request. Receivers are written for that; nothing is retried
// here, except that a request that met a connection closed by the idle peer
// is sent once more on a new one.
//
// # Receiving
//
// Transport.Handler serves Path. It checks the peer token in constant time,
// bounds the body, refuses messages for other nodes, passes over what a newer
// version has added, and hands each message to the receiver. Messages own their memory.
//
// # Cuts
//
// Config.Permits is the switch by which tests and stand-ins cut zones from
// each other, one way or both ways. Both sides ask it.
package linkhttp
