package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/recordstore"
)

const (
	// takeoverAttempts bounds the tries of one claim.
	takeoverAttempts = 6
	// takeoverPages bounds the pages that a node reads concurrently for its takeovers: with
	// more, each would take longer and none would complete early.
	takeoverPages = 2
	// takeoverAccountPages bounds the additional concurrent reads of first pages. A node
	// can serve a partition from its first page or two on, so these do not wait for the
	// stored turns of other partitions.
	takeoverAccountPages = 4
)

// takeoverRetry is for the pages of a takeover. It lasts through outages, because a
// takeover that is given up has to claim its partition again.
var takeoverRetry = pageRetry{attempts: 6, firstTimeout: appendTimeout, maximumTimeout: 10 * time.Second, throughOutages: true}

// takeovers are the takeovers in progress at this node. It is safe for concurrent use.
type takeovers struct {
	// pageSlots are the semaphore for reads of pages, and accountSlots one for pages with
	// accounts only.
	pageSlots    chan struct{}
	accountSlots chan struct{}

	mutex   sync.Mutex
	cancels map[coordinator.Stopped]context.CancelFunc
}

func newTakeovers() *takeovers {
	return &takeovers{
		pageSlots: make(chan struct{}, takeoverPages), accountSlots: make(chan struct{}, takeoverAccountPages),
		cancels: make(map[coordinator.Stopped]context.CancelFunc),
	}
}

// acquireSlot waits until a page may be read, and returns the function that releases the
// slot. Pages with accounts may also use slots that are reserved for them.
func (t *takeovers) acquireSlot(ctx context.Context, accounts bool) (release func(), err error) {
	var accountSlots chan<- struct{}
	if accounts {
		accountSlots = t.accountSlots
	}
	select {
	case t.pageSlots <- struct{}{}:
		return func() { <-t.pageSlots }, nil
	case accountSlots <- struct{}{}:
		return func() { <-t.accountSlots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// begin returns the context of a takeover, and the function that ends it.
func (t *takeovers) begin(ctx context.Context, takeover coordinator.Takeover) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	key := coordinator.Stopped{Partition: takeover.Partition, Epoch: takeover.Epoch}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cancels[key] = cancel
	return ctx, func() { t.stop(key) }
}

// stop cancels the reads of a takeover.
func (t *takeovers) stop(key coordinator.Stopped) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel, known := t.cancels[key]; known {
		cancel()
		delete(t.cancels, key)
	}
}

// readTotals is the amount that a takeover has read.
type readTotals struct {
	records, bytes, pages int
}

// takeOver claims a partition and reads its log, and reports the progress and the outcome
// to the core.
func (n *Node) takeOver(takeover coordinator.Takeover) {
	n.run(func(ctx context.Context) {
		reading, end := n.takeovers.begin(ctx, takeover)
		defer end()
		n.control.post(n.claimAndRead(reading, takeover))
	})
}

func (n *Node) claimAndRead(ctx context.Context, takeover coordinator.Takeover) coordinator.TakeoverEnded {
	start := time.Now()
	ended := coordinator.TakeoverEnded{Partition: takeover.Partition, Epoch: takeover.Epoch, Outcome: coordinator.OutcomeFailed}
	entry := n.logger.Info().Int("partition", takeover.Partition).Uint64("epoch", uint64(takeover.Epoch))
	if putOff := n.putOff(ctx, takeover, &ended); putOff {
		entry.Uint64("end", ended.End).Int("outcome", int(ended.Outcome)).Msg("ledger: claim put off, another owner may live")
		return ended
	}
	entry.Bool("contested", takeover.Contested).Msg("ledger: claim begun")
	err := n.appendRecords(ctx, takeover.Partition, takeover.Epoch, 0, nil, takeoverAttempts)
	var fenced *recordstore.FencedError
	if errors.As(err, &fenced) {
		ended.Outcome = coordinator.OutcomeFenced
		n.metrics.takeoverEnded("fenced", readTotals{}, time.Since(start))
		n.logger.Info().Int("partition", takeover.Partition).Uint64("epoch", uint64(takeover.Epoch)).
			Str("reason", fenced.Reason).Msg("ledger: claim fenced")
		return ended
	}
	var totals readTotals
	if err == nil {
		n.control.post(coordinator.TakeoverRead{Partition: takeover.Partition, Epoch: takeover.Epoch})
		totals, err = n.readLedger(ctx, takeover)
	}
	took := time.Since(start)
	outcome, entry := "done", n.logger.Info()
	if err != nil {
		outcome, entry = "given_up", n.logger.Warn().Err(err)
	} else {
		ended.Outcome = coordinator.OutcomeDone
	}
	n.metrics.takeoverEnded(outcome, totals, took)
	entry.Int("partition", takeover.Partition).Uint64("epoch", uint64(takeover.Epoch)).Int("records", totals.records).
		Int("bytes", totals.bytes).Int("pages", totals.pages).Dur("took", took).Str("outcome", outcome).Msg("ledger: takeover ended")
	return ended
}

// putOff reports whether a contested claim must be put off: the log has advanced, which
// shows that another owner may be live, or its end could not be read.
func (n *Node) putOff(ctx context.Context, takeover coordinator.Takeover, ended *coordinator.TakeoverEnded) bool {
	if !takeover.Contested {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	end, err := n.adapter.Store.End(callCtx, ledgerStream(takeover.Partition))
	n.recordStoreCall(err)
	if err != nil {
		return true
	}
	if end == takeover.ExpectedEnd {
		return false
	}
	ended.Outcome, ended.End = coordinator.OutcomeLogAdvanced, end
	return true
}

// readLedger reads the newest record of each key of a partition, and passes each page to
// the core.
func (n *Node) readLedger(ctx context.Context, takeover coordinator.Takeover) (readTotals, error) {
	var read readTotals
	after := ""
	for {
		page, err := n.readTakeoverPage(ctx, ledgerStream(takeover.Partition), after)
		if err != nil {
			return read, err
		}
		found := make([]ledger.Record, 0, len(page.Records))
		for _, record := range page.Records {
			found = append(found, ledger.Record{Key: record.Key, Value: record.Value})
			read.bytes += len(record.Key) + len(record.Value)
		}
		read.records += len(found)
		read.pages++
		n.control.post(coordinator.TakeoverRead{Partition: takeover.Partition, Epoch: takeover.Epoch, Records: found})
		if !page.More || len(found) == 0 {
			return read, nil
		}
		after = found[len(found)-1].Key
	}
}

// readTakeoverPage reads a page once a slot is free.
func (n *Node) readTakeoverPage(ctx context.Context, stream recordstore.Stream, after string) (recordstore.Page, error) {
	accounts := n.settings.uses(ReadAccountsFirst) && !ledger.SortsAfterAccounts(after)
	release, err := n.takeovers.acquireSlot(ctx, accounts)
	if err != nil {
		return recordstore.Page{}, err
	}
	defer release()
	return n.readPage(ctx, stream, after, takeoverRetry)
}
