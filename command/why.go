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
	command := &cobra.Command{
		Use:   "why ID",
		Short: "Say why a request was refused, from the id in its error",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var refusal gateway.Refusal
			if err := client.get(command.Context(), "/why/"+url.PathEscape(arguments[0]), &refusal); err != nil {
				return err
			}
			return client.print(refusal, func(writer io.Writer) { printRefusal(writer, refusal) })
		},
	}
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
