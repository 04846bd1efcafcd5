package connection

import (
	"bufio"
	"net"
	"net/http"
	"sync"

	"birchwood.example/birchwood/header"
)

// responseConn is a client's connection whose responses have their heads checked before they are
// read.
type responseConn struct {
	net.Conn
	// reader holds what was read beyond the bytes that the client asked for; nil if nothing was.
	reader *bufio.Reader
	// headNext is set while the next byte is the first one of a response.
	headNext bool
	// informational is the number of bytes left of the head of an informational response, which
	// another response follows.
	informational int
	// failure ends the reading.
	failure error
}

// CheckResponses returns a connection for an HTTP client that sends one request at a time. Reading
// a response whose head is not valid fails with a *header.InvalidError: HTTP libraries repair such
// heads, and take a status of 0 for 200.
func CheckResponses(conn net.Conn) net.Conn { return &responseConn{Conn: conn} }

// headReaders holds readers that are not in use, so that idle connections need none.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// Write implements net.Conn. A response follows the request that is written. Bytes that came
// after the response before belong to no request and are dropped.
func (c *responseConn) Write(request []byte) (int, error) {
	c.release()
	c.headNext, c.informational, c.failure = true, 0, nil
	return c.Conn.Write(request)
}

// Read implements net.Conn.
func (c *responseConn) Read(into []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	if c.headNext {
		c.checkHead()
	}
	if c.reader == nil {
		return c.Conn.Read(into)
	}
	if c.failure != nil {
		// The library takes an error before the first byte for a connection that was closed.
		into = into[:min(len(into), c.reader.Buffered(), 1)]
	}
	if c.informational > 0 {
		into = into[:min(len(into), c.informational)]
	}
	if len(into) == 0 {
		return 0, c.failure
	}
	read, err := c.reader.Read(into)
	c.advance(read)
	return read, err
}

// checkHead checks the head of the next response.
func (c *responseConn) checkHead() {
	if c.reader == nil {
		c.reader = headReaders.Get().(*bufio.Reader)
		c.reader.Reset(c.Conn)
	}
	head, err := header.PeekResponse(c.reader)
	c.headNext, c.failure = false, err
	if err == nil && head.Status < http.StatusOK {
		c.informational = head.Length
	}
}

// advance counts bytes that the client has read.
func (c *responseConn) advance(read int) {
	if c.informational > 0 {
		c.informational -= read
		c.headNext = c.informational == 0
		return
	}
	if c.reader.Buffered() == 0 {
		c.release()
	}
}

// release returns the reader to those that are not in use.
func (c *responseConn) release() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	headReaders.Put(c.reader)
	c.reader = nil
}
