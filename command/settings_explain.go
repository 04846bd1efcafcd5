package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

func newSettingsExplainCommand(flags *operatorFlags) *cobra.Command {
	return verb[[]contract.Explanation]{
		use:       "explain [PATH]",
		short:     "Show which branch each value of a branch comes from",
		arguments: cobra.MaximumNArgs(1),
		ask: getting[[]contract.Explanation](func(arguments []string) string {
			return "/settings/explain?" + pathQuery(arguments).Encode()
		}),
		text: func(writer io.Writer, values []contract.Explanation) {
			row(writer, "NAME", "VALUE", "FROM", "REVISION")
			for _, value := range values {
				row(writer, value.Name, string(value.Value), originOf(value), value.Revision)
			}
		},
	}.command(flags)
}
