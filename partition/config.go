package partition

import (
	"math/rand/v2"
	"strings"
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// Config configures one node's Replica of one partition.
type Config struct {
	ID ID
	// Self is the ID of this node.
	Self machine.ID
	// Writer is the recordlog.WriterName of this process. It differs at each
	// start of the process.
	Writer string

	// MirrorCount is the number of mirrors that an owner keeps; zero for none.
	MirrorCount int
	// Mirrors is this node's own store, which may hold entries of previous
	// owners. It is required when MirrorCount is more than zero.
	Mirrors *MirrorStore
	// MirrorDelay is how long an append may go unanswered before its entries
	// are sent to mirrors.
	MirrorDelay time.Duration
	// MirrorTimeout is how long to wait for a mirror's answer before a message
	// is repeated, and before a new owner opens its epoch without that mirror.
	MirrorTimeout time.Duration
	// AcceptLossAfter is how long a recovery waits when the mirrors that are
	// live and have not been restarted are too few for a read quorum. After
	// that it continues with those that answered, and records that only the
	// others held are lost. Zero waits until a quorum answers or AcceptLoss is
	// called.
	AcceptLossAfter time.Duration

	// ClaimDwell is how long this node must be the desired owner before it
	// claims. HandoverDwell is how long an owner must see the same other
	// desired owner before it hands over. Both keep a flapping machine list
	// from moving the partition.
	ClaimDwell    time.Duration
	HandoverDwell time.Duration
	// ClaimBackoff is the shortest wait before this node claims again after a
	// lost claim, or repeats a handover request to a live owner. The wait grows
	// to eight times that.
	ClaimBackoff time.Duration
	// OwnerPatience is how long a live owner may leave handover requests
	// unanswered before this node claims without its consent.
	OwnerPatience time.Duration

	// IdleCheck is how often an owner with nothing to append checks the stream
	// for a later claim. It bounds how long an owner that was superseded
	// without being notified may serve reads from its state.
	IdleCheck time.Duration

	// The remaining fields are passed to recordlog.Config.
	AppendTimeout           time.Duration
	AppendRetryMinimum      time.Duration
	AppendRetryMaximum      time.Duration
	MaximumUnconfirmedBytes int
	MaximumBatchBytes       int
	MaximumBatchRecords     int
	ReadBatch               int
	SnapshotEvery           int
	// Random provides the jitter of every backoff.
	Random *rand.Rand
}

// claimBackoffGrowth is the ratio of the longest to the shortest ClaimBackoff
// wait.
const claimBackoffGrowth = 8

// DefaultConfig returns the configuration that the daemon uses for a partition.
// The caller sets Mirrors.
func DefaultConfig(id ID, self machine.ID, writer string, random *rand.Rand) Config {
	log := recordlog.DefaultConfig(writer, random)
	return Config{
		ID:                      id,
		Self:                    self,
		Writer:                  writer,
		MirrorCount:             3,
		MirrorDelay:             250 * time.Millisecond,
		MirrorTimeout:           200 * time.Millisecond,
		ClaimDwell:              300 * time.Millisecond,
		HandoverDwell:           5 * time.Second,
		ClaimBackoff:            250 * time.Millisecond,
		OwnerPatience:           10 * time.Second,
		IdleCheck:               10 * time.Second,
		AppendTimeout:           log.AppendTimeout,
		AppendRetryMinimum:      log.RetryMinimum,
		AppendRetryMaximum:      log.RetryMaximum,
		MaximumUnconfirmedBytes: log.MaximumUnconfirmedBytes,
		MaximumBatchBytes:       log.MaximumBatchBytes,
		MaximumBatchRecords:     log.MaximumBatchRecords,
		ReadBatch:               log.ReadBatch,
		SnapshotEvery:           log.SnapshotEvery,
		Random:                  random,
	}
}

// journalConfig returns the configuration of the journal, which validates it.
func (c Config) journalConfig() recordlog.Config {
	return recordlog.Config{
		Writer:                  c.Writer,
		AppendTimeout:           c.AppendTimeout,
		RetryMinimum:            c.AppendRetryMinimum,
		RetryMaximum:            c.AppendRetryMaximum,
		MaximumUnconfirmedBytes: c.MaximumUnconfirmedBytes,
		MaximumBatchBytes:       c.MaximumBatchBytes,
		MaximumBatchRecords:     c.MaximumBatchRecords,
		ReadBatch:               c.ReadBatch,
		SnapshotEvery:           c.SnapshotEvery,
		Random:                  c.Random,
	}
}

// validate returns all findings about the fields that the journal does not
// validate, joined.
func (c Config) validate() error {
	found := findings.Of("partition config")
	_, err := Parse(c.ID.String())
	found.NoError("ID", err)
	found.Require(c.Self != "", "Self", "missing")
	found.Require(strings.HasPrefix(c.Writer, string(c.Self)) && recordlog.WriterMachine(c.Writer) == c.Self, "Writer",
		"got %q, want recordlog.WriterName of %q", c.Writer, c.Self)
	findings.AtLeast(found, "MirrorCount", c.MirrorCount, 0)
	found.Require(c.MirrorCount <= 0 || c.Mirrors != nil, "Mirrors", "missing, but required when MirrorCount is more than 0")
	found.Require(c.Mirrors == nil || c.Mirrors.config.Instance == c.Writer, "Mirrors", "its Instance differs from Writer")
	findings.Positive(found, "MirrorDelay", c.MirrorDelay)
	findings.Positive(found, "MirrorTimeout", c.MirrorTimeout)
	findings.Positive(found, "ClaimBackoff", c.ClaimBackoff)
	findings.Positive(found, "OwnerPatience", c.OwnerPatience)
	findings.Positive(found, "IdleCheck", c.IdleCheck)
	findings.AtLeast(found, "ClaimDwell", c.ClaimDwell, 0)
	findings.AtLeast(found, "HandoverDwell", c.HandoverDwell, 0)
	findings.AtLeast(found, "AcceptLossAfter", c.AcceptLossAfter, 0)
	return found.Err()
}
