package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/recordstore"
)

// readKind names a kind of read, for the log and the metrics.
type readKind string

// The kinds of reads: a page of the newest records, and what comes after an offset.
const (
	kindNewest readKind = "newest"
	kindTail   readKind = "tail"
)

// slowRead is from when on a try of a read that had no answer is logged. One that fails
// sooner was turned away, and is only counted.
const slowReadThreshold = 500 * time.Millisecond

// storeRead is one try of a read of the store.
type storeRead struct {
	stream recordstore.Stream
	kind   readKind
	// attempt counts the tries of the same read, from 1.
	attempt int
	sentAt  time.Time
}

// errStoreRegained says that a read is to be sent again: the store answers again, and the
// read was sent before that.
var errStoreRegained = errors.New("the store answers again after the read was sent")

// noteRead counts a try of a read by how it ended. A try without an answer is logged with
// when it was sent, and with whether the store has answered other calls since: a store that
// is slow, one that is silent and an answer that was lost look alike otherwise.
func (n *Node) recordRead(read storeRead, err error) {
	took := time.Since(read.sentAt)
	if errors.Is(err, errStoreRegained) {
		n.logger.Info().Str("stream", string(read.stream.Name)).Int("partition", read.stream.Partition).Str("read", string(read.kind)).
			Int("attempt", read.attempt).Dur("after", took).Msg("store: read sent again after an outage")
		return
	}
	n.recordStoreCall(err)
	n.metrics.storeRead(read, took, err)
	if !unanswered(err) || took < slowReadThreshold {
		return
	}
	now, answeredAt := time.Now(), n.store.lastAnswer()
	n.logger.Warn().Str("stream", string(read.stream.Name)).Int("partition", read.stream.Partition).Str("read", string(read.kind)).
		Int("attempt", read.attempt).Dur("took", took).Dur("store_answered_ago", now.Sub(answeredAt)).
		Bool("answered_others_since", answeredAt.After(read.sentAt)).Err(err).Msg("store: read not answered")
}

// unanswered reports whether a call to the store ended without an answer, and was not given
// up here.
func unanswered(err error) bool {
	var refused *recordstore.RefusedError
	switch {
	case err == nil, errors.Is(err, recordstore.ErrGap), errors.Is(err, context.Canceled), errors.Is(err, errStoreRegained):
		return false
	default:
		return !errors.As(err, &refused)
	}
}

// pageTries bounds the tries to read one page of a stream's newest records: how many there
// are in a row, after how long without an answer the second is sent, and the longest time
// between two, which is also how long each may take.
type pageRetry struct {
	attempts                     int
	firstTimeout, maximumTimeout time.Duration
	// throughOutages has the reading last until the store is back: tries that had no answer
	// while the store answered no other call either do not count.
	throughOutages bool
}

// newestTries are those of a stream that is followed. They end in an outage, so that a node
// whose role changes meanwhile turns to other nodes.
var newestRetry = pageRetry{attempts: 6, firstTimeout: appendTimeout, maximumTimeout: 5 * time.Second}

// next returns how long a try may go without an answer before another is sent, after one
// that had so long. The time doubles while the store answers other calls, since a page that
// is asked for twice keeps a slow store slow. A store that answers nothing is asked at a
// steady pace: its return is to be noticed soon, however long it was away.
func (t pageRetry) nextTimeout(timeout time.Duration, storeReached bool) time.Duration {
	if !storeReached {
		return t.firstTimeout
	}
	return min(2*timeout, t.maximumTimeout)
}

// pageReading is a page that is asked for until the store answers. Tries that were not
// answered in their time go on beside the next one, and the first page that comes counts.
type pageRead struct {
	node           *Node
	stream         recordstore.Stream
	after          string
	maximumTimeout time.Duration
	answers        chan pageAnswer
}

// pageAnswer is how one try ended.
type pageAnswer struct {
	read storeRead
	page recordstore.Page
	err  error
}

// readPage reads the page of a stream's newest records that follows a key. Once the store
// answers again after an outage the page is asked for anew at once: no try that was sent
// before has to be answered.
func (n *Node) readPage(ctx context.Context, stream recordstore.Stream, after string, retry pageRetry) (recordstore.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader := &pageRead{node: n, stream: stream, after: after, maximumTimeout: retry.maximumTimeout, answers: make(chan pageAnswer)}
	backoff := n.backoff()
	left, timeout := retry.attempts, retry.firstTimeout
	for attempt := 1; ; attempt++ {
		answer := reader.try(ctx, attempt, timeout)
		n.recordRead(answer.read, answer.err)
		if answer.err == nil {
			return answer.page, nil
		}
		if errors.Is(answer.err, errStoreRegained) {
			left, timeout = retry.attempts, retry.firstTimeout
			continue
		}
		reached, silent := n.store.reached(time.Now()), errors.Is(answer.err, errNoAnswerYet)
		if reached || !silent || !retry.throughOutages {
			left--
		}
		if left <= 0 || ctx.Err() != nil {
			return recordstore.Page{}, answer.err
		}
		timeout = retry.nextTimeout(timeout, reached)
		if !silent && !wait.For(ctx, backoff.Next()) {
			return recordstore.Page{}, ctx.Err()
		}
	}
}

// try asks for the page once more, and waits for so long for an answer to any try.
func (p *pageRead) try(ctx context.Context, attempt int, timeout time.Duration) pageAnswer {
	regained := p.node.store.nextRegain()
	read := storeRead{stream: p.stream, kind: kindNewest, attempt: attempt, sentAt: time.Now()}
	go p.send(ctx, read)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case answer := <-p.answers:
			if answer.err == nil || answer.read.attempt == attempt {
				return answer
			}
			// An earlier try that failed says nothing of this one.
		case <-regained:
			return pageAnswer{read: read, err: errStoreRegained}
		case <-timer.C:
			return pageAnswer{read: read, err: errNoAnswerYet}
		case <-ctx.Done():
			return pageAnswer{read: read, err: ctx.Err()}
		}
	}
}

// send makes one call to the store.
func (p *pageRead) send(ctx context.Context, read storeRead) {
	callCtx, cancel := context.WithTimeout(ctx, p.maximumTimeout)
	defer cancel()
	page, err := p.node.adapter.Store.Newest(callCtx, p.stream, p.after)
	select {
	case p.answers <- pageAnswer{read: read, page: page, err: err}:
	case <-ctx.Done():
	}
}
