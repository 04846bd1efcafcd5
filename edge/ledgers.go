package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/retry"
)

// ownerKey is the key of the record that names a partition's owner. It sorts before the
// keys of the ledger.
const ownerKey = "!owner"

// ownerValue is the value of that record.
type ownerValue struct {
	Node  string          `json:"node"`
	Epoch ownership.Epoch `json:"epoch"`
}

// Timeouts and backoff of the calls to the store.
const (
	appendTimeout        = 1200 * time.Millisecond
	appendTimeoutMin     = 60 * time.Millisecond
	appendFactor         = 6
	appendMinimumBackoff = 15 * time.Millisecond
	appendMaximumBackoff = 300 * time.Millisecond
	// slowAppendThreshold is the duration from which on an append is logged.
	slowAppendThreshold = 700 * time.Millisecond
)

func ledgerStream(partition int) recordstore.Stream {
	return recordstore.Stream{Name: recordstore.StreamLedger, Partition: partition}
}

func writerOf(partition int, epoch ownership.Epoch, sequence uint64) recordstore.Writer {
	return recordstore.Writer{Name: fmt.Sprintf("partition-%d", partition), Epoch: uint64(epoch), Sequence: sequence}
}

func (n *Node) ownerRecord(epoch ownership.Epoch) recordstore.Record {
	value, err := json.Marshal(ownerValue{Node: n.settings.Node, Epoch: epoch})
	if err != nil {
		panic(err)
	}
	return recordstore.Record{Key: ownerKey, Value: value}
}

// readNewest reads all pages of a stream's newest records. The returned end is that of the
// first page, so that no later change is missed.
func (n *Node) readNewest(ctx context.Context, stream recordstore.Stream) (records []recordstore.Record, end uint64, err error) {
	return n.readPages(ctx, stream, func([]recordstore.Record) {})
}

// readPages is readNewest, and also passes each page to take as soon as it is read.
func (n *Node) readPages(ctx context.Context, stream recordstore.Stream, take func([]recordstore.Record)) (records []recordstore.Record, end uint64, err error) {
	after := ""
	for page := 0; ; page++ {
		read, err := n.readPage(ctx, stream, after, newestRetry)
		if err != nil {
			return nil, 0, err
		}
		if page == 0 {
			end = read.End
		}
		records = append(records, read.Records...)
		take(read.Records)
		if !read.More || len(read.Records) == 0 {
			return records, end, nil
		}
		after = read.Records[len(read.Records)-1].Key
	}
}

// backoff returns the backoff for the retries of one call to the store.
func (n *Node) backoff() *retry.Backoff {
	return n.backoffOf(appendMinimumBackoff, appendMaximumBackoff)
}

// backoffOf returns the backoff for the retries of one call, between two bounds.
func (n *Node) backoffOf(first, most time.Duration) *retry.Backoff {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	random := rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
	return &retry.Backoff{Minimum: first, Maximum: most, Random: random}
}

// append writes a batch, repeats it until the store has answered, and reports the outcome
// to the core.
func (n *Node) append(batch coordinator.Append) {
	n.run(func(ctx context.Context) {
		start := time.Now()
		err := n.appendRecords(ctx, batch.Partition, batch.Epoch, batch.Sequence, batch.Records, 0)
		took := time.Since(start)
		n.metrics.appended(took)
		if took > slowAppendThreshold || err != nil {
			n.logger.Warn().Int("partition", batch.Partition).Uint64("epoch", uint64(batch.Epoch)).Dur("took", took).
				Int("records", len(batch.Records)).Err(err).Msg("ledger: append was slow or refused")
		}
		outcome := coordinator.OutcomeDone
		var fenced *recordstore.FencedError
		switch {
		case errors.As(err, &fenced) && fenced.SequenceMismatch:
			outcome = coordinator.OutcomeFailed
		case err != nil:
			outcome = coordinator.OutcomeFenced
		}
		n.control.post(coordinator.Appended{
			Partition: batch.Partition, Epoch: batch.Epoch, Sequence: batch.Sequence, Outcome: outcome,
		})
	})
}

// appendRecords appends under an epoch until the store acknowledges or fences the append,
// the context ends, or the attempts are used up (0 means no limit). The attempts are
// counted anew after an outage of the store. An empty batch rewrites the owner record, so
// that the store checks the epoch.
func (n *Node) appendRecords(ctx context.Context, partition int, epoch ownership.Epoch, sequence uint64, batch []ledger.Record, attempts int) error {
	tries, cancel := context.WithCancel(ctx)
	defer cancel()
	call := n.newAppendCall(partition, epoch, sequence, batch)
	backoff := n.backoff()
	for attempt := 1; ; attempt++ {
		regained := n.store.nextRegain()
		err := call.try(tries, n.appendTryTimeout(attempt), regained)
		if !conclusive(err) && !errors.Is(err, errStoreRegained) && attempt != attempts {
			pause := backoff.Next()
			if isFull(err) {
				n.makeSpace(ctx, partition, epoch)
				pause = fullPause
			}
			if late := call.await(tries, pause, regained); conclusive(late) || errors.Is(late, errStoreRegained) {
				err = late
			}
		}
		if errors.Is(err, errStoreRegained) {
			attempt = 0
			continue
		}
		if err == nil {
			n.recordAppend(partition, call.records)
		}
		if conclusive(err) || attempt == attempts {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// appendTryTimeout returns the timeout of one try of an append. It is short, since the
// store applies a repeated append once and its answer may have been lost.
func (n *Node) appendTryTimeout(attempt int) time.Duration {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	return n.adaptiveAppendTimeout.Timeout(attempt)
}

func (n *Node) observeAppend(took time.Duration) {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	n.adaptiveAppendTimeout.Observe(took)
}

// recordStoreCall counts a call to the store, and records whether the store answered. A
// store that refuses every call as unavailable is not reached, however fast it answers.
func (n *Node) recordStoreCall(err error) {
	n.metrics.storeCall(err)
	var refused *recordstore.RefusedError
	var fenced *recordstore.FencedError
	answered := errors.As(err, &refused) && !refused.Unavailable()
	if err == nil || answered || errors.As(err, &fenced) || errors.Is(err, recordstore.ErrGap) {
		n.store.recordAnswer(time.Now())
		return
	}
	if !errors.Is(err, context.Canceled) {
		n.store.recordFailure()
	}
}
