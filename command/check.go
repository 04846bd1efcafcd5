package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/platform"
)

func newCheckCommand() *cobra.Command {
	onPlatform := false
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and list everything that is wrong with it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if onPlatform {
				return checkPlatform(command, arguments[0])
			}
			findings := config.Check(arguments[0])
			if len(findings) > 0 {
				return reportFindings(command, findings)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no findings\n", arguments[0])
			return nil
		},
	}
	command.Flags().BoolVar(&onPlatform, "platform", false, "the file is one of the users' platform, for the verb edge")
	return command
}

// checkPlatform validates a settings file of a node on the users' platform.
func checkPlatform(command *cobra.Command, path string) error {
	if _, err := platform.LoadSettings(path); err != nil {
		fmt.Fprintln(command.ErrOrStderr(), err)
		return &ExitError{Code: ExitUsage, Cause: errors.New("invalid settings file")}
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: no findings\n", path)
	return nil
}

// reportFindings prints all findings and returns the error of the command.
func reportFindings(command *cobra.Command, findings []config.Finding) error {
	for _, finding := range findings {
		fmt.Fprintln(command.ErrOrStderr(), finding)
	}
	return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("%d findings", len(findings))}
}
