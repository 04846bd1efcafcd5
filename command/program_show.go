package command

import (
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
)

func newProgramShowCommand(flags *operatorFlags) *cobra.Command {
	return verb[api.Program]{
		use:       "show ID",
		short:     "Show one program",
		arguments: cobra.ExactArgs(1),
		ask: getting[api.Program](func(arguments []string) string {
			return "/programs/" + url.PathEscape(arguments[0])
		}),
		text: printProgram,
	}.command(flags)
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
