package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

func newSettingsGetCommand(flags *operatorFlags) *cobra.Command {
	return verb[operator.Settings]{
		use:       "get [PATH]",
		short:     "Show the effective settings of a branch and the branches below it",
		arguments: cobra.MaximumNArgs(1),
		ask: getting[operator.Settings](func(arguments []string) string {
			return "/settings?" + pathQuery(arguments).Encode()
		}),
		text: func(writer io.Writer, settings operator.Settings) {
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
		},
	}.command(flags)
}
