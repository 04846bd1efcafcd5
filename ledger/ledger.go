package ledger

import (
	"slices"
	"time"
)

// Config sets up a Ledger.
type Config struct {
	// AheadShare is the share of what a budget still holds by which a mark is
	// raised beyond what is needed, and AheadTurns the most turns. Larger ones
	// cost fewer writes and let programs go on for longer while the log is
	// down; smaller ones take less from the budget when an owner is lost.
	AheadShare float64
	AheadTurns int
	// UnrecordedShare is the share of its budget that a program may use, and one
	// turn more, before the log has its first mark: programs can begin while
	// the log takes no records. A new owner takes as much as used by programs that the log does
	// not know, unless the former one gave up in order. 0 has every program
	// wait for the log. What exceeds AheadShare does not count.
	UnrecordedShare float64
	// AgainShare is the share that a program of a budget of AgainBudget or more may
	// use unrecorded at an owner that followed a lost one, besides what is assumed of
	// it there; without a turn beyond it. The owner after that takes both shares as
	// used. Smaller budgets would not hold a program then. 0 has all wait.
	AgainShare  float64
	AgainBudget int
	// UnrecordedFor is how long after the log last proved the ownership that
	// is allowed. It is less than Slack by more than a turn takes, so that a
	// new owner outlasts it.
	UnrecordedFor time.Duration
	// TurnAfterLoss lets a program whose mark counts as used, because its owner
	// was lost, use one turn more than its budget.
	TurnAfterLoss bool
	// RecordBytes bounds the value of one record.
	RecordBytes int
	// BatchRecords and BatchBytes bound one batch.
	BatchRecords int
	BatchBytes   int
	// Slack is how much longer than promised an entry is kept.
	Slack time.Duration
	// SweepPeriod is how often entries are looked at for their age.
	SweepPeriod time.Duration
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{AheadShare: 1.0 / 3, AheadTurns: 2, RecordBytes: 128 << 10, BatchRecords: 256, BatchBytes: 1 << 20, Slack: 15 * time.Second, SweepPeriod: 2 * time.Second}
}

// Ledger is the accounts and kept turns of one partition. It is not safe for
// concurrent use.
type Ledger struct {
	config   Config
	accounts map[string]*account
	turns    map[string]*turnEntry
	// parts are those of turns whose own record was not restored yet.
	parts map[string][]byte

	// pending are the proposed records that are in no batch yet, in order.
	pending []pendingRecord
	// proposed counts proposals. All up to batched are in the batch under way
	// or in the log, all up to durable in the log.
	proposed  uint64
	batched   uint64
	durable   uint64
	inFlight  bool
	nextSweep time.Time
	ownership ownership
}

// pendingRecord is a record that waits, with the first proposal that it carries out.
type pendingRecord struct {
	Record
	firstPosition uint64
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	return &Ledger{config: config, accounts: make(map[string]*account), turns: make(map[string]*turnEntry), parts: make(map[string][]byte)}
}

// propose queues a record. A record of the same key that waits is replaced:
// only the newest counts.
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

// pendingIndex returns the place of a key's record that is in no batch yet, or -1.
func (l *Ledger) pendingIndex(key string) int {
	return slices.IndexFunc(l.pending, func(record pendingRecord) bool { return record.Key == key })
}

// isPending reports whether a key's record is in no batch yet.
func (l *Ledger) isPending(key string) bool { return l.pendingIndex(key) >= 0 }

// Proposed returns the position of the last proposal.
func (l *Ledger) Proposed() uint64 { return l.proposed }

// Durable returns the position up to which all proposals are in the log.
func (l *Ledger) Durable() uint64 { return l.durable }

// Pending reports whether records wait for the log that are in no batch yet.
func (l *Ledger) Pending() bool { return len(l.pending) > 0 }

// Ready returns the next batch of records for the log, or nil while one is
// under way or none is due.
func (l *Ledger) Ready() []Record {
	if l.inFlight || len(l.pending) == 0 {
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

// takeBatch removes what fits into one batch from the front of the queue.
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

// Stored says that the batch of the last Ready is in the log.
func (l *Ledger) Stored() {
	l.inFlight = false
	l.durable = max(l.durable, l.batched)
}

// Tick removes what is older than promised. It is called every now and then.
func (l *Ledger) Tick(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(l.config.SweepPeriod)
	for id, acct := range l.accounts {
		acct.expire(now)
		if acct.openCount() == 0 && now.Sub(acct.lastActive) > acct.retention+l.config.Slack {
			delete(l.accounts, id)
			if acct.newest.mark > 0 {
				l.propose(accountPrefix+id, nil)
			}
		}
	}
	for id, kept := range l.turns {
		if now.Sub(kept.expires) > l.config.Slack {
			l.removeTurn(id, kept)
		}
	}
}

// Counts returns how many accounts and kept turns the ledger holds.
func (l *Ledger) Counts() (accounts, turns int) { return len(l.accounts), len(l.turns) }
