package edge

import (
	"errors"
	"fmt"
	"io"

	"github.com/phuslu/log"

	"birchwood.example/birchwood/upstream"
)

// answerEnd is how the body of a replica's answer ended. The zero value means that there was
// no answer.
type answerEnd struct {
	framing upstream.Framing
	end     upstream.BodyEnd
	// events is the number of complete events of a stream, and partialBytes the number of bytes
	// that followed the last one.
	events       int
	partialBytes int
}

// log adds the end to a log line.
func (e *answerEnd) log(entry *log.Entry) *log.Entry {
	if e.framing == "" {
		return entry
	}
	return entry.Str("framing", string(e.framing)).Str("bodyEnd", string(e.end)).Int("events", e.events).Int("partial", e.partialBytes)
}

// noteBody records how the body of a replica's answer ended, for the log and the metrics. It
// does nothing without an answer.
func (n *Node) noteBody(r *requestState, response *upstream.Response) {
	if response == nil {
		return
	}
	r.ended = answerEnd{framing: response.Framing(), end: response.End()}
	n.metrics.bodyEnded(r.ended.framing, r.ended.end)
}

// Errors of streams that were broken off although their connection ended in order.
var (
	// errInsideEvent means that the stream ended inside an event, in whatever framing.
	errInsideEvent = errors.New("the stream ended inside an event")
	// errNoEvent means that only the end of the connection ended the stream, before any
	// event.
	errNoEvent = errors.New("the stream ended before its first event")
)

// checkEnd decides whether a stream is whole, after the error that ended its body. It returns
// nil if it is, and otherwise why it counts as broken off.
func (t *turnRun) checkEnd(response *upstream.Response, err error) error {
	byClose := errors.Is(err, upstream.ErrClosed)
	switch {
	case err != io.EOF && !byClose:
		return err
	case len(t.splitter.Rest()) > 0 && byClose:
		return fmt.Errorf("%w: %w", errInsideEvent, err)
	case len(t.splitter.Rest()) > 0:
		return errInsideEvent
	case !byClose:
		return nil
	case t.events == 0 && !t.hasLastEvent && !t.request.resumesStream():
		return fmt.Errorf("%w: %w", errNoEvent, err)
	default:
		return response.ConfirmEnd()
	}
}

// noteStream is like noteBody for the stream of one run.
func (t *turnRun) noteStream(response *upstream.Response) {
	t.node.noteBody(t.request, response)
	t.request.ended.events, t.request.ended.partialBytes = t.events, len(t.splitter.Rest())
}
