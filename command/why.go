package command

import (
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/gateway"
)

// newWhyCommand returns the subcommand that explains a refusal.
func newWhyCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := operatorCommand[gateway.Refusal]{
		use:       "why ID",
		short:     "Say why a request was refused, from the id in its error",
		arguments: cobra.ExactArgs(1),
		fetch: fetchPath[gateway.Refusal](func(arguments []string) string {
			return "/why/" + url.PathEscape(arguments[0])
		}),
		printText: printRefusal,
	}.command(flags)
	flags.register(command)
	return command
}

func printRefusal(writer io.Writer, refusal gateway.Refusal) {
	printRow(writer, "at", refusal.At.Format(time.RFC3339Nano))
	printRow(writer, "operation", orDash(string(refusal.Operation)))
	printRow(writer, "branch", refusal.Branch.String())
	printRow(writer, "program", orDash(string(refusal.Program)))
	printRow(writer, "attempts", refusal.Attempts)
	printRow(writer, "code", refusal.Error.Code)
	printRow(writer, "message", refusal.Error.Message)
	printRow(writer, "ran", refusal.Error.Ran)
	printRow(writer, "retry", yesNo(refusal.Error.Retry))
	printRow(writer, "place", orDash(refusal.Error.Location))
	for _, finding := range refusal.Error.Findings {
		printRow(writer, "finding", finding.Location+": "+finding.Message)
	}
}
