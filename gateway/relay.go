package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/connection"
)

// contentTypeEvents is the content type of server-sent events.
const contentTypeEvents = "text/event-stream"

// The errors that occur before any byte of a request was sent.
var (
	errNotSent = errors.New("no connection to the node")
	// errIdleClosed means that the other node has closed a pooled connection.
	errIdleClosed = fmt.Errorf("%w: idle connection closed by the node", errNotSent)
)

// newPeerClient returns the client for requests to other nodes. It never
// retries, because perform does.
func newPeerClient(config Config) *fasthttp.Client {
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	return &fasthttp.Client{
		Name:                      "birchwood-gateway",
		NoDefaultUserAgentHeader:  true,
		StreamResponseBody:        true,
		MaxConnsPerHost:           config.ConnectionsPerPeer,
		MaxConnWaitTimeout:        config.DialTimeout,
		MaxIdleConnDuration:       config.IdleTimeout / 2,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		WriteTimeout:              config.WriteTimeout,
		MaxResponseBodySize:       config.MaximumReplyBytes,
		DisablePathNormalizing:    true,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, errNotSent
			}
			probe, probed := connection.NewProbe(conn)
			return &peerConn{Conn: connection.CheckResponses(conn), probe: probe, probed: probed, silence: config.PeerSilence}, nil
		},
	}
}

// peerConn is a connection to another node. It sets a read deadline for each
// read: one deadline for the whole answer would interrupt long streams, and
// without any, readers would wait forever for a node that failed without closing
// its connections. It also probes the connection before it writes a request, to
// distinguish an idle connection that the other node has closed from one that
// broke after the request was sent.
type peerConn struct {
	net.Conn
	// probe checks whether the other node has closed the connection. It is
	// valid if probed is set.
	probe  connection.Probe
	probed bool
	// silence is the longest time to wait for bytes in one read.
	silence time.Duration
	// requestInProgress is set between the first write of a request and the
	// first byte of its answer.
	requestInProgress bool
}

// Read implements net.Conn. It fails if no bytes arrive within silence.
func (c *peerConn) Read(buffer []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	read, err := c.Conn.Read(buffer)
	c.requestInProgress = c.requestInProgress && read == 0
	return read, err
}

// Write implements net.Conn. It fails with errIdleClosed if nothing of the
// request was sent yet and the other node has closed the connection.
func (c *peerConn) Write(buffer []byte) (int, error) {
	if !c.requestInProgress && c.probed && c.probe.Closed() {
		return 0, errIdleClosed
	}
	c.requestInProgress = true
	return c.Conn.Write(buffer)
}

// relay sends the request to the node at the address. With detour set, that node
// is not the owner and relays the request to it.
func (g *Gateway) relay(request *exchange, address string, detour bool) outcome {
	if request.hops >= g.config.MaximumHops {
		return refused(api.Refuse(api.CodeOwnerUnknown, "passed on %d times without reaching the owner", request.hops).WithRetryAfter(0))
	}
	remaining, left := formatDeadline(time.Now(), request.deadline)
	if !left {
		return refused(api.Refuse(api.CodeTimeout, "no time was left to ask the owner").WithRetryAfter(0))
	}
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.Set(headerDeadline, remaining)
	g.fillRelay(outgoing, request, address, detour)
	incoming := fasthttp.AcquireResponse()
	err := g.client.Do(outgoing, incoming)
	if errors.Is(err, errIdleClosed) {
		g.client.CloseIdleConnections()
		err = g.client.Do(outgoing, incoming)
	}
	g.observer.Relayed(err != nil)
	g.paths.report(address, err != nil, time.Now())
	if err != nil {
		fasthttp.ReleaseResponse(incoming)
		return relayFailed(err)
	}
	if bytes.HasPrefix(incoming.Header.ContentType(), []byte(contentTypeEvents)) {
		return outcome{answer: answer{source: newRemoteSource(g, incoming)}}
	}
	defer fasthttp.ReleaseResponse(incoming)
	return g.readRelayed(address, incoming)
}

// fillRelay sets up the outgoing request: the caller's request with the headers
// between nodes.
func (g *Gateway) fillRelay(outgoing *fasthttp.Request, request *exchange, address string, detour bool) {
	outgoing.Header.SetMethod(request.method)
	outgoing.SetRequestURI("http://" + address + request.uri)
	outgoing.Header.SetContentType(contentTypeJSON)
	outgoing.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+g.service.PeerToken())
	outgoing.Header.Set(headerScope, "/"+string(request.scope))
	outgoing.Header.Set(headerHops, strconv.Itoa(request.hops+1))
	if detour {
		outgoing.Header.Set(headerDetour, "1")
	}
	if request.stream && request.position != (position{}) {
		outgoing.Header.Set("Last-Event-ID", request.position.String())
	}
	outgoing.SetBodyRaw(request.body)
}

// relayFailed returns the outcome of an attempt without an answer. It is
// certainly without effect only if the request was not sent.
func relayFailed(err error) outcome {
	notSent := errors.Is(err, errNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		errors.Is(err, fasthttp.ErrDialTimeout)
	result := refused(api.Refuse(api.CodeOwnerUnknown, "the owner does not answer").WithRetryAfter(0))
	result.retry = true
	result.unknown = !notSent
	return result
}

// readRelayed reads the whole JSON answer of another node before any of it is
// sent to the caller, so that the request can be retried if the connection
// breaks in between.
func (g *Gateway) readRelayed(address string, incoming *fasthttp.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(incoming.BodyStream(), int64(g.config.MaximumReplyBytes)))
	if closeErr := incoming.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return relayFailed(err)
	}
	status := incoming.StatusCode()
	result := outcome{answer: answer{status: status, body: body}}
	result.pending = len(incoming.Header.Peek(headerPending)) > 0
	if status < fasthttp.StatusBadRequest {
		return result
	}
	failure := api.DecodeError(body)
	if failure == nil {
		return relayFailed(errors.New("error answer without an error body"))
	}
	if failure.Code == api.CodeUnauthorized {
		g.logger.Warn().Str("node", address).Msg(logPrefix + "A node refused this node's peer token.")
		return relayFailed(errNotSent)
	}
	result = refusedByOwner(failure)
	result.owner = string(incoming.Header.Peek(headerOwner))
	return result
}

// String formats the position as an event ID, "attempt:offset".
func (p position) String() string {
	return strconv.Itoa(p.attempt) + ":" + strconv.Itoa(p.offset)
}
