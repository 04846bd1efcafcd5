package command

import (
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

// newSettingsCommand returns the subcommands for the settings tree.
func newSettingsCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{
		Use:   "settings",
		Short: "Read and change the tree of settings",
		Long: "Reads and changes the tree of settings. A PATH names a branch, such as\n" +
			"koudeketting/triage; / is the root. Without one, the branch of the token is meant.",
	}
	flags.register(command)
	command.AddCommand(
		newSettingsGetCommand(flags),
		newSettingsSetCommand(flags),
		newSettingsExplainCommand(flags),
		newSettingsHistoryCommand(flags),
		newSettingsDiffCommand(flags),
		newSettingsStatusCommand(flags),
	)
	return command
}

// pathQuery returns a URL query with the branch that the first argument names,
// or an empty one without arguments.
func pathQuery(arguments []string) url.Values {
	query := url.Values{}
	if len(arguments) > 0 {
		query.Set("path", strings.Trim(arguments[0], "/"))
	}
	return query
}

// originText returns the branch that a value comes from, with the branches that
// narrowed it, or "default".
func originText(value contract.Explanation) string {
	switch {
	case value.Default:
		return "default"
	case len(value.NarrowedBy) > 0:
		narrowed := make([]string, len(value.NarrowedBy))
		for i, path := range value.NarrowedBy {
			narrowed[i] = path.String()
		}
		return value.From.String() + ", narrowed by " + strings.Join(narrowed, ", ")
	default:
		return value.From.String()
	}
}
