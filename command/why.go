package command

import (
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/gateway"
)

// newWhyCommand returns the verb that explains a refusal.
func newWhyCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := verb[gateway.Refusal]{
		use:       "why ID",
		short:     "Say why a request was refused, from the id in its error",
		arguments: cobra.ExactArgs(1),
		ask: getting[gateway.Refusal](func(arguments []string) string {
			return "/why/" + url.PathEscape(arguments[0])
		}),
		text: printRefusal,
	}.command(flags)
	flags.register(command)
	return command
}

func printRefusal(writer io.Writer, refusal gateway.Refusal) {
	row(writer, "at", refusal.At.Format(time.RFC3339Nano))
	row(writer, "operation", orDash(string(refusal.Operation)))
	row(writer, "branch", refusal.Branch.String())
	row(writer, "program", orDash(string(refusal.Program)))
	row(writer, "attempts", refusal.Attempts)
	row(writer, "code", refusal.Error.Code)
	row(writer, "message", refusal.Error.Message)
	row(writer, "ran", refusal.Error.Ran)
	row(writer, "retry", yesNo(refusal.Error.Retry))
	row(writer, "place", orDash(refusal.Error.Place))
	for _, finding := range refusal.Error.Findings {
		row(writer, "finding", finding.Place+": "+finding.Message)
	}
}
