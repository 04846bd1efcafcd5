// Package ingress serves clients over HTTP/1.1. It reads requests within the
// limits of the configuration in force, gives each to a handler as an Exchange,
// and writes the answer, whole or as a stream, byte for byte as the handler
// has it.
//
// It parses with fasthttp but keeps connections itself, since fasthttp's own
// server can neither tell a handler that the caller has hung up nor end a
// connection without an answer. A watch looks at the connections of all
// exchanges a few times a second and cancels those whose client has left.
//
// Drain begins a planned stop: answers then say that the connection closes.
package ingress
