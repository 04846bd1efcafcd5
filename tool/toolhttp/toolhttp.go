// Package toolhttp implements the client of tool services over HTTP/1.1 with
// JSON. docs/STANDINS.md describes the routes.
package toolhttp

import (
	"context"
	"errors"
	"net/url"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/tool"
)

// Dialer returns clients of tool services, one per address. It is safe for
// concurrent use.
type Dialer struct{ pool *httpclient.Pool }

var _ tool.Dialer = (*Dialer)(nil)

// NewDialer returns a dialer whose clients all use the options, except Address.
// Timeout bounds a request whose context has no deadline.
func NewDialer(options httpclient.Options) *Dialer {
	return &Dialer{pool: httpclient.NewPool(options)}
}

// Tool implements tool.Dialer.
func (d *Dialer) Tool(backend machine.Machine) tool.Client {
	return &client{http: d.pool.Client(backend.Address)}
}

// Close closes the idle connections of all clients.
func (d *Dialer) Close() { d.pool.Close() }

// client is the client of one tool service.
type client struct {
	http *httpclient.Client
}

type runAnswer struct {
	Output *string `json:"output"`
}

type lookupAnswer struct {
	Found  *bool  `json:"found"`
	Output string `json:"output"`
}

// errIncomplete means that an answer lacks a required field. The outcome of the
// request is then unknown.
var errIncomplete = errors.New("tool service: incomplete answer")

// Run implements tool.Client. A status of 4xx, or 503, means that the run failed
// without effect. After any other failure with an established connection the
// outcome is unknown.
func (c *client) Run(ctx context.Context, request tool.Request) (string, error) {
	var answer runAnswer
	err := c.http.Do(ctx, fasthttp.MethodPost, "/run", request, &answer)
	if err != nil {
		return "", runError(err)
	}
	if answer.Output == nil {
		return "", errIncomplete
	}
	return *answer.Output, nil
}

// runError converts an httpclient error to the one specified by tool.Client.
func runError(err error) error {
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		return &engine.NotSentError{Cause: notSent.Cause}
	}
	var status *httpclient.StatusError
	if errors.As(err, &status) && status.WithoutEffect() {
		return &tool.FailedError{Message: status.Error()}
	}
	return err
}

// Lookup implements tool.Client.
func (c *client) Lookup(ctx context.Context, key string) (string, bool, error) {
	var answer lookupAnswer
	err := c.http.Do(ctx, fasthttp.MethodGet, "/lookup?key="+url.QueryEscape(key), nil, &answer)
	if err != nil {
		return "", false, err
	}
	if answer.Found == nil {
		return "", false, errIncomplete
	}
	return answer.Output, *answer.Found, nil
}
