package command

import (
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/command/edgecommand"
)

// subcommands returns the subcommands of birchwood.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newDevCommand(),
		newServeCommand(),
		edgecommand.New(),
		newExplainCommand(),
		newQuarantineCommand(),
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
