package command

import "github.com/spf13/cobra"

// newProgramCommand returns the subcommands for programs.
func newProgramCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{
		Use:   "program",
		Short: "See and end programs, on whichever node they are",
	}
	flags.register(command)
	command.AddCommand(
		newProgramListCommand(flags),
		newProgramShowCommand(flags),
		newProgramTraceCommand(flags),
		newProgramEndCommand(flags),
	)
	return command
}
