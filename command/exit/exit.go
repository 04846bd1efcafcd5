// Package exit names the exit codes of birchwood's programs, which docs/CLI.md
// lists, and carries them in errors.
package exit

import (
	"errors"
	"fmt"
	"io"
)

// The exit codes.
const (
	OK = 0
	// Failure: the command ran and the answer is a failure, such as a finding, a
	// refused change or an unanswered call.
	Failure = 1
	// Usage: the arguments, flags or a settings file are wrong.
	Usage = 2
	// Unreachable: the node could not be reached.
	Unreachable = 3
)

// Error carries the exit code of a command that failed.
type Error struct {
	Code  int
	Cause error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Report writes the error of a program, if any, and returns its exit code.
func Report(to io.Writer, program string, err error) int {
	if err == nil {
		return OK
	}
	_, _ = fmt.Fprintf(to, "%s: %v\n", program, err)
	var exit *Error
	if errors.As(err, &exit) {
		return exit.Code
	}
	return Usage
}
