package command

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

func newSettingsStatusCommand(flags *operatorFlags) *cobra.Command {
	return verb[operator.SettingsStatus]{
		use:       "status",
		short:     "Show which nodes hold which revision, and which are behind",
		arguments: cobra.NoArgs,
		ask:       getting[operator.SettingsStatus](fixed("/settings/status")),
		text: func(writer io.Writer, status operator.SettingsStatus) {
			row(writer, "this node is", string(status.Freshness.State)+": "+status.Freshness.Reason)
			row(writer, "NODE", "REVISION", "BEHIND", "HEARD")
			for _, node := range status.Nodes {
				row(writer, node.Node, node.Revision, yesNo(node.Behind), node.HeardAgo.Round(time.Millisecond).String()+" ago")
			}
		},
	}.command(flags)
}

// yesNo writes a truth value for people.
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
