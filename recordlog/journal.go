package recordlog

import (
	"encoding/json"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/retry"
)

// phase is the state of a Journal with respect to its stream.
type phase int

const (
	// phaseIdle: nothing was requested yet, or Peek is complete.
	phaseIdle phase = iota
	// phasePeeking: the last entry of the stream is being read.
	phasePeeking
	// phaseReading: the stream is being read from the newest snapshot.
	phaseReading
	// phaseCaughtUp: all entries up to the last known end are applied.
	phaseCaughtUp
	// phaseClaiming: a claim of this writer is not in the log yet.
	phaseClaiming
	// phaseOpen: the claim won; records may be proposed.
	phaseOpen
	// phaseSuperseded: another writer's claim ended this writer's epoch, or
	// won against its claim.
	phaseSuperseded
)

// queuedEntry is an entry that the log has not confirmed.
type queuedEntry struct {
	entry Entry
	// token is zero if no Confirmed is to be delivered for the entry.
	token Token
}

// Ready holds the requests that the caller must perform and the results that
// the Journal obtained.
type Ready struct {
	Appends   []Append
	Reads     []Read
	Recovered []Recovered
	Confirmed []Confirmed
}

func (r Ready) empty() bool {
	return len(r.Appends) == 0 && len(r.Reads) == 0 && len(r.Recovered) == 0 &&
		len(r.Confirmed) == 0
}

// requestBaseShift shifts the random number that a Journal's request numbers
// start from, so that they cannot overflow. The start is random so that two
// consecutive journals of one stream in one process do not mistake late answers
// to each other's requests for their own.
const requestBaseShift = 1

// Journal is one writer of one stream. It is not safe for concurrent use.
type Journal struct {
	config Config
	now    time.Time
	phase  phase
	fold   Fold
	tail   Tail
	peeked bool

	// epoch is the epoch that this writer claimed, zero if none.
	epoch        uint64
	nextSequence uint64
	lastToken    Token
	queue        []queuedEntry
	queueBytes   int
	// mirroredSequence is the highest sequence passed to MarkMirrored.
	mirroredSequence uint64
	appender         appender
	reader           reader
	// replaying is true while the parts of the snapshot that the fold started
	// with are delivered; later snapshots hold nothing new. Records between
	// the parts are kept in deferredRecords.
	replaying       bool
	deferredRecords []Recovered
	// snapshotting is true while a proposed snapshot is incomplete.
	// snapshotParts holds its parts that are not queued yet.
	snapshotting  bool
	snapshotParts []Entry
	// mirrors is the newest mirror set that was applied or proposed.
	mirrors MirrorSet

	// unlogged holds the unlogged entries of the time when another claim won.
	unlogged Unlogged

	lastRequest uint64
	ready       Ready
}

// Tail is the end of a stream as of the last Peek.
type Tail struct {
	// End is the offset that the next append would have got.
	End uint64
	// Last is the last entry, which may be void. It is unset if End is zero.
	Last Entry
}

// New returns an idle Journal. The error joins all findings about the config.
func New(config Config) (*Journal, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	j := &Journal{config: config, lastRequest: config.Random.Uint64() >> requestBaseShift}
	j.Reset()
	return j, nil
}

// Reset discards the state of the stream, the claim and all unconfirmed
// entries. Answers to earlier requests are ignored from then on. Tokens are not
// reused.
func (j *Journal) Reset() {
	backoff := retry.Backoff{
		Minimum: j.config.RetryMinimum,
		Maximum: j.config.RetryMaximum,
		Random:  j.config.Random,
	}
	j.phase = phaseIdle
	j.fold = Fold{}
	j.tail = Tail{}
	j.peeked = false
	j.epoch = 0
	j.nextSequence = 0
	j.queue = nil
	j.queueBytes = 0
	j.mirroredSequence = 0
	j.appender = appender{backoff: backoff}
	j.reader = reader{backoff: backoff}
	j.replaying = false
	j.deferredRecords = nil
	j.snapshotting = false
	j.snapshotParts = nil
	j.unlogged = Unlogged{}
	j.mirrors = MirrorSet{}
	j.ready = Ready{}
}

// Peek resets the journal and reads the last entry of the stream. Peeked
// returns it.
func (j *Journal) Peek(now time.Time) {
	j.now = now
	j.Reset()
	j.phase = phasePeeking
	j.reader.schedule(Read{Tail: true, Maximum: 1})
}

// Peeked returns the end of the stream, and whether Peek is complete.
func (j *Journal) Peeked() (Tail, bool) {
	return j.tail, j.peeked
}

// CatchUp reads the stream from the newest snapshot to its end and delivers the
// valid entries as Recovered. Peek must be complete. A further call continues
// after the last entry read.
func (j *Journal) CatchUp(now time.Time) {
	j.now = now
	if j.phase == phaseIdle {
		j.startFold()
	}
	j.phase = phaseReading
	j.readNext()
}

func (j *Journal) startFold() {
	if j.tail.End == 0 {
		return
	}
	if snapshot := j.tail.Last.Snapshot; snapshot > 0 {
		j.fold.StartAt(snapshot)
		j.replaying = true
	}
}

// CaughtUp reports whether all entries up to the last known end are applied.
func (j *Journal) CaughtUp() bool {
	return j.phase == phaseCaughtUp
}

// Fold returns the result of the entries applied so far.
func (j *Journal) Fold() Fold {
	return j.fold
}

// Claim appends a claim of the next epoch for owner. CaughtUp must be true.
// Once the claim is decided, either IsOpen or Superseded is true.
func (j *Journal) Claim(now time.Time, owner machine.ID) {
	j.now = now
	j.phase = phaseClaiming
	j.epoch = j.fold.Epoch + 1
	j.nextSequence = 0
	j.enqueue(Entry{Kind: KindClaim, Claim: &Claim{Owner: owner}}, 0)
}

// Claiming reports whether a claim of this writer is still undecided.
func (j *Journal) Claiming() bool {
	return j.phase == phaseClaiming
}

// IsOpen reports whether this writer's claim won and the writer has found no
// evidence that its epoch ended.
func (j *Journal) IsOpen() bool {
	return j.phase == phaseOpen
}

// Superseded reports whether another writer's claim ended this writer's epoch,
// or won against its claim. No further entries of this writer are confirmed.
func (j *Journal) Superseded() bool {
	return j.phase == phaseSuperseded
}

// TakeResults returns the results that were not delivered yet, and clears them.
func (j *Journal) TakeResults() Ready {
	results := Ready{Recovered: j.ready.Recovered, Confirmed: j.ready.Confirmed}
	j.ready.Recovered = nil
	j.ready.Confirmed = nil
	return results
}

// Epoch returns the epoch that this writer claimed last, zero if none.
func (j *Journal) Epoch() uint64 {
	return j.epoch
}

// Propose queues a record for the next append. Confirmed reports the returned
// token once the record is durable. The payload must not be modified
// afterwards.
func (j *Journal) Propose(now time.Time, payload json.RawMessage) (Token, error) {
	j.now = now
	if j.phase != phaseOpen {
		return 0, ErrNotOpen
	}
	if j.queueBytes+len(payload)+entryOverheadBytes > j.config.MaximumUnconfirmedBytes {
		return 0, ErrFull
	}
	j.lastToken++
	j.enqueue(Entry{Kind: KindRecord, Payload: payload}, j.lastToken)
	return j.lastToken, nil
}

// Repropose queues a record of an older epoch that only mirrors held. It is
// delivered in Recovered once the log has it. MaximumUnconfirmedBytes does not
// apply, because mirrors hold no more than the previous owner's limit.
func (j *Journal) Repropose(now time.Time, old Entry) {
	j.now = now
	origin := &Origin{Epoch: old.Epoch, Sequence: old.Sequence}
	j.enqueue(Entry{Kind: KindRecord, Origin: origin, Payload: old.Payload}, 0)
}

// ProposeMirrors queues a mirror set and returns its sequence in the epoch.
func (j *Journal) ProposeMirrors(now time.Time, set MirrorSet) uint64 {
	j.now = now
	j.mirrors = set
	j.enqueue(Entry{Kind: KindMirrors, Mirrors: &set}, 0)
	return j.nextSequence - 1
}

// ProposeSnapshot queues the parts of a snapshot of the state after all
// proposals so far. The first part is queued at once; each of the others goes
// with a later append, so that records need not wait for a large snapshot.
// MaximumUnconfirmedBytes does not apply to the parts.
func (j *Journal) ProposeSnapshot(now time.Time, snapshotParts []json.RawMessage) error {
	j.now = now
	if j.phase != phaseOpen {
		return ErrNotOpen
	}
	if j.snapshotting || len(snapshotParts) == 0 {
		return ErrSnapshot
	}
	j.snapshotting = true
	for index, payload := range snapshotParts {
		part := &Part{Index: index, Count: len(snapshotParts)}
		j.snapshotParts = append(j.snapshotParts, Entry{Kind: KindSnapshot, Part: part, Payload: payload})
	}
	mirrors := j.mirrors
	j.snapshotParts[0].Part.Mirrors = &mirrors
	j.enqueuePart()
	return nil
}

func (j *Journal) enqueuePart() {
	j.enqueue(j.snapshotParts[0], 0)
	j.snapshotParts = j.snapshotParts[1:]
}

// WantsSnapshot reports whether a new snapshot is due: no snapshot is in
// progress, and the records after the newest one have reached SnapshotEvery in
// number and that snapshot's size in bytes.
func (j *Journal) WantsSnapshot() bool {
	return j.phase == phaseOpen && !j.snapshotting &&
		j.fold.Records >= j.config.SnapshotEvery && j.fold.Bytes >= j.fold.SnapshotBytes
}

func (j *Journal) enqueue(entry Entry, token Token) {
	entry.Writer = j.config.Writer
	entry.Epoch = j.epoch
	entry.Sequence = j.nextSequence
	entry.Snapshot = j.fold.Snapshot
	j.nextSequence++
	if len(j.queue) == 0 {
		j.appender.unansweredSince = j.now
	}
	j.queue = append(j.queue, queuedEntry{entry: entry, token: token})
	if token != 0 {
		j.queueBytes += entry.Size()
	}
}

// HasReady reports whether Ready would return anything.
func (j *Journal) HasReady() bool {
	return !j.ready.empty() || j.reader.due(j.now) || j.canAppend()
}

// Ready returns the pending requests and results, and clears them.
func (j *Journal) Ready() Ready {
	j.startRead()
	j.startAppend()
	ready := j.ready
	j.ready = Ready{}
	return ready
}

// nextRequest returns the next request number, which is unique within a
// Journal.
func (j *Journal) nextRequest() uint64 {
	j.lastRequest++
	return j.lastRequest
}

// Tick schedules the retry of requests that have timed out.
func (j *Journal) Tick(now time.Time) {
	j.now = now
	if j.appender.expired(now) {
		j.appendFailed()
	}
	if j.reader.expired(now) {
		j.readFailed()
	}
}

// NextWake returns when Tick is due, or the zero time if it is not needed.
func (j *Journal) NextWake() time.Time {
	return earliest(j.appender.nextWake(j.now, len(j.queue) > 0), j.reader.nextWake(j.now))
}

// earliest returns the earlier of two times, where the zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
