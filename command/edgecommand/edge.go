// Package edgecommand is the command that runs one node on the users' platform.
// It links what a node needs and no more: `birchwood edge` and the program
// birchwood-edge, which has a machine to itself, share it.
package edgecommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/command/exit"
	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/platform"
)

// New returns the command that runs one node on the users' platform.
func New() *cobra.Command {
	var path, without string
	command := &cobra.Command{
		Use:   "edge [--settings FILE] [--without MECHANISM,...]",
		Short: "Run one node on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return &exit.Error{Code: exit.Usage, Cause: fmt.Errorf("no settings file: want --settings or %s", platform.SettingsVariable)}
			}
			switchedOff, err := edge.ParseMechanisms("--without", without)
			if err != nil {
				return &exit.Error{Code: exit.Usage, Cause: err}
			}
			return runEdge(command.Context(), path, switchedOff)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "the settings file, in place of the one that "+platform.SettingsVariable+" names")
	command.Flags().StringVar(&without, "without", "", "mechanisms to switch off, separated by commas, to measure what they are worth")
	return command
}

// runEdge runs a node until SIGTERM or SIGINT. SIGHUP reads the settings again.
func runEdge(parent context.Context, path string, without []edge.Mechanism) error {
	// Signals may come at any time from the process's start on; one that is not asked
	// for ends it.
	signals := make(chan os.Signal, signalQueueLength)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return &exit.Error{Code: exit.Usage, Cause: err}
	}
	settings.Without = without
	lines := &decisionWriter{}
	logger, flush := newDecisionLogger(settings.Node, lines)
	defer flush()
	settings.LogLinesDropped = lines.dropped.Load
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
			return &exit.Error{Code: exit.Failure, Cause: fmt.Errorf("serving ended: %w", err)}
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

// signalQueueLength bounds the signals that wait to be handled.
const signalQueueLength = 8

// reloadEdge reads the settings file again and logs what it found.
func reloadEdge(node *edge.Node, path string, logger *log.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		logger.Error().Err(err).Msg("settings: not reloaded")
		return
	}
	changed := node.Reload(settings)
	logger.Info().Strs("changed", changed).Msg("settings: reloaded")
}
