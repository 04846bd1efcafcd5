package command

import (
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
)

func newProgramShowCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[api.Program]{
		use:       "show ID",
		short:     "Show one program",
		arguments: cobra.ExactArgs(1),
		fetch: fetchPath[api.Program](func(arguments []string) string {
			return "/programs/" + url.PathEscape(arguments[0])
		}),
		printText: printProgram,
	}.command(flags)
}

func printProgram(writer io.Writer, program api.Program) {
	printRow(writer, "id", program.ID)
	printRow(writer, "branch", program.Branch)
	printRow(writer, "key", program.Key)
	if program.Parent != "" {
		printRow(writer, "parent", program.Parent)
	}
	printRow(writer, "state", programState(program))
	printRow(writer, "calls", program.Calls)
	printRow(writer, "budget tokens", program.BudgetTokens)
	printRow(writer, "spent tokens", program.SpentTokens)
	printRow(writer, "reserved tokens", program.ReservedTokens)
	printRow(writer, "created", program.CreatedAt.Format(time.RFC3339))
}
