package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the birchwood command. docs/CLI.md lists them.
const (
	ExitOK = 0
	// ExitFailure: the command ran and the answer is a failure, such as a
	// finding, a refused change or an unanswered call.
	ExitFailure = 1
	// ExitUsage: the arguments, flags or a settings file are wrong.
	ExitUsage = 2
	// ExitUnreachable: the node could not be reached.
	ExitUnreachable = 3
)

// ExitError carries the exit code of a command that failed.
type ExitError struct {
	Code  int
	Cause error
}

// Error describes the failure.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// Root returns the birchwood command with every verb.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "birchwood",
		Short:         "Schedule agent programs over engines in permitted zones",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(verbs()...)
	return root
}

// Execute runs the command line and returns the exit code.
func Execute() int {
	err := Root().Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "birchwood:", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitUsage
}
