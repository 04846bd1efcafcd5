package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/recordstore"
)

// errNoAnswerYet says that a try of a call has not been answered in its time.
var errNoAnswerYet = errors.New("the store has not answered yet")

// appending is an append that is repeated until the store answers. Tries that were not
// answered in their time go on beside the next one, and the first answer counts: the store
// takes a repeated append once and gives it the answer of the first, so that one which is
// slow need not be asked for anew.
type appendCall struct {
	node      *Node
	partition int
	writer    recordstore.Writer
	records   []recordstore.Record
	answers   chan error
}

// newAppending returns an append of records under an epoch. A batch without records renews
// the record of the owner, so that the store checks the epoch.
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

// try sends the append once more, and waits for any answer for so long, or until the store
// answers again after an outage in which the append was sent.
func (a *appendCall) try(ctx context.Context, timeout time.Duration, regained <-chan struct{}) error {
	maximum := timeout
	if a.node.settings.uses(AwaitLateAppends) {
		maximum = appendTimeout
	}
	go a.send(ctx, maximum)
	return a.await(ctx, timeout, regained)
}

// send makes one call to the store. That the store answered is noted once the answer was
// handed over, so that the append is not sent again for it.
func (a *appendCall) send(ctx context.Context, timeout time.Duration) {
	begun := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := a.node.adapter.Store.Append(callCtx, ledgerStream(a.partition), a.writer, a.records)
	if err == nil {
		a.node.observeAppend(time.Since(begun))
	}
	select {
	case a.answers <- err:
	case <-ctx.Done():
	}
	a.node.recordStoreCall(err)
}

// await waits for an answer of any try, or until the store is regained.
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

// answered reports whether a try's outcome ends the append.
func conclusive(err error) bool {
	var fenced *recordstore.FencedError
	return err == nil || errors.As(err, &fenced)
}
