package command

import (
	"context"
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
)

// newPartitionCommand returns the subcommands for partitions.
func newPartitionCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{Use: "partition", Short: "See partitions, and let a stalled recovery go on"}
	flags.register(command)
	command.AddCommand(newPartitionListCommand(flags), newAcceptLossCommand(flags))
	return command
}

func newPartitionListCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[[]control.PartitionStatus]{
		use:       "list",
		short:     "List the partitions that the asked node owns or is taking over",
		arguments: cobra.NoArgs,
		fetch:     fetchPath[[]control.PartitionStatus](constantPath("/partitions")),
		printText: func(writer io.Writer, owned []control.PartitionStatus) {
			printRow(writer, "PARTITION", "STATE", "EPOCH", "PROGRAMS", "RUNNING", "UNCONFIRMED", "WAITS FOR MIRRORS")
			for _, status := range owned {
				printRow(writer, status.Partition, status.State, status.Epoch, status.Programs, status.Running,
					status.Unconfirmed, stallText(status.Stall))
			}
		},
	}.command(flags)
}

// stallText lists the mirrors that a stalled recovery waits for, and since when.
func stallText(stall *partition.Stall) string {
	if stall == nil {
		return "-"
	}
	text := ""
	for _, mirror := range stall.Silent {
		text += string(mirror) + " silent, "
	}
	for _, mirror := range stall.Restarted {
		text += string(mirror) + " restarted, "
	}
	return text + "since " + stall.Since.Format("15:04:05")
}

// acceptLossResponse is the answer to a request to accept the loss of records.
type acceptLossResponse struct {
	Accepted partition.ID `json:"accepted"`
}

func newAcceptLossCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[acceptLossResponse]{
		use:   "accept-loss PARTITION",
		short: "Let a stalled recovery go on without the mirrors that have lost what they held",
		long: "Let a stalled recovery of the asked node go on. Records that only the missing mirrors held, " +
			"which were confirmed while the log service was down, are lost; the log notes that this was accepted.",
		arguments: cobra.ExactArgs(1),
		fetch: func(ctx context.Context, client *operatorClient, arguments []string) (answer acceptLossResponse, err error) {
			err = client.post(ctx, "/partitions/"+url.PathEscape(arguments[0])+"/accept-loss", nil, &answer)
			return answer, err
		},
		printText: func(writer io.Writer, answer acceptLossResponse) { printRow(writer, "accepted", answer.Accepted) },
	}.command(flags)
}
