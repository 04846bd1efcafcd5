package command

import (
	"io"
	"strings"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/machine"
)

// newBackendCommand returns the verbs on back ends.
func newBackendCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{Use: "backend", Short: "See and drain back ends"}
	flags.register(command)
	command.AddCommand(newBackendListCommand(flags), newDrainCommand(flags, "backends",
		"Send no new work to a back end; what it runs goes on"))
	return command
}

func newBackendListCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the back ends that the asked node knows",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.open(command)
			if err != nil {
				return err
			}
			var backends []machine.Machine
			if err := client.get(command.Context(), "/backends", &backends); err != nil {
				return err
			}
			return client.print(backends, func(writer io.Writer) {
				row(writer, "ID", "KIND", "ZONE", "ADDRESS", "STATUS", "SERVES", "SLOTS", "CACHE TOKENS")
				for _, backend := range backends {
					serves := strings.Join(append(backend.Models, backend.Tools...), ",")
					row(writer, backend.ID, backend.Kind, backend.Zone, backend.Address, backend.Status, orDash(serves),
						backend.Slots, backend.CacheTokens)
				}
			})
		},
	}
}
