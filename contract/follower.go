package contract

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/retry"
	"birchwood.example/birchwood/zone"
)

// StreamName is the name of the settings stream in the log service.
const StreamName = "settings"

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Self and Zone name this node in its reports.
	Self machine.ID
	Zone zone.Name
	// Zones are the zones that have nodes of the system. A node that cannot
	// reach the store goes on only after hearing from each of them.
	Zones []zone.Name
	// PollInterval is the longest time between two reads of the stream's end
	// when nothing tells of a newer record; up to a quarter of it is taken
	// off at random, so that nodes that started together drift apart.
	PollInterval time.Duration
	// RetryInterval is the first delay after a failed read; it doubles up to
	// MaximumRetryInterval. Half of each delay is random.
	RetryInterval        time.Duration
	MaximumRetryInterval time.Duration
	// ReadTimeout is after how long a read without an answer counts as failed.
	ReadTimeout time.Duration
	// ReadMaximum bounds the records of one read.
	ReadMaximum int
	// FreshnessBound is for how long settings count as the newest after the
	// end of the stream was seen.
	FreshnessBound time.Duration
	// MessageDelay is added to each age that a report tells, since the report
	// took time to come. While no message takes longer, no word about the
	// settings ever looks younger than it is, by however many nodes it came.
	MessageDelay time.Duration
	// Random spreads the delays.
	Random *rand.Rand
}

// DefaultFollowerConfig returns the timings that the documentation states;
// Self, Zone, Zones and Random are left to the caller.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{
		PollInterval:         2 * time.Second,
		RetryInterval:        250 * time.Millisecond,
		MaximumRetryInterval: 4 * time.Second,
		ReadTimeout:          5 * time.Second,
		ReadMaximum:          256,
		FreshnessBound:       10 * time.Second,
		MessageDelay:         500 * time.Millisecond,
	}
}

// validate returns everything that is wrong with the configuration.
func (c FollowerConfig) validate() error {
	found := findings.Of("settings follower config")
	findings.Positive(found, "PollInterval", c.PollInterval)
	findings.Positive(found, "RetryInterval", c.RetryInterval)
	findings.Positive(found, "MaximumRetryInterval", c.MaximumRetryInterval)
	findings.Positive(found, "ReadTimeout", c.ReadTimeout)
	findings.Positive(found, "FreshnessBound", c.FreshnessBound)
	findings.Positive(found, "MessageDelay", c.MessageDelay)
	findings.AtLeast(found, "MaximumRetryInterval", c.MaximumRetryInterval, c.RetryInterval)
	found.Require(c.FreshnessBound >= 2*c.PollInterval, "FreshnessBound",
		"want at least two PollIntervals, or a healthy node counts as stale")
	findings.AtLeast(found, "ReadMaximum", c.ReadMaximum, 1)
	found.Require(c.Self != "", "Self", "want the node's name")
	found.Require(c.Random != nil, "Random", "want a seeded source")
	return found.Err()
}

// ReadDone answers a FollowerRead. Changes[i] stands at offset From+i; End is
// the offset that the next append would have got.
type ReadDone struct {
	// Request and From are those of the FollowerRead.
	Request uint64
	From    uint64
	Changes [][]byte
	End     uint64
	Err     error
}

// FollowerRead asks the driver to read the settings stream. The driver
// answers with a ReadDone that has the same Request and From.
type FollowerRead struct {
	// Request tells the answer to this read from a late one to an earlier
	// read, whose view of the stream's end is older.
	Request uint64
	From    uint64
	Maximum int
}

// FollowerReady is what a Follower wants done.
type FollowerReady struct {
	// Read is nil when nothing is to be read now.
	Read *FollowerRead
	// Fetch names a peer whose settings are newer, while the stream cannot be
	// read: the driver asks it for Export and hands the answer to Import. A
	// failure needs no word: the next failed read asks again.
	Fetch machine.ID
	// Verdicts are those reached since the last Ready, in stream order.
	Verdicts []Verdict
	// Changed says that the revision rose since the last Ready.
	Changed bool
}

// Follower keeps a Tree in step with the settings stream. It is a pure state
// machine: the driver performs its reads and passes in answers, reports of
// peers and the time. Only its Tree may be used from other goroutines.
type Follower struct {
	config FollowerConfig
	tree   *Tree

	// known is the highest position known to exist; behindSince is when it
	// went above the position held.
	known       uint64
	behindSince time.Time
	// confirmed is the last moment at which the position held was known to be
	// the end of the stream.
	confirmedAt time.Time

	// reading is set while a read is under way; readIssued is when it began.
	reading      bool
	request      uint64
	readOffset   uint64
	readIssuedAt time.Time
	nextReadAt   time.Time
	failedReads  int

	peers          map[machine.ID]peerReport
	nextPeerExpiry time.Time
	// vouched holds, for other zones, the last moment at which a node there
	// was known to hold vouchedPosition and to know of no newer record;
	// vouchedAt is when any peer last said so itself.
	zoneAgreedAt   map[zone.Name]time.Time
	peerAgreedAt   time.Time
	agreedPosition uint64
	verdicts       []Verdict
	// announced is the revision that the last Ready told of.
	reportedRevision Revision
	readPending      bool
	fetchFrom        machine.ID
}

// NewFollower returns a follower with an empty tree, which wants to read the
// stream from its start. The error joins everything that is wrong with config.
func NewFollower(config FollowerConfig) (*Follower, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Follower{config: config, tree: NewTree(), peers: map[machine.ID]peerReport{}, zoneAgreedAt: map[zone.Name]time.Time{}}, nil
}

// Tree returns the settings tree, which is the same object for the life of
// the follower.
func (f *Follower) Tree() *Tree { return f.tree }

// Tick tells the time: a due read starts, an overdue one counts as failed.
func (f *Follower) Tick(now time.Time) {
	f.expirePeers(now)
	if f.reading && !now.Before(f.readIssuedAt.Add(f.config.ReadTimeout)) {
		f.reading = false
		f.retry(now)
	}
	if !f.reading && !now.Before(f.nextReadAt) {
		f.startRead(now)
	}
}

// NextWake returns when Tick is due next.
func (f *Follower) NextWake() time.Time {
	if f.reading {
		return f.readIssuedAt.Add(f.config.ReadTimeout)
	}
	return f.nextReadAt
}

func (f *Follower) startRead(now time.Time) {
	f.reading = true
	f.readPending = true
	f.request++
	f.readOffset = f.tree.Position()
	f.readIssuedAt = now
}

// retry sets the next read after a failure.
func (f *Follower) retry(now time.Time) {
	f.failedReads++
	backoff := retry.Backoff{Minimum: f.config.RetryInterval, Maximum: f.config.MaximumRetryInterval, Random: f.config.Random}
	f.nextReadAt = now.Add(backoff.Delay(f.failedReads))
	f.fetchFrom = f.newestPeer()
}

// newestPeer returns the peer that holds the newest settings, if they are
// newer than those held here; of several, the first by name.
func (f *Follower) newestPeer() machine.ID {
	var newest machine.ID
	position := f.tree.Position()
	for id, peer := range f.peers {
		if peer.report.Position > position || peer.report.Position == position && newest != "" && id < newest {
			newest, position = id, peer.report.Position
		}
	}
	return newest
}

// Step takes the answer to a read.
func (f *Follower) Step(now time.Time, done ReadDone) {
	if !f.reading || done.Request != f.request || done.From != f.readOffset {
		return // the answer to a read that was given up
	}
	f.reading = false
	f.readPending = false
	if done.Err != nil {
		f.retry(now)
		return
	}
	position := f.tree.Position()
	if skip := position - done.From; skip < uint64(len(done.Changes)) {
		// An import may have moved the position while the read was under way.
		f.verdicts = append(f.verdicts, f.tree.applyBatch(position, done.Changes[skip:])...)
	}
	f.raiseKnown(now, max(done.End, done.From+uint64(len(done.Changes))))
	if done.End == f.tree.Position() && f.readIssuedAt.After(f.confirmedAt) {
		f.confirmedAt = f.readIssuedAt
	}
	f.schedule(now, f.tree.Position() > position)
}

// schedule sets the next read after an answered one. A read that brought
// nothing while more is known to exist counts as failed: the service that
// answered may itself be behind.
func (f *Follower) schedule(now time.Time, advanced bool) {
	behind := f.known > f.tree.Position()
	if behind && !advanced {
		f.retry(now)
		return
	}
	f.failedReads = 0
	if behind {
		f.startRead(now)
		return
	}
	f.nextReadAt = now.Add(f.config.PollInterval - f.jitter(f.config.PollInterval/4))
}

// jitter returns a random duration up to bound.
func (f *Follower) jitter(bound time.Duration) time.Duration {
	return time.Duration(f.config.Random.Int64N(int64(bound) + 1))
}

// learn takes in that records up to position end exist.
func (f *Follower) raiseKnown(now time.Time, end uint64) {
	held := f.tree.Position()
	if end <= f.known || end <= held {
		f.known = max(f.known, end, held)
		return
	}
	if f.known <= held {
		f.behindSince = now
	}
	f.known = end
}

// Heard takes in that an accepted change of this revision exists. A newer one
// than this node holds starts a read at once, unless reads fail: then the
// backoff stands, so that a store that comes back is not met by a storm.
func (f *Follower) Heard(now time.Time, revision Revision) {
	f.raiseKnown(now, uint64(revision))
	if f.known > f.tree.Position() && !f.reading && f.failedReads == 0 {
		f.startRead(now)
	}
}

// HeardReport takes a peer's report. It does what Heard does, and lets the
// peer confirm the settings, or the outage of the store, for this node.
func (f *Follower) HeardReport(now time.Time, report Report) {
	if report.Peer == f.config.Self {
		return
	}
	f.expirePeers(now)
	peer := peerReport{report: report, receivedAt: now}
	f.peers[report.Peer] = peer
	f.Heard(now, Revision(max(report.Known, report.Position)))
	f.recordAgreement(now, report)
	confirmedAt := f.peerConfirmedAt(peer)
	if report.Position == f.tree.Position() && report.Known <= report.Position && confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
}

// Report returns what this node tells its peers.
func (f *Follower) Report(now time.Time) Report {
	current := f.tree.published.Load()
	report := Report{
		Peer: f.config.Self, Zone: f.config.Zone,
		Position: uint64(current.position), Known: f.known,
		Age: neverConfirmedAge, Digest: current.digest.Short(),
	}
	if !f.confirmedAt.IsZero() && f.known <= report.Position {
		report.Age = now.Sub(f.confirmedAt)
	}
	report.Zones = f.zoneAgreementAges(now)
	return report
}

// Ready returns what to do, and forgets it.
func (f *Follower) Ready() FollowerReady {
	ready := FollowerReady{Verdicts: f.verdicts, Fetch: f.fetchFrom}
	f.verdicts = nil
	f.fetchFrom = ""
	if f.readPending {
		f.readPending = false
		ready.Read = &FollowerRead{Request: f.request, From: f.readOffset, Maximum: f.config.ReadMaximum}
	}
	if revision := f.tree.Revision(); revision != f.reportedRevision {
		f.reportedRevision = revision
		ready.Changed = true
	}
	return ready
}

// Export returns the settings held, for a peer that cannot read the stream.
func (f *Follower) Export() ([]byte, error) { return f.tree.Export() }

// Import takes in a peer's settings when they are newer; see Tree.Import.
// Verdicts of the changes in it are not told by Ready: ask Tree.Verdict.
func (f *Follower) Import(now time.Time, data []byte) error {
	if err := f.tree.Import(data); err != nil {
		return err
	}
	f.raiseKnown(now, f.tree.Position())
	return nil
}
