package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/development"
)

func newDevCommand() *cobra.Command {
	var level string
	onPlatform, tenants := false, false
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole system in one process: four nodes in three zones, and the stand-ins",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if onPlatform {
				return runDevPlatform(ctx, command.OutOrStdout(), level, tenants)
			}
			return runDev(ctx, command.OutOrStdout(), level)
		},
	}
	command.Flags().StringVar(&level, "log-level", "warn", "the least important line that is logged")
	command.Flags().BoolVar(&tenants, "tenants", false, "with --platform: two tenants, whose keys every request needs, one of them with a limit")
	command.Flags().BoolVar(&onPlatform, "platform", false, "run three nodes on stand-ins of the users' platform instead")
	return command
}

// runDev runs the development system until the context is cancelled.
func runDev(ctx context.Context, output io.Writer, level string) error {
	loggers := func(node string) *log.Logger { return newLogger(level, node) }
	system, err := development.Start(ctx, config.Dev(), loggers)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	printDev(output, system)
	<-ctx.Done()
	if err := system.Stop(); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	return nil
}

// devExample shows shell commands that create a program and make a call. Its
// arguments are the callers' address, the token, the branch and the model.
const devExample = `
A first program and its first call:

  PROGRAM=$(curl -s -H 'Authorization: Bearer %[2]s' \
    -d '{"branch":"%[3]s","key":"first"}' http://%[1]s/v1/programs | sed 's/.*"id":"\([^"]*\)".*/\1/')
  curl -s -H 'Authorization: Bearer %[2]s' \
    -d '{"key":"turn-1","kind":"model","model":"%[4]s","input":"Which pallets are warm?","max_output_tokens":40}' \
    http://%[1]s/v1/programs/$PROGRAM/calls

`

func printDev(output io.Writer, system *development.System) {
	fmt.Fprintln(output, "birchwood dev is ready")
	for _, started := range system.Nodes {
		fmt.Fprintf(output, "  %-8s %-6s callers http://%s  operators http://%s\n",
			started.File.Node.ID, started.File.Node.Zone, started.CallerAddress(), started.OperatorAddress())
	}
	addresses := system.Standins.Addresses()
	fmt.Fprintf(output, "  platform http://%s  faults http://%s\n", addresses.Platform, addresses.Control)
	fmt.Fprintf(output, "  caller token %s on branch %s, operator token %s\n",
		config.DevCallerToken, config.DevBranch, config.DevOperatorToken)
	fmt.Fprintf(output, devExample, system.Nodes[0].CallerAddress(), config.DevCallerToken, config.DevBranch, config.DevModel)
}
