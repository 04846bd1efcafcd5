package partition

import (
	"math/rand/v2"
	"strings"
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// Config sets one node's part in one partition.
type Config struct {
	ID ID
	// Self is this node.
	Self machine.ID
	// Writer is recordlog.WriterName of this process: another one at each start.
	Writer string

	// MirrorCount is how many mirrors an owner keeps ready; zero for none.
	MirrorCount int
	// Mirrors is this node's own store, in which it mirrored owners before it.
	// It is required when MirrorCount is more than zero.
	Mirrors *MirrorStore
	// MirrorDelay is how long an append may go unanswered before mirrors get
	// the entries.
	MirrorDelay time.Duration
	// MirrorTimeout is how long a mirror may leave a message unanswered
	// before it is repeated, and before an owner opens without it.
	MirrorTimeout time.Duration
	// AcceptLossAfter is how long a recovery waits before it goes on with the
	// mirrors that answered, when those that are live and were not restarted
	// are too few for a quorum. Records that only the others hold are lost
	// then. Zero waits until a quorum answers or AcceptLoss is called.
	AcceptLossAfter time.Duration

	// ClaimDwell is how long this node must be the desired owner before it
	// claims, and HandoverDwell how long an owner must see another desired
	// owner before it hands over. Both bridge a flapping machine list.
	ClaimDwell    time.Duration
	HandoverDwell time.Duration
	// ClaimBackoff is the least wait before this node claims again after it
	// lost, or asks a live owner again; the wait grows to eight times that.
	ClaimBackoff time.Duration
	// OwnerPatience is how long a live owner may leave questions about a
	// hand-over unanswered before this node claims all the same.
	OwnerPatience time.Duration

	// IdleCheck is how often an owner that has nothing to append looks whether
	// the stream holds a later claim. It bounds how long a lapsed owner that
	// nobody told may answer reads from its state.
	IdleCheck time.Duration

	// The rest are the bounds of recordlog.Config.
	AppendTimeout           time.Duration
	AppendRetryMinimum      time.Duration
	AppendRetryMaximum      time.Duration
	MaximumUnconfirmedBytes int
	MaximumBatchBytes       int
	MaximumBatchRecords     int
	ReadBatch               int
	SnapshotEvery           int
	// Random draws the jitter of every backoff.
	Random *rand.Rand
}

// claimBackoffGrowth is the ratio of the longest to the shortest wait between
// two claims.
const claimBackoffGrowth = 8

// DefaultConfig returns the config that the daemon uses for a partition.
// Mirrors is left for the caller to set.
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

// journalConfig returns the part of the config that the journal checks.
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

// validate returns every finding about the config besides the journal's,
// joined.
func (c Config) validate() error {
	found := findings.Of("partition config")
	_, err := Parse(c.ID.String())
	found.NoError("ID", err)
	found.Require(c.Self != "", "Self", "missing")
	found.Require(strings.HasPrefix(c.Writer, string(c.Self)) && recordlog.WriterMachine(c.Writer) == c.Self, "Writer",
		"got %q, want recordlog.WriterName of %q", c.Writer, c.Self)
	findings.AtLeast(found, "MirrorCount", c.MirrorCount, 0)
	found.Require(c.MirrorCount <= 0 || c.Mirrors != nil, "Mirrors", "missing, but MirrorCount asks for mirrors")
	found.Require(c.Mirrors == nil || c.Mirrors.config.Instance == c.Writer, "Mirrors", "its Instance is another one than Writer")
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
