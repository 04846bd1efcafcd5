package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/recordstore"
)

// The kinds of reads, as the log and the metrics name them.
const (
	kindNewest = "newest"
	kindTail   = "tail"
)

// slowRead is from when on a try of a read that had no answer is logged. One that fails
// sooner was turned away, and is only counted.
const slowRead = 500 * time.Millisecond

// storeRead is one try of a read of the store.
type storeRead struct {
	stream recordstore.Stream
	kind   string
	// attempt counts the tries of the same read, from 1.
	attempt int
	sentAt  time.Time
}

// noteRead counts a try of a read by how it ended. A try without an answer is logged with
// when it was sent, and with whether the store has answered other calls since: a store that
// is slow, one that is silent and an answer that was lost look alike otherwise.
func (n *Node) noteRead(read storeRead, err error) {
	n.noteStore(err)
	took := time.Since(read.sentAt)
	n.metrics.storeRead(read, took, err)
	if !unanswered(err) || took < slowRead {
		return
	}
	now, answeredAt := time.Now(), n.store.at()
	n.logger.Warn().Str("stream", string(read.stream.Name)).Int("partition", read.stream.Partition).Str("read", read.kind).
		Int("attempt", read.attempt).Dur("took", took).Dur("store_answered_ago", now.Sub(answeredAt)).
		Bool("answered_others_since", answeredAt.After(read.sentAt)).Err(err).Msg("store: read not answered")
}

// unanswered reports whether a call to the store ended without an answer, and was not given
// up here.
func unanswered(err error) bool {
	var refused *recordstore.RefusedError
	switch {
	case err == nil, errors.Is(err, recordstore.ErrGap), errors.Is(err, context.Canceled):
		return false
	default:
		return !errors.As(err, &refused)
	}
}
