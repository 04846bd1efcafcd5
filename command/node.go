package command

import (
	"context"
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/operator"
)

// newNodeCommand returns the subcommands for nodes.
func newNodeCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{Use: "node", Short: "See and drain nodes"}
	flags.register(command)
	command.AddCommand(newNodeListCommand(flags), newDrainCommand(flags, "nodes",
		"Begin the planned stop of a node: it hands its programs over and ends without cutting a request"))
	return command
}

func newNodeListCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[[]operator.NodeState]{
		use:       "list",
		short:     "List the nodes that the asked node knows",
		arguments: cobra.NoArgs,
		fetch:     fetchPath[[]operator.NodeState](constantPath("/nodes")),
		printText: func(writer io.Writer, nodes []operator.NodeState) {
			printRow(writer, "ID", "ZONE", "ADDRESS", "STATUS", "OWNS")
			for _, node := range nodes {
				printRow(writer, node.ID, node.Zone, node.Address, node.Status, ownedPartitionsText(node.OwnedPartitions))
			}
		},
	}.command(flags)
}

// ownedPartitionsText returns the number of partitions a node owns, or "-" for 0:
// the queried node knows the number only for itself.
func ownedPartitionsText(partitions int) any {
	if partitions == 0 {
		return "-"
	}
	return partitions
}

// drainResponse is the answer to a request to drain a node or a back end.
type drainResponse struct {
	Draining string `json:"draining"`
}

// newDrainCommand returns the subcommand that drains a node or a back end. Kind
// is the segment of the path: "nodes" or "backends".
func newDrainCommand(flags *operatorFlags, kind, short string) *cobra.Command {
	return operatorCommand[drainResponse]{
		use:       "drain ID",
		short:     short,
		arguments: cobra.ExactArgs(1),
		fetch: func(ctx context.Context, client *operatorClient, arguments []string) (answer drainResponse, err error) {
			err = client.post(ctx, "/"+kind+"/"+url.PathEscape(arguments[0])+"/drain", nil, &answer)
			return answer, err
		},
		printText: func(writer io.Writer, answer drainResponse) { printRow(writer, "draining", answer.Draining) },
	}.command(flags)
}
