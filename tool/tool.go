// Package tool is the client's view of a tool service: run one request under
// a key, and look a key up. The HTTP adapter is package toolhttp.
package tool

import (
	"context"

	"birchwood.example/birchwood/machine"
)

// Request is one run of a tool.
type Request struct {
	// Key identifies the request at the service, for Lookup.
	Key   string `json:"key"`
	Tool  string `json:"tool"`
	Input string `json:"input"`
}

// Client talks to one tool service.
type Client interface {
	// Run returns the output. The error is a *engine.NotSentError when
	// nothing reached the service, a *FailedError when the service answered
	// that it failed, and any other when the outcome is unknown.
	Run(ctx context.Context, request Request) (output string, err error)
	// Lookup asks whether the service has run the key, and for its output.
	Lookup(ctx context.Context, key string) (output string, found bool, err error)
}

// Dialer returns the client of a tool service.
type Dialer interface {
	Tool(backend machine.Machine) Client
}

// FailedError is the service's own word that the run failed, without effect.
type FailedError struct{ Message string }

// Error describes the failure.
func (e *FailedError) Error() string { return "tool failed: " + e.Message }
