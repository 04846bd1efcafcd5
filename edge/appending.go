package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/recordstore"
)

// errNoAnswerYet means that a try was not answered within its timeout. Its answer may still
// arrive.
var errNoAnswerYet = errors.New("the store has not answered yet")

// appendCall is an append that is repeated until the store answers. Tries that time out
// continue concurrently with the next one, and the first answer counts: the store applies a
// repeated append once and gives it the answer of the first, so that a slow one need not be
// repeated in vain.
type appendCall struct {
	node      *Node
	partition int
	writer    recordstore.Writer
	records   []recordstore.Record
	answers   chan error
}

// newAppendCall returns an append of records under an epoch. An empty batch rewrites the
// owner record, so that the store checks the epoch.
func (n *Node) newAppendCall(partition int, epoch ownership.Epoch, sequence uint64, batch []ledger.Record) *appendCall {
	records := make([]recordstore.Record, 0, len(batch)+1)
	if len(batch) == 0 {
		records = append(records, n.ownerRecord(epoch))
	}
	for _, record := range batch {
		records = append(records, recordstore.Record{Key: record.Key, Value: record.Value})
	}
	return &appendCall{
		node: n, partition: partition, writer: writerOf(partition, epoch, sequence), records: records, answers: make(chan error),
	}
}

// try sends the append once more, and waits for an answer to any try until the timeout, or
// until the store answers again after an outage during which the append was sent.
func (a *appendCall) try(ctx context.Context, timeout time.Duration, regained <-chan struct{}) error {
	maximum := timeout
	if a.node.settings.uses(AwaitLateAppends) {
		maximum = appendTimeout
	}
	go a.send(ctx, maximum)
	return a.await(ctx, timeout, regained)
}

// send makes one call to the store. It records the answer with recordStoreCall only after
// handing it over, so that the end of an outage does not cause the append to be sent again.
func (a *appendCall) send(ctx context.Context, timeout time.Duration) {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := a.node.adapter.Store.Append(callCtx, ledgerStream(a.partition), a.writer, a.records)
	if err == nil {
		a.node.observeAppend(time.Since(start))
	}
	select {
	case a.answers <- err:
	case <-ctx.Done():
	}
	a.node.recordStoreCall(err)
}

// await waits for the answer to any try, or until the store answers again after an outage.
func (a *appendCall) await(ctx context.Context, timeout time.Duration, regained <-chan struct{}) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-a.answers:
		return err
	case <-regained:
		return errStoreRegained
	case <-timer.C:
		return errNoAnswerYet
	case <-ctx.Done():
		return ctx.Err()
	}
}

// conclusive reports whether the outcome of a try ends the append.
func conclusive(err error) bool {
	var fenced *recordstore.FencedError
	return err == nil || errors.As(err, &fenced)
}

// appendUnfenced makes one call that appends records to a stream which any node may write.
func (n *Node) appendUnfenced(ctx context.Context, stream recordstore.Stream, records []recordstore.Record) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := n.adapter.Store.Append(callCtx, stream, recordstore.Writer{}, records)
	n.recordStoreCall(err)
	return err
}
