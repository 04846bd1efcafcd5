package command

import (
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/command/edgecommand"
)

// subcommands returns the commands in the order of the help page.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newDevCommand(),
		newServeCommand(),
		edgecommand.New(),
		newExplainCommand(),
		newStandinCommand(),
		newCheckCommand(),
		newLoadCommand(),
		newBenchCommand(),
		newVerifyCommand(),
		newFuzzCommand(),
		newSoakCommand(),
		newSettingsCommand(),
		newProgramCommand(),
		newNodeCommand(),
		newBackendCommand(),
		newPartitionCommand(),
		newWhyCommand(),
		newVersionCommand(),
	}
}
