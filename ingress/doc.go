// Package ingress serves clients over HTTP/1.1. It reads requests within the
// limits of the configuration in force, passes each to a handler as an
// Exchange, and writes the handler's response unchanged, either complete or as
// a stream.
//
// It parses with fasthttp but manages connections itself, because fasthttp's
// server can neither notify a handler that the client has disconnected nor
// close a connection without a response. A background goroutine checks the
// connections of all exchanges several times a second and cancels exchanges
// whose client has disconnected.
//
// Drain begins a planned stop: from then on, responses carry
// "Connection: close".
package ingress
