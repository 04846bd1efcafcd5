package command

import (
	"context"
	"net/url"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
)

// endRequest is the body of a request to end a program.
type endRequest struct {
	Reason string `json:"reason"`
}

func newProgramEndCommand(flags *operatorFlags) *cobra.Command {
	reason := endRequest{Reason: "ended by an operator"}
	command := operatorCommand[api.Program]{
		use:       "end ID [--reason TEXT]",
		short:     "End a program: its calls are cancelled and its engine memory is released",
		arguments: cobra.ExactArgs(1),
		fetch: func(ctx context.Context, client *operatorClient, arguments []string) (program api.Program, err error) {
			err = client.post(ctx, "/programs/"+url.PathEscape(arguments[0])+"/end", reason, &program)
			return program, err
		},
		printText: printProgram,
	}.command(flags)
	command.Flags().StringVar(&reason.Reason, "reason", reason.Reason, "why, for the program's history")
	return command
}
