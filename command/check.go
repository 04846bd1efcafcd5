package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and list everything that is wrong with it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			findings := config.Check(arguments[0])
			if len(findings) > 0 {
				return reportFindings(command, findings)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no findings\n", arguments[0])
			return nil
		},
	}
}

// reportFindings prints every finding with its place and fails the command.
func reportFindings(command *cobra.Command, findings []config.Finding) error {
	for _, finding := range findings {
		fmt.Fprintln(command.ErrOrStderr(), finding)
	}
	return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("%d findings", len(findings))}
}
