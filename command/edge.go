package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/platform"
)

// newEdgeCommand returns the verb that runs one node on the users' platform.
func newEdgeCommand() *cobra.Command {
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
				return usage("no settings file: want --settings or %s", platform.SettingsVariable)
			}
			switchedOff, err := edge.ParseMechanisms("--without", without)
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
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
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	settings.Without = without
	lines := &decisionWriter{}
	logger, flush := newDecisionLogger(settings.Node, lines)
	defer flush()
	settings.LogLinesDropped = lines.dropped.Load
	node, err := edge.New(settings, platform.NewAdapter(settings), logger)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	signals := make(chan os.Signal, signalsWaiting)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := node.Start(); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	for {
		select {
		case err := <-node.Failed():
			return &ExitError{Code: ExitFailure, Cause: fmt.Errorf("serving ended: %w", err)}
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

// signalsWaiting bounds the signals that wait to be handled.
const signalsWaiting = 8

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

// Bounds of the decision log: lines that cannot be written at once wait in a
// queue of this length, and are dropped beyond it.
const decisionQueue = 2048

// decisionWriter queues the lines of the decision log and counts those that
// are dropped because the queue is full.
type decisionWriter struct {
	queue   log.AsyncWriter
	dropped atomic.Uint64
}

// WriteEntry implements log.Writer. It never blocks.
func (w *decisionWriter) WriteEntry(entry *log.Entry) (int, error) {
	written, err := w.queue.WriteEntry(entry)
	if err != nil {
		w.dropped.Add(1)
	}
	return written, err
}

// newDecisionLogger returns the logger of a node on the users' platform: JSON
// lines on standard output that never block a request. Flush writes the lines
// that wait.
func newDecisionLogger(node string, lines *decisionWriter) (logger *log.Logger, flush func()) {
	lines.queue = log.AsyncWriter{
		ChannelSize: decisionQueue, DiscardOnFull: true, DisableWritev: true, Writer: &log.IOWriter{Writer: os.Stdout},
	}
	logger = &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", node).Value(),
		Writer:     lines,
	}
	return logger, func() { _ = lines.queue.Close() }
}
