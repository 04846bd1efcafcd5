package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
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
	var findings []error
	requirePositive := func(name string, value int64) {
		if value <= 0 {
			findings = append(findings, fmt.Errorf("journal config: %s: want more than zero, got %d", name, value))
		}
	}
	if c.Writer == "" {
		findings = append(findings, errors.New("journal config: Writer: missing"))
	}
	if c.Random == nil {
		findings = append(findings, errors.New("journal config: Random: missing"))
	}
	requirePositive("AppendTimeout", int64(c.AppendTimeout))
	requirePositive("RetryMinimum", int64(c.RetryMinimum))
	requirePositive("RetryMaximum", int64(c.RetryMaximum))
	requirePositive("MaximumUnconfirmedBytes", int64(c.MaximumUnconfirmedBytes))
	requirePositive("MaximumBatchBytes", int64(c.MaximumBatchBytes))
	requirePositive("MaximumBatchRecords", int64(c.MaximumBatchRecords))
	requirePositive("ReadBatch", int64(c.ReadBatch))
	requirePositive("SnapshotEvery", int64(c.SnapshotEvery))
	if c.RetryMaximum < c.RetryMinimum {
		findings = append(findings, errors.New("journal config: RetryMaximum: less than RetryMinimum"))
	}
	return errors.Join(findings...)
}
