package ledger

import (
	"slices"
	"time"
)

// Config configures a Ledger.
type Config struct {
	// MarkAheadShare and MarkAheadTurns limit how far a mark is raised ahead of need: by
	// this share of the remaining budget, and by this many turns. Larger values cost
	// fewer writes and let programs run longer while the log is down; smaller values lose
	// less of a budget when an owner fails.
	MarkAheadShare float64
	MarkAheadTurns int
	// UnrecordedShare is the share of its budget that a program may use, in addition to
	// one turn, before its first record is durable, so that programs can start while the
	// log accepts no appends. A new owner assumes that programs without a record have
	// used as much, unless the previous owner released the partition. 0 makes every
	// program wait for the log.
	//
	// The share applies to budgets of UnrecordedMinBudget tokens or more. With a smaller
	// one a program may use only the one turn, and a new owner assumes nothing: after a
	// third of it, few turns would be left to a program that started later.
	UnrecordedShare     float64
	UnrecordedMinBudget int
	// AfterFailureShare is the share of its budget that a program may use before its
	// first record is durable at an owner that replaced a failed one, in addition to the
	// use assumed there but without the extra turn. The next owner after another failure
	// assumes both shares as used. It applies to budgets of AfterFailureMinBudget tokens
	// or more, since smaller ones would not hold a whole program then. 0 makes all
	// programs wait.
	AfterFailureShare     float64
	AfterFailureMinBudget int
	// OwnershipProofTTL is how long after the log last confirmed the ownership programs
	// may run without a record. It is shorter than RetentionSlack by more than the
	// duration of a turn, so that a new owner assumes their use for longer than that.
	OwnershipProofTTL time.Duration
	// ExtraTurnAfterFailure lets a program use one turn more than its budget if its whole
	// mark counts as used because its owner failed.
	ExtraTurnAfterFailure bool
	// RecordBytes limits the value of one record.
	RecordBytes int
	// BatchRecords and BatchBytes limit one batch.
	BatchRecords int
	BatchBytes   int
	// RetentionSlack is added to the retention time of every entry.
	RetentionSlack time.Duration
	// SweepPeriod is the time between two removals of expired entries.
	SweepPeriod time.Duration
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{MarkAheadShare: 1.0 / 3, MarkAheadTurns: 2, RecordBytes: 128 << 10, BatchRecords: 256, BatchBytes: 1 << 20, RetentionSlack: 15 * time.Second, SweepPeriod: 2 * time.Second}
}

// Ledger holds the accounts and stored turns of one partition. It is not safe for
// concurrent use.
type Ledger struct {
	config   Config
	accounts map[string]*account
	turns    map[string]*turnEntry
	// parts holds the parts of turns whose own record has not been restored yet, by key.
	parts map[string][]byte
	// streams holds the origins of the streams that began lately.
	streams streams

	// pending holds the proposed records that are not in a batch yet, in order.
	pending []pendingRecord
	// proposed counts the proposals. Those up to batched are in the current batch or in
	// the log, those up to durable are in the log.
	proposed  uint64
	batched   uint64
	durable   uint64
	inFlight  bool
	nextSweep time.Time
	ownership ownership
}

// pendingRecord is a proposed record that is not in a batch yet. firstPosition is the
// position of the earliest proposal of its key that it stands for.
type pendingRecord struct {
	Record
	firstPosition uint64
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	return &Ledger{config: config, accounts: make(map[string]*account), turns: make(map[string]*turnEntry), parts: make(map[string][]byte)}
}

// propose queues a record and returns its position. It replaces a pending record of the
// same key, since only the newest one matters.
func (l *Ledger) propose(key string, value []byte) uint64 {
	l.proposed++
	record := Record{Key: key, Value: value}
	index := l.pendingIndex(key)
	if index >= 0 {
		l.pending[index].Record = record
		return l.proposed
	}
	l.pending = append(l.pending, pendingRecord{Record: record, firstPosition: l.proposed})
	return l.proposed
}

// pendingIndex returns the index of a key's pending record, or -1.
func (l *Ledger) pendingIndex(key string) int {
	return slices.IndexFunc(l.pending, func(record pendingRecord) bool { return record.Key == key })
}

// isPending reports whether a key has a pending record.
func (l *Ledger) isPending(key string) bool { return l.pendingIndex(key) >= 0 }

// Proposed returns the position of the last proposal.
func (l *Ledger) Proposed() uint64 { return l.proposed }

// Durable returns the position up to which all proposals are in the log.
func (l *Ledger) Durable() uint64 { return l.durable }

// Pending reports whether there are records that are not in a batch yet.
func (l *Ledger) Pending() bool { return len(l.pending) > 0 || len(l.streams.unrecorded) > 0 }

// Ready returns the next batch of records to append, or nil while a batch is in flight or
// no record is pending.
func (l *Ledger) Ready() []Record {
	if l.inFlight {
		return nil
	}
	l.proposeStreams()
	if len(l.pending) == 0 {
		return nil
	}
	batch := l.takeBatch()
	l.inFlight = true
	l.batched = l.proposed
	if len(l.pending) > 0 {
		l.batched = l.pending[0].firstPosition - 1
	}
	return batch
}

// takeBatch removes one batch of records from the front of the queue.
func (l *Ledger) takeBatch() []Record {
	var batch []Record
	bytes := 0
	for _, record := range l.pending {
		bytes += len(record.Key) + len(record.Value)
		if len(batch) > 0 && (len(batch) >= l.config.BatchRecords || bytes > l.config.BatchBytes) {
			break
		}
		batch = append(batch, record.Record)
	}
	l.pending = slices.Delete(l.pending, 0, len(batch))
	return batch
}

// BatchCommitted reports that the batch returned by the last Ready is in the log.
func (l *Ledger) BatchCommitted() {
	l.inFlight = false
	l.durable = max(l.durable, l.batched)
}

// Tick removes entries whose retention time is over. It is to be called periodically.
func (l *Ledger) Tick(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(l.config.SweepPeriod)
	l.streams.expire(now)
	for id, acct := range l.accounts {
		acct.expire(now)
		if now.Sub(l.ownership.since) >= formerStateLifetime {
			acct.settledHere = nil
		}
		if acct.openCount() == 0 && now.Sub(acct.lastActive) > acct.retention+l.config.RetentionSlack {
			delete(l.accounts, id)
			if acct.newest.mark > 0 {
				l.propose(accountPrefix+id, nil)
			}
		}
	}
	for id, entry := range l.turns {
		if now.Sub(entry.expires) > l.config.RetentionSlack {
			l.removeTurn(id, entry)
		}
	}
}

// Counts returns the number of accounts, of stored turns and of known origins of streams.
func (l *Ledger) Counts() (accounts, turns, origins int) {
	return len(l.accounts), len(l.turns), len(l.streams.origins)
}
