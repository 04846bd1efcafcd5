package command

import (
	"os"

	"github.com/phuslu/log"
)

// newLogger returns a logger that writes JSON lines to standard error. If node
// is not empty, each line carries it in the field "node".
func newLogger(level, node string) *log.Logger {
	logger := &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
	if node != "" {
		logger.Context = log.NewContext(nil).Str("node", node).Value()
	}
	return logger
}
