// Package connection has what HTTP clients and servers need to know of a TCP connection beside
// the bytes that they exchange.
//
// A Probe checks whether the peer has closed a connection, without consuming data. An HTTP client
// needs this before it sends a request on an idle connection: if the server has closed the
// connection, nothing was sent, whereas a later failure leaves the outcome of the request unknown.
// An HTTP server needs it to detect, while a handler runs, that the client has disconnected.
// Neither may consume a byte for the check.
//
// CheckResponses checks the heads of responses for clients whose HTTP library repairs those that
// are not valid.
package connection
