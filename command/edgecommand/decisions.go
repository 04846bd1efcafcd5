package edgecommand

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// decisionQueueLines is the capacity of the decision log's queue, in lines.
// Lines beyond it are dropped.
const decisionQueueLines = 2048

// decisionWriter queues the lines of the decision log. It counts the lines
// dropped because the queue is full.
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

// newDecisionLogger returns the logger of a node on the users' platform. It
// writes JSON lines to standard output and never blocks a request. The function
// flush writes the queued lines and closes the queue.
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
