package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

func newSettingsGetCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[operator.Settings]{
		use:       "get [PATH]",
		short:     "Show the effective settings of a branch and the branches below it",
		arguments: cobra.MaximumNArgs(1),
		fetch: fetchPath[operator.Settings](func(arguments []string) string {
			return "/settings?" + pathQuery(arguments).Encode()
		}),
		printText: func(writer io.Writer, settings operator.Settings) {
			printRow(writer, "branch", settings.Path)
			printRow(writer, "revision", settings.Revision)
			for _, value := range settings.Values {
				printRow(writer, value.Name, string(value.Value))
			}
			for _, branch := range settings.Branches {
				if branch != settings.Path {
					printRow(writer, "below", branch)
				}
			}
		},
	}.command(flags)
}
