package command

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is the build information of this binary.
type version struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// newVersionCommand returns the subcommand that prints the build information.
func newVersionCommand() *cobra.Command {
	output := outputText
	command := &cobra.Command{
		Use:   "version",
		Short: "Show the version of this binary",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if output != outputText && output != outputJSON {
				return usageError("output %q: want %s or %s", output, outputText, outputJSON)
			}
			client := operatorClient{output: output, writer: command.OutOrStdout()}
			built := builtVersion()
			return client.print(built, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "birchwood %s %s %s\n", built.Version, orDash(built.Revision), built.Go)
			})
		},
	}
	command.Flags().StringVar(&output, "output", output, "text or json")
	return command
}

// builtVersion returns the build information that the Go tool embedded.
func builtVersion() version {
	built := version{Version: "unknown", Go: runtime.Version()}
	info, known := debug.ReadBuildInfo()
	if !known {
		return built
	}
	built.Version = info.Main.Version
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			built.Revision = setting.Value
		case "vcs.modified":
			built.Modified = setting.Value == "true"
		}
	}
	return built
}
