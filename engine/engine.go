// Package engine defines the client interface of model engines: generation,
// cancellation, release of cached prefixes, cache events, load and fenced
// orders. Package enginehttp implements it over HTTP, and package
// emulator/standin has an engine for tests.
package engine

import (
	"context"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// GenerateRequest is a request for one answer. Stream identifies the answer's
// stream: a repeated request with the same Stream resumes it.
type GenerateRequest struct {
	// Stream is "<program>/<sequence>/<attempt>".
	Stream string `json:"stream"`
	// Owner is the program whose prefix the engine caches for its next call.
	Owner    api.ProgramID `json:"owner"`
	Model    string        `json:"model"`
	Prompt   string        `json:"prompt"`
	Priority int           `json:"priority"`
	// MaxOutputTokens is the length at which the engine truncates the answer.
	MaxOutputTokens int `json:"max_output_tokens"`
	// ResumeFrom is the byte offset in the answer from which to send it.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Chunk is a part of an answer. The last one has Done set, and carries the usage
// and the engine's load.
type Chunk struct {
	// Offset is the byte offset of Text in the answer.
	Offset int           `json:"offset"`
	Text   string        `json:"text,omitempty"`
	Done   bool          `json:"done,omitempty"`
	Usage  api.Usage     `json:"usage"`
	Load   schedule.Load `json:"load"`
	// ResidentTokens is the number of tokens of the program's prefix that stay
	// in the engine's cache.
	ResidentTokens int    `json:"resident,omitempty"`
	Error          string `json:"error,omitempty"`
}

// Prefix is an entry of an engine's list of cached prefixes.
type Prefix struct {
	Owner  api.ProgramID `json:"owner"`
	Tokens int           `json:"tokens"`
	// IdleFor is the time since the prefix was last used.
	IdleFor time.Duration `json:"idle_for"`
}

// CacheEvent reports that an engine added or evicted a prefix. Events are
// delayed. Sequence increases by one per event; a larger step means that events
// are missing.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Owner    api.ProgramID `json:"owner"`
	Tokens   int           `json:"tokens"`
	Evicted  bool          `json:"evicted"`
}

// Order tells an engine to load or unload a model ("name", "name@version" or
// "name@version+adapter"), or to change its role. Fence is a fencing token that
// increases with each order; an engine refuses an order with a lower Fence than
// the highest one it has received.
type Order struct {
	Fence  uint64 `json:"fence"`
	Load   string `json:"load,omitempty"`
	Unload string `json:"unload,omitempty"`
	// Role changes the engine's role: "balanced", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// Client sends requests to one engine.
type Client interface {
	// Generate calls receive for each chunk up to the last. It returns a
	// *NotSentError if the request certainly had no effect at the engine.
	Generate(ctx context.Context, request GenerateRequest, receive func(Chunk) error) error
	Cancel(ctx context.Context, stream string) error
	Release(ctx context.Context, owner api.ProgramID) error
	Prefixes(ctx context.Context) ([]Prefix, error)
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Load(ctx context.Context) (schedule.Load, error)
	Order(ctx context.Context, order Order) error
	// Import makes the engine fetch a program's KV cache from another engine.
	Import(ctx context.Context, owner api.ProgramID, from string) error
}

// Dialer returns clients of back ends.
type Dialer interface {
	Engine(backend machine.Machine) Client
}

// NotSentError means that the request certainly had no effect at the back end:
// it was not sent, or the back end refused it.
type NotSentError struct{ Cause error }

// Error implements the error interface.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
