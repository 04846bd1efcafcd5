// Package edgecommand implements the command that runs one node on the users'
// platform. `birchwood edge` and the binary birchwood-edge, which has a machine to
// itself, share it. It imports only what a node needs.
package edgecommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/command/exit"
	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/quarantine"
)

// New returns the command that runs one node on the users' platform.
func New() *cobra.Command {
	var path, without string
	var bounds edge.Settings
	tracked := quarantine.DefaultConfig()
	command := &cobra.Command{
		Use:   "edge [--settings FILE] [--quarantine-limit N] [--quarantine-lifetime TIME] [--body-memory BYTES] [--event-bytes BYTES] [--without MECHANISM,...]",
		Short: "Run one node on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return &exit.Error{Code: exit.Usage, Cause: fmt.Errorf("no settings file: want --settings or %s", platform.SettingsVariable)}
			}
			disabled, err := edge.ParseMechanisms("--without", without)
			if err != nil {
				return &exit.Error{Code: exit.Usage, Cause: err}
			}
			if err := tracked.Validate("--quarantine"); err != nil {
				return &exit.Error{Code: exit.Usage, Cause: err}
			}
			if bounds.BodyMemoryBytes < 0 || bounds.EventBytes < 0 {
				return &exit.Error{Code: exit.Usage, Cause: errBounds}
			}
			bounds.Disabled, bounds.Quarantine = disabled, tracked
			return runEdge(command.Context(), path, bounds)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "the settings file, in place of the one that "+platform.SettingsVariable+" names")
	command.Flags().IntVar(&tracked.Limit, "quarantine-limit", tracked.Limit,
		fmt.Sprintf("how many replicas may end under a request before it is sent to no other (1 to %d)", quarantine.MaxLimit))
	command.Flags().DurationVar(&tracked.Lifetime, "quarantine-lifetime", tracked.Lifetime, "how long the end of a replica under a request is remembered (1s to 24h)")
	command.Flags().Int64Var(&bounds.BodyMemoryBytes, "body-memory", 0, "bytes that the bodies of all requests under way may hold (0: a quarter of the node's memory)")
	command.Flags().IntVar(&bounds.EventBytes, "event-bytes", 0, "bytes of one event of a stream, beyond which the stream is broken off (0: 1 MiB)")
	command.Flags().StringVar(&without, "without", "", "mechanisms to switch off, separated by commas, to measure what they are worth")
	return command
}

// errBounds means that a bound on memory is negative.
var errBounds = errors.New("--body-memory, --event-bytes: want 0 or more")

// runEdge runs a node until SIGTERM or SIGINT. SIGHUP reloads the settings. The bounds hold what the
// settings file does not.
func runEdge(parent context.Context, path string, bounds edge.Settings) error {
	// Register before loading the settings: a signal may arrive at any time, and
	// an unhandled SIGHUP would end the process.
	signals := make(chan os.Signal, signalQueueLength)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return &exit.Error{Code: exit.Usage, Cause: err}
	}
	settings.Disabled, settings.Quarantine = bounds.Disabled, bounds.Quarantine
	settings.BodyMemoryBytes, settings.EventBytes = bounds.BodyMemoryBytes, bounds.EventBytes
	decisions := &decisionWriter{}
	logger, flush := newDecisionLogger(settings.Node, decisions)
	defer flush()
	settings.LogLinesDropped = decisions.dropped.Load
	node, err := edge.New(settings, platform.NewAdapter(settings), logger)
	if err != nil {
		return &exit.Error{Code: exit.Failure, Cause: err}
	}
	if err := node.Start(); err != nil {
		return &exit.Error{Code: exit.Failure, Cause: err}
	}
	for {
		select {
		case err := <-node.Failed():
			return &exit.Error{Code: exit.Failure, Cause: fmt.Errorf("node stopped serving: %w", err)}
		case <-parent.Done():
			return nil
		case received := <-signals:
			if received != syscall.SIGHUP {
				node.Stop()
				return nil
			}
			reloadEdge(node, path, logger)
		}
	}
}

// signalQueueLength is the number of signals that can wait to be handled.
const signalQueueLength = 8

// reloadEdge reloads the settings file and logs which settings changed.
func reloadEdge(node *edge.Node, path string, logger *log.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		logger.Error().Err(err).Msg("settings: reload failed, keeping the present settings")
		return
	}
	changed := node.Reload(settings)
	logger.Info().Strs("changed", changed).Msg("settings: reloaded")
}
