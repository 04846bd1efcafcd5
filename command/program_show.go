package command

import (
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
)

func newProgramShowCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show one program",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var program api.Program
			if err := client.get(command.Context(), "/programs/"+url.PathEscape(arguments[0]), &program); err != nil {
				return err
			}
			return client.print(program, func(writer io.Writer) { printProgram(writer, program) })
		},
	}
}

func printProgram(writer io.Writer, program api.Program) {
	row(writer, "id", program.ID)
	row(writer, "branch", program.Branch)
	row(writer, "key", program.Key)
	if program.Parent != "" {
		row(writer, "parent", program.Parent)
	}
	row(writer, "state", stateOf(program))
	row(writer, "calls", program.Calls)
	row(writer, "budget tokens", program.BudgetTokens)
	row(writer, "spent tokens", program.SpentTokens)
	row(writer, "reserved tokens", program.ReservedTokens)
	row(writer, "created", program.CreatedAt.Format(time.RFC3339))
}
