package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// verb describes a verb that asks a node for one value and prints it.
type verb[T any] struct {
	use       string
	short     string
	long      string
	arguments cobra.PositionalArgs
	// ask gets the value.
	ask func(ctx context.Context, client *operatorClient, arguments []string) (T, error)
	// text writes the value for people.
	text func(writer io.Writer, value T)
}

// command returns the verb as a command.
func (v verb[T]) command(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   v.use,
		Short: v.short,
		Long:  v.long,
		Args:  v.arguments,
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			value, err := v.ask(command.Context(), client, arguments)
			if err != nil {
				return err
			}
			return client.print(value, func(writer io.Writer) { v.text(writer, value) })
		},
	}
}

// getting returns an ask that gets the path of the arguments.
func getting[T any](path func(arguments []string) string) func(context.Context, *operatorClient, []string) (T, error) {
	return func(ctx context.Context, client *operatorClient, arguments []string) (value T, err error) {
		err = client.get(ctx, path(arguments), &value)
		return value, err
	}
}

// fixed returns the same path for all arguments.
func fixed(path string) func([]string) string {
	return func([]string) string { return path }
}
