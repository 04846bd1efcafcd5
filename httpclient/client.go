package httpclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Header fields of the protocols between the system and its platform.
const (
	// HeaderZone is the header field with the caller's zone.
	HeaderZone = "X-Zone"
)

// Defaults of Options.
const (
	defaultTimeout          = 10 * time.Second
	defaultDialTimeout      = time.Second
	defaultMaxConnections   = 4096
	defaultMaxResponseBytes = 64 << 20
	// defaultSilence is ten times the longest interval between two lines
	// of an engine.
	defaultSilence = 5 * time.Second
	// idleTimeout is shorter than the servers' idle timeouts, so that a server
	// rarely closes a connection on which a request is being sent.
	idleTimeout = 5 * time.Second
)

// Options describe one server and the client's limits for it. Zero limits are
// replaced by defaults.
type Options struct {
	// Address is "ip:port".
	Address string
	// Token is sent as a bearer token.
	Token string
	// Zone is sent as the caller's zone.
	Zone string
	// Timeout bounds a request whose context has no deadline.
	Timeout     time.Duration
	DialTimeout time.Duration
	// Silence is the longest time that Lines waits for a line, including the
	// first one. Empty lines count.
	Silence          time.Duration
	MaxConnections   int
	MaxResponseBytes int
}

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	options Options
	host    *fasthttp.HostClient
}

// NotSentError reports that nothing of the request was sent, for example because
// no connection to the server could be opened.
type NotSentError struct{ Cause error }

// Error describes the failure.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// StatusError is an answer with an error status.
type StatusError struct {
	Status int
	Body   string
}

// Error describes the answer.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// WithoutEffect reports whether the status guarantees that the request had no
// effect: the request was refused (4xx except 408) or the server is unavailable
// (503).
func (e *StatusError) WithoutEffect() bool {
	if e.Status == fasthttp.StatusServiceUnavailable {
		return true
	}
	isClientError := e.Status >= fasthttp.StatusBadRequest && e.Status < fasthttp.StatusInternalServerError
	return isClientError && e.Status != fasthttp.StatusRequestTimeout
}

// New returns a client for one server.
func New(options Options) *Client {
	options = options.withDefaults()
	dialer := net.Dialer{Timeout: options.DialTimeout}
	host := &fasthttp.HostClient{
		Addr:                     options.Address,
		NoDefaultUserAgentHeader: true,
		Dial: func(address string) (net.Conn, error) {
			connection, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, &NotSentError{Cause: err}
			}
			return newIdleConn(connection), nil
		},
		MaxConns:            options.MaxConnections,
		MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: options.MaxResponseBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return &Client{options: options, host: host}
}

// withDefaults replaces zero limits by their defaults.
func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Silence <= 0 {
		o.Silence = defaultSilence
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return o
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Do sends body as JSON, unless it is nil, and decodes the response into answer,
// unless that is nil. The path may contain a query.
func (c *Client) Do(ctx context.Context, method, path string, body, answer any) error {
	response, err := c.roundTrip(ctx, method, path, body, false)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(response)
	if err := statusError(response); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return fmt.Errorf("%s %s: answer: %w", method, path, err)
	}
	return nil
}

// result is the result of a request's goroutine.
type result struct {
	response *fasthttp.Response
	err      error
}

// roundTrip sends the request on its own goroutine and returns as soon as the
// context ends. The goroutine ends with the answer or at the request's timeout.
func (c *Client) roundTrip(ctx context.Context, method, path string, body any, stream bool) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	done := make(chan result, 1)
	go func() {
		done <- c.send(request, stream)
	}()
	select {
	case answered := <-done:
		return answered.response, answered.err
	case <-ctx.Done():
		go discard(done)
		return nil, ctx.Err()
	}
}

// request builds the request, which send releases.
func (c *Client) request(ctx context.Context, method, path string, body any) (*fasthttp.Request, error) {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.options.Address + path)
	if c.options.Token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Token)
	}
	if c.options.Zone != "" {
		request.Header.Set(HeaderZone, c.options.Zone)
	}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			fasthttp.ReleaseRequest(request)
			return nil, err
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(encoded)
	}
	timeout := c.options.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Until(deadline), time.Millisecond)
	}
	request.SetTimeout(timeout)
	return request, nil
}

// send performs the request and classifies its error.
func (c *Client) send(request *fasthttp.Request, stream bool) result {
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	response.StreamBody = stream
	err := c.host.Do(request, response)
	if err == nil {
		return result{response: response}
	}
	fasthttp.ReleaseResponse(response)
	return result{err: classifyError(err)}
}

// classifyError reports a request that got no connection as not sent, and every
// timeout as context.DeadlineExceeded: the timers of the request and of the
// context expire at the same time, so either error may occur.
func classifyError(err error) error {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return notSent
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &NotSentError{Cause: err}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}

// discard releases an answer that the caller no longer waits for.
func discard(done <-chan result) {
	late := <-done
	if late.response == nil {
		return
	}
	_ = late.response.CloseBodyStream()
	fasthttp.ReleaseResponse(late.response)
}

// statusError returns a *StatusError unless the status is 2xx.
func statusError(response *fasthttp.Response) error {
	status := response.StatusCode()
	if status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices {
		return nil
	}
	return &StatusError{Status: status, Body: string(response.Body())}
}
