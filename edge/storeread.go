package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/recordstore"
)

// readKind is a kind of read, in the log and the metrics.
type readKind string

// The kinds of reads: a page of the newest records, and the records after an offset.
const (
	kindNewest readKind = "newest"
	kindTail   readKind = "tail"
)

// slowReadThreshold is the duration from which on an unanswered try of a read is logged.
// One that fails sooner was refused, and is only counted.
const slowReadThreshold = 500 * time.Millisecond

// storeRead is one try of a read of the store.
type storeRead struct {
	stream recordstore.Stream
	kind   readKind
	// attempt counts the tries of the same read, from 1.
	attempt int
	sentAt  time.Time
}

// errStoreRegained means that a read has to be repeated, because it was sent before an
// outage of the store ended.
var errStoreRegained = errors.New("the store answers again after the read was sent")

// recordRead counts a try of a read by its outcome. An unanswered try is logged with the
// time it was sent and whether the store has answered other calls since: otherwise a slow
// store, an unresponsive one and a lost answer look alike.
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

// unanswered reports whether a call to the store ended without an answer, and was not
// cancelled by this node.
func unanswered(err error) bool {
	var refused *recordstore.RefusedError
	switch {
	case err == nil, errors.Is(err, recordstore.ErrGap), errors.Is(err, context.Canceled), errors.Is(err, errStoreRegained):
		return false
	default:
		return !errors.As(err, &refused)
	}
}

// pageRetry limits the tries to read one page of a stream's newest records: the number of
// consecutive attempts, the time after which the second is sent, and the maximum time
// between two, which is also the timeout of each.
type pageRetry struct {
	attempts                     int
	firstTimeout, maximumTimeout time.Duration
	// throughOutages makes the read last until the end of an outage: unanswered tries do
	// not count while the store answers no other call either.
	throughOutages bool
}

// newestRetry is for streams that are followed. Such a read ends in an outage, so that a
// node whose role changes meanwhile turns to other nodes.
var newestRetry = pageRetry{attempts: 6, firstTimeout: appendTimeout, maximumTimeout: 5 * time.Second}

// nextTimeout returns how long the next try may be unanswered before another is sent. The
// timeout doubles while the store answers other calls, since requesting a page twice keeps
// a slow store slow. An unresponsive store is tried at a constant interval, so that its
// recovery is noticed soon, however long the outage lasts.
func (t pageRetry) nextTimeout(timeout time.Duration, storeReached bool) time.Duration {
	if !storeReached {
		return t.firstTimeout
	}
	return min(2*timeout, t.maximumTimeout)
}

// pageRead is a read of a page that is repeated until the store answers. Tries that time
// out continue concurrently with the next one, and the first page counts.
type pageRead struct {
	node           *Node
	stream         recordstore.Stream
	after          string
	maximumTimeout time.Duration
	answers        chan pageAnswer
}

// pageAnswer is the outcome of one try.
type pageAnswer struct {
	read storeRead
	page recordstore.Page
	err  error
}

// readPage reads the page of a stream's newest records that follows a key. After an outage
// of the store the page is requested again at once, since tries that were sent before may
// never be answered.
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
		reached, noAnswer := n.store.reached(time.Now()), errors.Is(answer.err, errNoAnswerYet)
		if reached || !noAnswer || !retry.throughOutages {
			left--
		}
		if left <= 0 || ctx.Err() != nil {
			return recordstore.Page{}, answer.err
		}
		timeout = retry.nextTimeout(timeout, reached)
		if !noAnswer && !wait.For(ctx, backoff.Next()) {
			return recordstore.Page{}, ctx.Err()
		}
	}
}

// try requests the page once more, and waits until the timeout for an answer to any try.
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
			// An earlier try has failed; this one may still be answered.
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
