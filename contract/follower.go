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
	// Self and Zone identify this node in its reports.
	Self machine.ID
	Zone zone.Name
	// Zones lists the zones of the deployment. A node that cannot reach the
	// store starts new work only if recent reports cover each of them.
	Zones []zone.Name
	// PollInterval is the maximum time between two reads of the stream's end
	// while no newer record is known. Each interval is shortened by a random
	// amount of up to a quarter, so that nodes that started together do not
	// stay in step.
	PollInterval time.Duration
	// RetryInterval is the delay after the first failed read. It doubles with
	// each further failure, up to MaximumRetryInterval. Half of each delay is
	// random.
	RetryInterval        time.Duration
	MaximumRetryInterval time.Duration
	// ReadTimeout is the time after which an unanswered read has failed.
	ReadTimeout time.Duration
	// ReadMaximum is the maximum number of records in one read.
	ReadMaximum int
	// FreshnessBound is how long settings are considered the newest after the
	// end of the stream was seen.
	FreshnessBound time.Duration
	// MessageDelay is added to each age in a received report, to account for
	// its time in transit. While no message takes longer, ages are never
	// underestimated, however many nodes relayed the information.
	MessageDelay time.Duration
	// Random is the source of the random delays.
	Random *rand.Rand
}

// DefaultFollowerConfig returns a config with the documented timings. The
// caller must set Self, Zone, Zones and Random.
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

// validate returns all findings about the configuration, joined.
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

// ReadDone is the answer to a FollowerRead. Changes[i] is the record at offset
// From+i. End is the offset that the next append would have got.
type ReadDone struct {
	// Request and From are copied from the FollowerRead.
	Request uint64
	From    uint64
	Changes [][]byte
	End     uint64
	Err     error
}

// FollowerRead is a request to the driver to read the settings stream. The
// driver answers with a ReadDone that has the same Request and From.
type FollowerRead struct {
	// Request distinguishes the answer to this read from a late answer to an
	// earlier read, whose End may be out of date.
	Request uint64
	From    uint64
	Maximum int
}

// FollowerReady holds the actions that a Follower requests from its driver,
// and its results.
type FollowerReady struct {
	// Read is nil if no read is due.
	Read *FollowerRead
	// FetchFrom is a peer that holds newer settings, set after a failed read
	// of the stream. The driver requests its Export and passes the answer to
	// Import. A failed fetch need not be reported: the next failed read
	// requests another one.
	FetchFrom machine.ID
	// Verdicts holds the verdicts since the last Ready, in stream order.
	Verdicts []Verdict
	// Changed is true if the revision has increased since the last Ready.
	Changed bool
}

// Follower keeps a Tree up to date with the settings stream. It is a state
// machine without I/O: the driver performs its reads and passes in answers,
// peers' reports and the time. Only its Tree may be used concurrently.
type Follower struct {
	config FollowerConfig
	tree   *Tree

	// known is the highest position known to exist. behindSince is when it
	// first exceeded the position held.
	known       uint64
	behindSince time.Time
	// confirmedAt is the last time at which the position held was known to be
	// the end of the stream.
	confirmedAt time.Time

	// reading is true while a read is in flight. request, readOffset and
	// readIssuedAt describe it.
	reading      bool
	request      uint64
	readOffset   uint64
	readIssuedAt time.Time
	nextReadAt   time.Time
	failedReads  int

	peers          map[machine.ID]peerReport
	nextPeerExpiry time.Time
	// zoneAgreedAt holds, per zone, the last time at which a node there was
	// known to hold agreedPosition and to know of no newer record.
	// peerAgreedAt is when a report with that content was last received
	// directly from a peer.
	zoneAgreedAt   map[zone.Name]time.Time
	peerAgreedAt   time.Time
	agreedPosition uint64
	verdicts       []Verdict
	// reportedRevision is the revision at the time of the last Ready.
	reportedRevision Revision
	readPending      bool
	fetchFrom        machine.ID
}

// NewFollower returns a follower with an empty tree, which will read the
// stream from its start. The error joins all findings about the config.
func NewFollower(config FollowerConfig) (*Follower, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Follower{config: config, tree: NewTree(), peers: map[machine.ID]peerReport{}, zoneAgreedAt: map[zone.Name]time.Time{}}, nil
}

// Tree returns the settings tree. It is the same object for the lifetime of
// the follower.
func (f *Follower) Tree() *Tree { return f.tree }

// Tick starts a read that is due, and treats one that has timed out as failed.
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

// retry schedules the next read after a failure.
func (f *Follower) retry(now time.Time) {
	f.failedReads++
	backoff := retry.Backoff{Minimum: f.config.RetryInterval, Maximum: f.config.MaximumRetryInterval, Random: f.config.Random}
	f.nextReadAt = now.Add(backoff.Delay(f.failedReads))
	f.fetchFrom = f.newestPeer()
}

// newestPeer returns the peer with the newest settings, if they are newer than
// those held here. Ties are broken by the lowest ID.
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

// Step handles the answer to a read.
func (f *Follower) Step(now time.Time, done ReadDone) {
	if !f.reading || done.Request != f.request || done.From != f.readOffset {
		return // an answer to an abandoned read
	}
	f.reading = false
	f.readPending = false
	if done.Err != nil {
		f.retry(now)
		return
	}
	position := f.tree.Position()
	if skip := position - done.From; skip < uint64(len(done.Changes)) {
		// An import may have advanced the position while the read was in flight.
		f.verdicts = append(f.verdicts, f.tree.applyBatch(position, done.Changes[skip:])...)
	}
	f.raiseKnown(now, max(done.End, done.From+uint64(len(done.Changes))))
	if done.End == f.tree.Position() && f.readIssuedAt.After(f.confirmedAt) {
		f.confirmedAt = f.readIssuedAt
	}
	f.schedule(now, f.tree.Position() > position)
}

// schedule schedules the next read after an answered one. A read that returned
// nothing new although newer records are known to exist counts as failed: the
// service that answered may itself be behind.
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

// raiseKnown records that the stream is known to extend to position end.
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

// ObserveRevision records that an accepted change of this revision exists. If
// it is newer than the settings held, a read starts at once, unless reads are
// failing: then the backoff stays in force, so that a store that recovers is
// not overloaded by all nodes at once.
func (f *Follower) ObserveRevision(now time.Time, revision Revision) {
	f.raiseKnown(now, uint64(revision))
	if f.known > f.tree.Position() && !f.reading && f.failedReads == 0 {
		f.startRead(now)
	}
}

// ObserveReport handles a peer's report. It does what ObserveRevision does; in
// addition, the report may confirm that the settings held are the newest, or
// that the peer cannot reach the store either.
func (f *Follower) ObserveReport(now time.Time, report Report) {
	if report.Peer == f.config.Self {
		return
	}
	f.expirePeers(now)
	peer := peerReport{report: report, receivedAt: now}
	f.peers[report.Peer] = peer
	f.ObserveRevision(now, Revision(max(report.Known, report.Position)))
	f.recordAgreement(now, report)
	confirmedAt := f.peerConfirmedAt(peer)
	if report.Position == f.tree.Position() && report.Known <= report.Position && confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
}

// Report returns the report that this node sends to its peers.
func (f *Follower) Report(now time.Time) Report {
	current := f.tree.published.Load()
	report := Report{
		Peer: f.config.Self, Zone: f.config.Zone,
		Position: uint64(current.position), Known: f.known,
		ConfirmedAge: neverConfirmedAge, Digest: current.digest.Short(),
	}
	if !f.confirmedAt.IsZero() && f.known <= report.Position {
		report.ConfirmedAge = now.Sub(f.confirmedAt)
	}
	report.ZoneAges = f.zoneAgreementAges(now)
	return report
}

// Ready returns the pending actions and results, and clears them.
func (f *Follower) Ready() FollowerReady {
	ready := FollowerReady{Verdicts: f.verdicts, FetchFrom: f.fetchFrom}
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

// Export returns a snapshot for a peer that cannot read the stream.
func (f *Follower) Export() ([]byte, error) { return f.tree.Export() }

// Import imports a peer's snapshot if it is newer; see Tree.Import. Ready does
// not return the verdicts of the changes in it; use Tree.Verdict.
func (f *Follower) Import(now time.Time, data []byte) error {
	if err := f.tree.Import(data); err != nil {
		return err
	}
	f.raiseKnown(now, f.tree.Position())
	return nil
}
