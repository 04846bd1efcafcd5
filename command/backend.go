package command

import (
	"io"
	"strings"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
)

// newBackendCommand returns the subcommands for back ends.
func newBackendCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{Use: "backend", Short: "See and drain back ends"}
	flags.register(command)
	command.AddCommand(newBackendListCommand(flags), newDrainCommand(flags, "backends",
		"Send no new work to a back end; what it runs goes on"))
	return command
}

func newBackendListCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[[]operator.BackendState]{
		use:       "list",
		short:     "List the back ends that the asked node knows",
		arguments: cobra.NoArgs,
		fetch:     fetchPath[[]operator.BackendState](constantPath("/backends")),
		printText: printBackends,
	}.command(flags)
}

func printBackends(writer io.Writer, backends []operator.BackendState) {
	printRow(writer, "ID", "KIND", "ZONE", "ADDRESS", "STATUS", "SERVES", "SLOTS", "CACHE TOKENS")
	for _, backend := range backends {
		serves := strings.Join(append(backend.Models, backend.Tools...), ",")
		printRow(writer, backend.ID, backend.Kind, backend.Zone, backend.Address, displayStatus(backend), orDash(serves),
			backend.Slots, backend.CacheTokens)
	}
}

// displayStatus returns the status to show: "drained" for a drained back end,
// whatever its machine status is.
func displayStatus(backend operator.BackendState) machine.Status {
	if backend.Drained {
		return "drained"
	}
	return backend.Status
}
