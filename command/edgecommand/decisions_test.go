package edgecommand

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

// blockedWriter is a writer whose writes block until released is closed.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.released
	return len(line), nil
}

var _ = Describe("The decision log", func() {
	It("drops lines rather than block, and counts them", func() {
		lines := &decisionWriter{}
		logger, _ := newDecisionLogger("n", lines)
		blocked := blockedWriter{released: make(chan struct{})}
		lines.queue.Writer = &log.IOWriter{Writer: blocked}
		const written = 3 * decisionQueueLines
		for range written {
			logger.Info().Msg("x")
		}
		Expect(lines.dropped.Load()).To(BeNumerically(">=", written-decisionQueueLines-2))
		Expect(lines.dropped.Load()).To(BeNumerically("<", written))
		close(blocked.released)
	})
})
