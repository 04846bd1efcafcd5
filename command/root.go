package command

import (
	"os"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/command/exit"
)

// The exit codes of the birchwood command.
const (
	ExitOK          = exit.OK
	ExitFailure     = exit.Failure
	ExitUsage       = exit.Usage
	ExitUnreachable = exit.Unreachable
)

// ExitError carries the exit code of a command that failed.
type ExitError = exit.Error

// Root returns the birchwood command with all subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "birchwood",
		Short:         "Schedule agent programs over engines in permitted zones",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(subcommands()...)
	return root
}

// Execute runs the command line and returns the exit code.
func Execute() int { return exit.Report(os.Stderr, "birchwood", Root().Execute()) }
