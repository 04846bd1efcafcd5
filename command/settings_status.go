package command

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

func newSettingsStatusCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which nodes hold which revision, and which are behind",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var status operator.SettingsStatus
			if err := client.get(command.Context(), "/settings/status", &status); err != nil {
				return err
			}
			return client.print(status, func(writer io.Writer) {
				row(writer, "this node is", string(status.Freshness.State)+": "+status.Freshness.Reason)
				row(writer, "NODE", "REVISION", "BEHIND", "HEARD")
				for _, node := range status.Nodes {
					row(writer, node.Node, node.Revision, yesNo(node.Behind), node.HeardAgo.Round(time.Millisecond).String()+" ago")
				}
			})
		},
	}
}

// yesNo writes a truth value for people.
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
