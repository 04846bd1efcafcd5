package recordlog

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
)

// Config holds the limits and timings of a Journal.
type Config struct {
	// Writer identifies this process; see WriterName.
	Writer string
	// AppendTimeout is the time after which an unanswered append or read is
	// retried.
	AppendTimeout time.Duration
	// RetryMinimum and RetryMaximum bound the backoff of retried requests. The
	// delay is random, between half and all of a bound that doubles with each
	// failure.
	RetryMinimum time.Duration
	RetryMaximum time.Duration
	// MaximumUnconfirmedBytes limits the size of the records that the log has
	// not confirmed. Beyond it, Propose returns ErrFull.
	MaximumUnconfirmedBytes int
	// MaximumBatchBytes and MaximumBatchRecords limit the size of one append.
	MaximumBatchBytes   int
	MaximumBatchRecords int
	// ReadBatch is the maximum number of entries of one read.
	ReadBatch int
	// SnapshotEvery is the minimum number of records between two snapshots.
	SnapshotEvery int
	// Random is the source of the backoff's jitter.
	Random *rand.Rand
}

// DefaultConfig returns a Config for one writer, with the limits that the
// daemon uses.
func DefaultConfig(writer string, random *rand.Rand) Config {
	return Config{
		Writer:                  writer,
		AppendTimeout:           5 * time.Second,
		RetryMinimum:            50 * time.Millisecond,
		RetryMaximum:            2 * time.Second,
		MaximumUnconfirmedBytes: 8 << 20,
		MaximumBatchBytes:       1 << 20,
		MaximumBatchRecords:     1024,
		ReadBatch:               1024,
		SnapshotEvery:           1024,
		Random:                  random,
	}
}

// validate returns all findings about the config, joined.
func (c Config) validate() error {
	found := findings.Of("record log config")
	found.Require(c.Writer != "", "Writer", "missing")
	found.Require(c.Random != nil, "Random", "missing")
	findings.Positive(found, "AppendTimeout", c.AppendTimeout)
	findings.Positive(found, "RetryMinimum", c.RetryMinimum)
	findings.Positive(found, "RetryMaximum", c.RetryMaximum)
	findings.Positive(found, "MaximumUnconfirmedBytes", c.MaximumUnconfirmedBytes)
	findings.Positive(found, "MaximumBatchBytes", c.MaximumBatchBytes)
	findings.Positive(found, "MaximumBatchRecords", c.MaximumBatchRecords)
	findings.Positive(found, "ReadBatch", c.ReadBatch)
	findings.Positive(found, "SnapshotEvery", c.SnapshotEvery)
	findings.AtLeast(found, "RetryMaximum", c.RetryMaximum, c.RetryMinimum)
	return found.Err()
}
