package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/recordstore"
)

const (
	// trimBytes is how much is appended to a partition before its owner drops superseded
	// records, and trimPeriod the minimum time between two trims, since each takes two
	// calls to the store.
	trimBytes  = 2 << 20
	trimPeriod = 10 * time.Second
	// trimPeriodFull is the same period while the store is full.
	trimPeriodFull = 2 * time.Second
	// fullPause is the pause before an append is repeated that a full store refused: space
	// becomes free within seconds as records expire.
	fullPause = 500 * time.Millisecond
	// fullLogPeriod is the minimum time between two log lines about a full store.
	fullLogPeriod = 5 * time.Second
)

// space tracks the space that this node's partitions take in the store. It is safe for
// concurrent use.
type space struct {
	mutex      sync.Mutex
	partitions map[int]*partitionSpace
	loggedFull time.Time
}

// partitionSpace is what was appended to a partition since its last trim.
type partitionSpace struct {
	appended  int
	trimmedAt time.Time
}

func newSpace() *space { return &space{partitions: make(map[int]*partitionSpace)} }

// appended counts bytes appended to a partition, and reports whether it should be trimmed
// now.
func (s *space) appended(now time.Time, partition, bytes int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	usage := s.entry(now, partition)
	usage.appended += bytes
	if usage.appended < trimBytes || now.Sub(usage.trimmedAt) < trimPeriod {
		return false
	}
	usage.appended, usage.trimmedAt = 0, now
	return true
}

// full reports whether a partition should be trimmed now because the store is full, and
// whether to log that it is full.
func (s *space) full(now time.Time, partition int) (trim, logged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.loggedFull) >= fullLogPeriod {
		s.loggedFull = now
		logged = true
	}
	usage := s.entry(now, partition)
	if now.Sub(usage.trimmedAt) < trimPeriodFull {
		return false, logged
	}
	usage.appended, usage.trimmedAt = 0, now
	return true, logged
}

// entry returns the entry of a partition. The caller must hold the mutex.
func (s *space) entry(now time.Time, partition int) *partitionSpace {
	usage := s.partitions[partition]
	if usage == nil {
		usage = &partitionSpace{trimmedAt: now}
		s.partitions[partition] = usage
	}
	return usage
}

// isFull reports whether the store refused a call because it is full.
func isFull(err error) bool {
	var refused *recordstore.RefusedError
	return errors.As(err, &refused) && refused.Full()
}

// recordAppend counts an append, and trims the partition from time to time.
func (n *Node) recordAppend(partition int, records []recordstore.Record) {
	bytes := 0
	for _, record := range records {
		bytes += len(record.Key) + len(record.Value)
	}
	if n.space.appended(time.Now(), partition, bytes) {
		n.run(func(ctx context.Context) { n.trim(ctx, partition) })
	}
}

// trim drops the superseded records of a partition.
func (n *Node) trim(ctx context.Context, partition int) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	stream := ledgerStream(partition)
	end, err := n.adapter.Store.End(callCtx, stream)
	if err == nil {
		err = n.adapter.Store.Trim(callCtx, stream, end)
	}
	n.recordStoreCall(err)
	n.metrics.trimmed(err)
	if err != nil {
		n.logger.Warn().Int("partition", partition).Uint64("end", end).Err(err).Msg("ledger: not trimmed")
	}
}

// makeSpace handles an append that the store refused because it is full.
func (n *Node) makeSpace(ctx context.Context, partition int, epoch ownership.Epoch) {
	n.metrics.storeFull()
	trim, logged := n.space.full(time.Now(), partition)
	if logged {
		n.logger.Warn().Int("partition", partition).Uint64("epoch", uint64(epoch)).Msg("store: full, appends are refused")
	}
	n.control.post(coordinator.LogFull{Partition: partition, Epoch: epoch})
	if trim {
		n.trim(ctx, partition)
	}
}
