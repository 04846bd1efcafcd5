package upstream

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

// ErrCancelled says that the exchange was ended from this side.
var ErrCancelled = errors.New("the exchange was cancelled")

// NotSentError says that certainly nothing of the request reached a replica.
// The request may be sent to another one.
type NotSentError struct{ Cause error }

// Error describes the failure.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnknownError says that the request was sent, at least in part, and that it
// may have run.
type UnknownError struct {
	// Stage tells what failed, such as "read answer".
	Stage string
	Cause error
}

// Error describes the failure.
func (e *UnknownError) Error() string { return fmt.Sprintf("may have run: %s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NotSent reports whether the error says that nothing was sent.
func NotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}
