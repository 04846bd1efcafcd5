package edgecommand

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Bounds of the decision log: lines that cannot be written at once wait in a
// queue of this length, and are dropped beyond it.
const decisionQueueLines = 2048

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
		ChannelSize: decisionQueueLines, DiscardOnFull: true, DisableWritev: true, Writer: &log.IOWriter{Writer: os.Stdout},
	}
	logger = &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", node).Value(),
		Writer:     lines,
	}
	return logger, func() { _ = lines.queue.Close() }
}
