package command

import (
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
)

func newProgramEndCommand(flags *operatorFlags) *cobra.Command {
	reason := "ended by an operator"
	command := &cobra.Command{
		Use:   "end ID [--reason TEXT]",
		Short: "End a program: its calls are cancelled and its engine memory is released",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var program api.Program
			body := struct {
				Reason string `json:"reason"`
			}{reason}
			if err := client.post(command.Context(), "/programs/"+url.PathEscape(arguments[0])+"/end", body, &program); err != nil {
				return err
			}
			return client.print(program, func(writer io.Writer) { printProgram(writer, program) })
		},
	}
	command.Flags().StringVar(&reason, "reason", reason, "why, for the program's history")
	return command
}
