// Package tool defines the client interface of tool services: run one request
// under a key, and look up the result of a key. Package toolhttp implements it
// over HTTP.
package tool

import (
	"context"

	"birchwood.example/birchwood/machine"
)

// Request is a request to run a tool once.
type Request struct {
	// Key identifies the request in Lookup.
	Key   string `json:"key"`
	Tool  string `json:"tool"`
	Input string `json:"input"`
}

// Client sends requests to one tool service.
type Client interface {
	// Run runs the tool and returns its output. The error is an
	// *engine.NotSentError if the request did not reach the service, and a
	// *FailedError if the service reported that the run failed. With any other
	// error the outcome is unknown.
	Run(ctx context.Context, request Request) (output string, err error)
	// Lookup reports whether the service has run the request with the key, and
	// returns its output.
	Lookup(ctx context.Context, key string) (output string, found bool, err error)
}

// Dialer returns clients of tool services.
type Dialer interface {
	Tool(backend machine.Machine) Client
}

// FailedError means that the service reported that the run failed and had no
// effect.
type FailedError struct{ Message string }

// Error implements the error interface.
func (e *FailedError) Error() string { return "tool failed: " + e.Message }
