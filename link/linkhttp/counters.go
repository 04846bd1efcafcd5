package linkhttp

import (
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Counters are totals since the start. Bytes include HTTP headers, but not TCP
// and IP headers.
type Counters struct {
	// BytesSent counts the bytes of requests to peers and of answers to theirs.
	BytesSent int64
	// BytesReceived counts the bytes of peers' answers and requests.
	BytesReceived    int64
	MessagesSent     int64
	MessagesReceived int64
	// Dropped counts messages that were not sent because of a full queue or an
	// open circuit breaker.
	Dropped int64
	// Failed counts messages in requests that were not answered with success.
	// They may have been delivered.
	Failed int64
	// Refused counts requests from peers that were refused.
	Refused int64
}

type counters struct {
	bytesSent        atomic.Int64
	bytesReceived    atomic.Int64
	messagesSent     atomic.Int64
	messagesReceived atomic.Int64
	dropped          atomic.Int64
	failed           atomic.Int64
	refused          atomic.Int64
}

func (c *counters) read() Counters {
	return Counters{
		BytesSent:        c.bytesSent.Load(),
		BytesReceived:    c.bytesReceived.Load(),
		MessagesSent:     c.messagesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		Dropped:          c.dropped.Load(),
		Failed:           c.failed.Load(),
		Refused:          c.refused.Load(),
	}
}

// countedConnection counts the bytes of a client's connection.
type countedConnection struct {
	net.Conn
	counters *counters
}

// Read counts the bytes of answers.
func (c *countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counters.bytesReceived.Add(int64(count))
	return count, err
}

// Write counts the bytes of requests.
func (c *countedConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.counters.bytesSent.Add(int64(count))
	return count, err
}

// countExchange counts the bytes of a peer's request and of the answer to it. The
// server's connection is not accessible, so the sizes are those of the parsed
// header and of the answer as it will be written, without the Date field.
func (c *counters) countExchange(request *fasthttp.RequestCtx) {
	received := len(request.Request.Header.Header()) + len(request.Request.Body())
	sent := len(request.Response.Header.Header()) + len(request.Response.Body())
	c.bytesReceived.Add(int64(received))
	c.bytesSent.Add(int64(sent))
}
