package command

import (
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
)

// newPartitionCommand returns the verbs on partitions.
func newPartitionCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{Use: "partition", Short: "See partitions, and let a stalled recovery go on"}
	flags.register(command)
	command.AddCommand(newPartitionListCommand(flags), newAcceptLossCommand(flags))
	return command
}

func newPartitionListCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the partitions that the asked node owns or is taking over",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var owned []control.PartitionStatus
			if err := client.get(command.Context(), "/partitions", &owned); err != nil {
				return err
			}
			return client.print(owned, func(writer io.Writer) {
				row(writer, "PARTITION", "STATE", "EPOCH", "PROGRAMS", "RUNNING", "UNCONFIRMED", "WAITS FOR MIRRORS")
				for _, status := range owned {
					row(writer, status.Partition, status.State, status.Epoch, status.Programs, status.Running,
						status.Unconfirmed, waitsFor(status.Stall))
				}
			})
		},
	}
}

// waitsFor tells which mirrors a stalled recovery waits for.
func waitsFor(stall *partition.Stall) string {
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

func newAcceptLossCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "accept-loss PARTITION",
		Short: "Let a stalled recovery go on without the mirrors that have lost what they held",
		Long: "Let a stalled recovery of the asked node go on. Records that only the missing mirrors held, " +
			"which were confirmed while the log service was down, are lost; the log notes that this was accepted.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var answer struct {
				Accepted partition.ID `json:"accepted"`
			}
			if err := client.post(command.Context(), "/partitions/"+url.PathEscape(arguments[0])+"/accept-loss", nil, &answer); err != nil {
				return err
			}
			return client.print(answer, func(writer io.Writer) { row(writer, "accepted", answer.Accepted) })
		},
	}
}
