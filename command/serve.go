package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/node"
)

func newServeCommand() *cobra.Command {
	var path, listen, operator string
	command := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one node",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			file, findings := config.Load(path, overrides(map[string]string{"node.listen": listen, "node.operator": operator})...)
			if len(findings) > 0 {
				return reportFindings(command, findings)
			}
			return serve(command.Context(), file)
		},
	}
	command.Flags().StringVar(&path, "config", "", "the node's settings file")
	command.Flags().StringVar(&listen, "listen", "", "ip:port for callers and peers, in place of the file's")
	command.Flags().StringVar(&operator, "operator", "", "ip:port for operators, in place of the file's")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return command
}

// overrides returns the overrides for the flags that were set.
func overrides(values map[string]string) []config.Override {
	var set []config.Override
	for path, value := range values {
		if value != "" {
			set = append(set, config.Override{Path: path, Value: value})
		}
	}
	return set
}

// serve runs a node until SIGTERM, SIGINT or an operator's drain, then stops it
// without interrupting requests. A second signal ends the process at once.
func serve(parent context.Context, file *config.File) error {
	logger := newLogger(file.Log.Level, string(file.Node.ID))
	process, err := node.Wire(file, logger)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	listener, err := net.Listen("tcp", file.Node.Listen)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	operator, err := net.Listen("tcp", file.Node.Operator)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: errors.Join(err, listener.Close())}
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process.Start(listener, operator)
	select {
	case err := <-process.Failed():
		return &ExitError{Code: ExitFailure, Cause: fmt.Errorf("node stopped serving: %w", err)}
	case <-process.Drained():
	case <-ctx.Done():
	}
	stop()
	return stopWithin(process, file)
}

// stopWithin stops a node with a time limit: the drain time-out for running
// calls, and two park time-outs for the handover of partitions after it.
func stopWithin(process *node.Process, file *config.File) error {
	ctx, cancel := context.WithTimeout(context.Background(), file.Timings.DrainTimeout+2*file.Timings.ParkTimeout)
	defer cancel()
	if err := process.Stop(ctx); err != nil {
		return &ExitError{Code: ExitFailure, Cause: fmt.Errorf("planned stop did not complete: %w", err)}
	}
	return nil
}
