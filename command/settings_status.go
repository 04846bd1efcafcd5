package command

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

func newSettingsStatusCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[operator.SettingsStatus]{
		use:       "status",
		short:     "Show which nodes hold which revision, and which are behind",
		arguments: cobra.NoArgs,
		fetch:     fetchPath[operator.SettingsStatus](constantPath("/settings/status")),
		printText: func(writer io.Writer, status operator.SettingsStatus) {
			printRow(writer, "this node is", string(status.Freshness.State)+": "+status.Freshness.Reason)
			printRow(writer, "NODE", "REVISION", "BEHIND", "HEARD")
			for _, node := range status.Nodes {
				printRow(writer, node.Node, node.Revision, yesNo(node.Behind), node.ReportAge.Round(time.Millisecond).String()+" ago")
			}
		},
	}.command(flags)
}

// yesNo returns "yes" or "no".
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
