// Package exit defines the exit codes of birchwood's binaries, which
// docs/CLI.md lists, and an error type that carries one.
package exit

import (
	"errors"
	"fmt"
	"io"
)

// The exit codes.
const (
	OK = 0
	// Failure means that the command ran and its result is a failure, such as a
	// finding, a refused change or an unanswered call.
	Failure = 1
	// Usage means invalid arguments, flags or settings files.
	Usage = 2
	// Unreachable means that the node could not be reached.
	Unreachable = 3
)

// Error carries the exit code of a command that failed.
type Error struct {
	Code  int
	Cause error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Report writes the error, if any, prefixed by the program's name, and returns
// the exit code. An error without an exit code counts as wrong usage.
func Report(writer io.Writer, program string, err error) int {
	if err == nil {
		return OK
	}
	_, _ = fmt.Fprintf(writer, "%s: %v\n", program, err)
	var exit *Error
	if errors.As(err, &exit) {
		return exit.Code
	}
	return Usage
}
