// Package enginehttp implements the client of model engines over HTTP/1.1.
// Requests are JSON, and streamed answers are JSON lines. docs/STANDINS.md
// describes the routes.
package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// Dialer returns clients of engines, one per address. It is safe for concurrent
// use.
type Dialer struct{ pool *httpclient.Pool }

var _ engine.Dialer = (*Dialer)(nil)

// NewDialer returns a dialer whose clients all use the options, except Address.
// Timeout bounds a request whose context has no deadline, including a whole
// stream.
func NewDialer(options httpclient.Options) *Dialer {
	return &Dialer{pool: httpclient.NewPool(options)}
}

// Engine implements engine.Dialer.
func (d *Dialer) Engine(backend machine.Machine) engine.Client {
	return &client{http: d.pool.Client(backend.Address)}
}

// Close closes the idle connections of all clients.
func (d *Dialer) Close() { d.pool.Close() }

// client is the client of one engine.
type client struct {
	http *httpclient.Client
}

// ErrCutShort means that a stream ended before its last chunk. The answer can be
// resumed from the end of the received text.
var ErrCutShort = errors.New("engine: stream ended before the last chunk")

// Generate implements engine.Client. It returns a *engine.NotSentError for a
// refusal (4xx, or 503), because these statuses mean that the request had no
// effect at the engine.
func (c *client) Generate(ctx context.Context, request engine.GenerateRequest, receive func(engine.Chunk) error) error {
	done := false
	err := c.http.Lines(ctx, "/generate", request, func(line []byte) error {
		var chunk engine.Chunk
		if err := json.Unmarshal(line, &chunk); err != nil {
			return fmt.Errorf("engine: stream %s: %w", request.Stream, err)
		}
		done = done || chunk.Done
		return receive(chunk)
	})
	if err != nil {
		return generateError(err)
	}
	if !done {
		return ErrCutShort
	}
	return nil
}

// generateError converts an httpclient error to the one specified by
// engine.Client.
func generateError(err error) error {
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		return &engine.NotSentError{Cause: notSent.Cause}
	}
	var status *httpclient.StatusError
	if errors.As(err, &status) && status.WithoutEffect() {
		return &engine.NotSentError{Cause: status}
	}
	return err
}

// Cancel implements engine.Client.
func (c *client) Cancel(ctx context.Context, stream string) error {
	return c.http.Do(ctx, fasthttp.MethodPost, "/cancel", engine.CancelBody{Stream: stream}, nil)
}

// Release implements engine.Client.
func (c *client) Release(ctx context.Context, owner api.ProgramID) error {
	return c.http.Do(ctx, fasthttp.MethodPost, "/release", engine.ReleaseBody{Owner: owner}, nil)
}

// Prefixes implements engine.Client.
func (c *client) Prefixes(ctx context.Context) ([]engine.Prefix, error) {
	var answer engine.PrefixesBody
	err := c.http.Do(ctx, fasthttp.MethodGet, "/prefixes", nil, &answer)
	return answer.Prefixes, err
}

// Events implements engine.Client.
func (c *client) Events(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var answer engine.EventsBody
	err := c.http.Do(ctx, fasthttp.MethodGet, fmt.Sprintf("/events?after=%d", after), nil, &answer)
	return answer.Events, err
}

// Load implements engine.Client.
func (c *client) Load(ctx context.Context) (schedule.Load, error) {
	var answer schedule.Load
	err := c.http.Do(ctx, fasthttp.MethodGet, "/load", nil, &answer)
	return answer, err
}

// Order implements engine.Client.
func (c *client) Order(ctx context.Context, order engine.Order) error {
	return c.http.Do(ctx, fasthttp.MethodPost, "/order", order, nil)
}

// Import implements engine.Client. It returns once the engine has received the
// KV cache.
func (c *client) Import(ctx context.Context, owner api.ProgramID, from string) error {
	return c.http.Do(ctx, fasthttp.MethodPost, "/import", engine.ImportBody{Owner: owner, From: from}, nil)
}
