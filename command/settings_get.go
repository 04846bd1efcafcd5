package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

func newSettingsGetCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "get [PATH]",
		Short: "Show the effective settings of a branch and the branches below it",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var settings operator.Settings
			if err := client.get(command.Context(), "/settings?"+pathQuery(arguments).Encode(), &settings); err != nil {
				return err
			}
			return client.print(settings, func(writer io.Writer) {
				row(writer, "branch", settings.Path)
				row(writer, "revision", settings.Revision)
				for _, value := range settings.Values {
					row(writer, value.Name, string(value.Value))
				}
				for _, branch := range settings.Branches {
					if branch != settings.Path {
						row(writer, "below", branch)
					}
				}
			})
		},
	}
}
