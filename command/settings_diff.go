package command

import (
	"io"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

func newSettingsDiffCommand(flags *operatorFlags) *cobra.Command {
	var from, to string
	command := operatorCommand[[]contract.Difference]{
		use:       "diff [PATH] [--from REVISION] [--to REVISION]",
		short:     "Show how a branch's settings differ between two revisions",
		arguments: cobra.MaximumNArgs(1),
		fetch: fetchPath[[]contract.Difference](func(arguments []string) string {
			query := pathQuery(arguments)
			query.Set("from", from)
			query.Set("to", to)
			return "/settings/diff?" + query.Encode()
		}),
		printText: func(writer io.Writer, differences []contract.Difference) {
			printRow(writer, "NAME", "BEFORE", "AFTER", "FROM")
			printDifferences(writer, differences)
		},
	}.command(flags)
	command.Flags().StringVar(&from, "from", "", "the older revision; left out, the one before --to")
	command.Flags().StringVar(&to, "to", "", "the newer revision; left out, the newest")
	return command
}

// printDifferences writes one row per changed value.
func printDifferences(writer io.Writer, differences []contract.Difference) {
	for _, difference := range differences {
		printRow(writer, difference.Name, orDash(string(difference.Before)), orDash(string(difference.After)), difference.From)
	}
}

// orDash returns the text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
