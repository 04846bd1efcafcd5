// Package engine is the client's view of a model engine: generate, cancel,
// release, cache events, load and fenced orders. The HTTP adapter is
// package enginehttp, and the stand-in engine is in package emulator/standin.
package engine

import (
	"context"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// GenerateRequest asks for one answer. The engine names the stream by Stream:
// the same name asked again resumes the same stream.
type GenerateRequest struct {
	// Stream is "<program>/<sequence>/<attempt>".
	Stream string `json:"stream"`
	// Owner is the program whose prefix the engine keeps for the next turn.
	Owner    api.ProgramID `json:"owner"`
	Model    string        `json:"model"`
	Prompt   string        `json:"prompt"`
	Priority int           `json:"priority"`
	// MaxOutputTokens is where the engine cuts the answer.
	MaxOutputTokens int `json:"max_output_tokens"`
	// ResumeFrom is the byte offset of the answer to start at.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Chunk is a part of an answer. The last one has Done set, with the usage and
// the engine's load.
type Chunk struct {
	// Offset is the byte offset of Text in the answer.
	Offset int           `json:"offset"`
	Text   string        `json:"text,omitempty"`
	Done   bool          `json:"done,omitempty"`
	Usage  api.Usage     `json:"usage"`
	Load   schedule.Load `json:"load"`
	// Resident is how many tokens of the program's prefix stay cached.
	Resident int    `json:"resident,omitempty"`
	Error    string `json:"error,omitempty"`
}

// Prefix is one cached prefix as an engine lists it.
type Prefix struct {
	Owner  api.ProgramID `json:"owner"`
	Tokens int           `json:"tokens"`
	// IdleFor is how long nothing has used it.
	IdleFor time.Duration `json:"idle_for"`
}

// CacheEvent says that an engine added or evicted a prefix. Events come late;
// a step in Sequence of more than one is a gap.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Owner    api.ProgramID `json:"owner"`
	Tokens   int           `json:"tokens"`
	Evicted  bool          `json:"evicted"`
}

// Order tells an engine to load or unload a model ("name", "name@version" or
// "name@version+adapter"), or to change its role. Fence grows with each
// order's issuer; an engine refuses an order whose fence is lower than the
// highest it has seen.
type Order struct {
	Fence  uint64 `json:"fence"`
	Load   string `json:"load,omitempty"`
	Unload string `json:"unload,omitempty"`
	// Role changes the engine's role: "balanced", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// Client talks to one engine.
type Client interface {
	// Generate calls receive for each chunk until the last. It returns a
	// *NotSentError when nothing reached the engine.
	Generate(ctx context.Context, request GenerateRequest, receive func(Chunk) error) error
	Cancel(ctx context.Context, stream string) error
	Release(ctx context.Context, owner api.ProgramID) error
	Prefixes(ctx context.Context) ([]Prefix, error)
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Load(ctx context.Context) (schedule.Load, error)
	Order(ctx context.Context, order Order) error
	// Import asks the engine to fetch a program's KV cache from another.
	Import(ctx context.Context, owner api.ProgramID, from string) error
}

// Dialer returns the client of a back end.
type Dialer interface {
	Engine(backend machine.Machine) Client
}

// NotSentError says that the request certainly never reached the back end.
type NotSentError struct{ Cause error }

// Error describes the failure.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
