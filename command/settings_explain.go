package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

func newSettingsExplainCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "explain [PATH]",
		Short: "Show which branch each value of a branch comes from",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var values []contract.Explanation
			if err := client.get(command.Context(), "/settings/explain?"+pathQuery(arguments).Encode(), &values); err != nil {
				return err
			}
			return client.print(values, func(writer io.Writer) {
				row(writer, "NAME", "VALUE", "FROM", "REVISION")
				for _, value := range values {
					row(writer, value.Name, string(value.Value), originOf(value), value.Revision)
				}
			})
		},
	}
}
