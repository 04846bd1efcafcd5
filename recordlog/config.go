package recordlog

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
)

// Config sets the bounds and times of a Journal.
type Config struct {
	// Writer identifies this process; see WriterName.
	Writer string
	// AppendTimeout is how long an append or read may go unanswered before it
	// is repeated.
	AppendTimeout time.Duration
	// RetryMinimum and RetryMaximum bound the backoff of repeated requests.
	// The wait is drawn between half and the whole of a bound that doubles.
	RetryMinimum time.Duration
	RetryMaximum time.Duration
	// MaximumUnconfirmedBytes bounds the records that the log has not
	// confirmed. Propose refuses with ErrFull beyond it.
	MaximumUnconfirmedBytes int
	// MaximumBatchBytes and MaximumBatchRecords bound one append.
	MaximumBatchBytes   int
	MaximumBatchRecords int
	// ReadBatch is how many entries one read asks for.
	ReadBatch int
	// SnapshotEvery is the least number of records between two snapshots.
	SnapshotEvery int
	// Random draws the jitter of the backoff.
	Random *rand.Rand
}

// DefaultConfig returns a Config for one writer, with the bounds that the
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

// validate returns every finding about the config, joined.
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
