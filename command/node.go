package command

import (
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

// newNodeCommand returns the verbs on nodes.
func newNodeCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{Use: "node", Short: "See and drain nodes"}
	flags.register(command)
	command.AddCommand(newNodeListCommand(flags), newDrainCommand(flags, "nodes",
		"Begin the planned stop of a node: it hands its programs over and ends without cutting a request"))
	return command
}

func newNodeListCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the nodes that the asked node knows",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var nodes []operator.NodeState
			if err := client.get(command.Context(), "/nodes", &nodes); err != nil {
				return err
			}
			return client.print(nodes, func(writer io.Writer) {
				row(writer, "ID", "ZONE", "ADDRESS", "STATUS", "OWNS")
				for _, node := range nodes {
					row(writer, node.ID, node.Zone, node.Address, node.Status, orUnknown(node.OwnedPartitions))
				}
			})
		},
	}
}

// orUnknown shows what a node owns; only the asked node tells it.
func orUnknown(partitions int) any {
	if partitions == 0 {
		return "-"
	}
	return partitions
}

// newDrainCommand returns the verb that takes a machine out of use.
func newDrainCommand(flags *operatorFlags, kind, short string) *cobra.Command {
	return &cobra.Command{
		Use:   "drain ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var answer struct {
				Draining string `json:"draining"`
			}
			if err := client.post(command.Context(), "/"+kind+"/"+url.PathEscape(arguments[0])+"/drain", nil, &answer); err != nil {
				return err
			}
			return client.print(answer, func(writer io.Writer) { row(writer, "draining", answer.Draining) })
		},
	}
}
