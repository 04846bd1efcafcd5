package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// operatorCommand describes a operatorCommand that asks a node for one value and prints it.
type operatorCommand[T any] struct {
	use       string
	short     string
	long      string
	arguments cobra.PositionalArgs
	// fetch gets the value.
	fetch func(ctx context.Context, client *operatorClient, arguments []string) (T, error)
	// printText writes the value for people.
	printText func(writer io.Writer, value T)
}

// command returns the verb as a command.
func (v operatorCommand[T]) command(flags *operatorFlags) *cobra.Command {
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
			value, err := v.fetch(command.Context(), client, arguments)
			if err != nil {
				return err
			}
			return client.print(value, func(writer io.Writer) { v.printText(writer, value) })
		},
	}
}

// fetchPath returns an ask that gets the path of the arguments.
func fetchPath[T any](path func(arguments []string) string) func(context.Context, *operatorClient, []string) (T, error) {
	return func(ctx context.Context, client *operatorClient, arguments []string) (value T, err error) {
		err = client.get(ctx, path(arguments), &value)
		return value, err
	}
}

// constantPath returns the same path for all arguments.
func constantPath(path string) func([]string) string {
	return func([]string) string { return path }
}
