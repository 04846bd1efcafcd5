// Package connection looks at a TCP connection without reading from it.
//
// An HTTP client has to know, before it sends a request on a kept connection,
// whether the server closed it meanwhile: then nothing was sent, while a
// failure later leaves the request's outcome unknown. An HTTP server has to
// know, while a handler waits, whether the caller has hung up. Neither can read
// a byte to find out.
package connection
