package upstream

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

// ErrCancelled means that this process ended the exchange, because its deadline
// passed before a connection was opened.
var ErrCancelled = errors.New("the exchange was cancelled")

// NotSentError means that no part of the request reached a replica. The request
// may be sent to another replica.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

func (e *NotSentError) Unwrap() error { return e.Cause }

// UnknownError means that the request was sent, at least in part, and may have
// run.
type UnknownError struct {
	// Stage is the step that failed, such as "read answer".
	Stage string
	Cause error
}

func (e *UnknownError) Error() string { return fmt.Sprintf("may have run: %s: %v", e.Stage, e.Cause) }

func (e *UnknownError) Unwrap() error { return e.Cause }

// NotSent reports whether err is or wraps a NotSentError.
func NotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}
