package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// operatorCommand is a subcommand that requests one value from a node and prints
// it.
type operatorCommand[T any] struct {
	use       string
	short     string
	long      string
	arguments cobra.PositionalArgs
	// fetch requests the value.
	fetch func(ctx context.Context, client *operatorClient, arguments []string) (T, error)
	// printText writes the value as text.
	printText func(writer io.Writer, value T)
}

// command returns the cobra command.
func (v operatorCommand[T]) command(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   v.use,
		Short: v.short,
		Long:  v.long,
		Args:  v.arguments,
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.newClient(command)
			if err != nil {
				return err
			}
			value, err := v.fetch(command.Context(), client, arguments)
			if err != nil {
				return err
			}
			return client.print(value, func(writer io.Writer) { v.printText(writer, value) })
		},
	}
}

// fetchPath returns a fetch function that sends a GET request to the path for the
// arguments.
func fetchPath[T any](path func(arguments []string) string) func(context.Context, *operatorClient, []string) (T, error) {
	return func(ctx context.Context, client *operatorClient, arguments []string) (value T, err error) {
		err = client.get(ctx, path(arguments), &value)
		return value, err
	}
}

// constantPath returns a function that returns the path whatever its arguments
// are.
func constantPath(path string) func([]string) string {
	return func([]string) string { return path }
}
