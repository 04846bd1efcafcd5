package command

import "github.com/spf13/cobra"

// verbs returns the commands in the order of the help page.
func verbs() []*cobra.Command {
	return []*cobra.Command{
		newDevCommand(),
		newServeCommand(),
		newEdgeCommand(),
		newExplainCommand(),
		newStandinCommand(),
		newCheckCommand(),
		newLoadCommand(),
		newBenchCommand(),
		newVerifyCommand(),
		newFuzzCommand(),
		newScaleCommand(),
		newSettingsCommand(),
		newProgramCommand(),
		newNodeCommand(),
		newBackendCommand(),
		newPartitionCommand(),
		newWhyCommand(),
		newVersionCommand(),
	}
}
