package command

import (
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

func newSettingsDiffCommand(flags *operatorFlags) *cobra.Command {
	var from, to uint64
	command := &cobra.Command{
		Use:   "diff [PATH] [--from REVISION] [--to REVISION]",
		Short: "Show how a branch's settings differ between two revisions",
		Long:  "Shows how a branch's settings differ between two revisions. Left out, --to is the\nnewest revision and --from the one before --to.",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			query := pathQuery(arguments)
			if command.Flags().Changed("from") {
				query.Set("from", strconv.FormatUint(from, 10))
			}
			if command.Flags().Changed("to") {
				query.Set("to", strconv.FormatUint(to, 10))
			}
			var differences []contract.Difference
			if err := client.get(command.Context(), "/settings/diff?"+query.Encode(), &differences); err != nil {
				return err
			}
			return client.print(differences, func(writer io.Writer) {
				row(writer, "NAME", "BEFORE", "AFTER", "FROM")
				printDifferences(writer, differences)
			})
		},
	}
	command.Flags().Uint64Var(&from, "from", 0, "the older revision")
	command.Flags().Uint64Var(&to, "to", 0, "the newer revision")
	return command
}

// printDifferences writes one line for each value.
func printDifferences(writer io.Writer, differences []contract.Difference) {
	for _, difference := range differences {
		row(writer, difference.Name, orDash(string(difference.Before)), orDash(string(difference.After)), difference.From)
	}
}

// orDash keeps an empty cell visible.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
