package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

func newSettingsExplainCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[[]contract.Explanation]{
		use:       "explain [PATH]",
		short:     "Show which branch each value of a branch comes from",
		arguments: cobra.MaximumNArgs(1),
		fetch: fetchPath[[]contract.Explanation](func(arguments []string) string {
			return "/settings/explain?" + pathQuery(arguments).Encode()
		}),
		printText: func(writer io.Writer, values []contract.Explanation) {
			printRow(writer, "NAME", "VALUE", "FROM", "REVISION")
			for _, value := range values {
				printRow(writer, value.Name, string(value.Value), originText(value), value.Revision)
			}
		},
	}.command(flags)
}
