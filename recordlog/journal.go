package recordlog

import (
	"encoding/json"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/retry"
)

// phase is how far a Journal has got with its stream.
type phase int

const (
	// phaseIdle: nothing was asked for, or Peek has answered.
	phaseIdle phase = iota
	// phasePeeking: the end of the stream is being read.
	phasePeeking
	// phaseReading: the stream is read from the newest snapshot on.
	phaseReading
	// phaseCaughtUp: everything up to the last known end is folded.
	phaseCaughtUp
	// phaseClaiming: a claim of this writer waits for its place in the log.
	phaseClaiming
	// phaseOpen: the claim won; records may be proposed.
	phaseOpen
	// phaseSuperseded: another writer's claim ended this writer's epoch, or
	// won against its claim.
	phaseSuperseded
)

// pending is an entry that the log has not confirmed.
type queuedEntry struct {
	entry Entry
	// token is zero when nobody waits for the entry.
	token Token
}

// Ready is what a Journal wants done and what it found.
type Ready struct {
	Appends   []Append
	Reads     []Read
	Recovered []Recovered
	Confirmed []Confirmed
}

// empty reports whether there is nothing to do.
func (r Ready) empty() bool {
	return len(r.Appends) == 0 && len(r.Reads) == 0 && len(r.Recovered) == 0 &&
		len(r.Confirmed) == 0
}

// requestBaseShift leaves room above the random number from which the requests
// of a Journal count. Two journals of one stream in one process, one after the
// other, thus do not take each other's late answers for their own.
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
	// mirrored is the sequence up to which MarkMirrored was told.
	mirroredSequence uint64
	appender         appender
	reader           reader
	// replaying is set while the parts of the snapshot that the fold started
	// with are delivered; later snapshots hold nothing new. Records between
	// the parts wait in replayLater.
	replaying       bool
	deferredRecords []Recovered
	// snapshotting is set while a proposed snapshot is not complete, and
	// parts are those of its parts that were not queued yet.
	snapshotting  bool
	snapshotParts []Entry
	// mirrors is the newest mirror set that was folded or proposed.
	mirrors MirrorSet

	// rest is what was left when another claim won.
	unlogged Rest

	lastRequest uint64
	ready       Ready
}

// Tail is the end of a stream as the last Peek saw it.
type Tail struct {
	// End is the offset that the next append would have got.
	End uint64
	// Last is the last entry, which may be void. It is unset if End is zero.
	Last Entry
}

// New returns an idle Journal, or every finding about the config.
func New(config Config) (*Journal, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	j := &Journal{config: config, lastRequest: config.Random.Uint64() >> requestBaseShift}
	j.Reset()
	return j, nil
}

// Reset forgets the stream, the claim and everything unconfirmed. Answers to
// earlier requests are ignored from then on. Tokens go on growing.
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
	j.unlogged = Rest{}
	j.mirrors = MirrorSet{}
	j.ready = Ready{}
}

// Peek reads the last entry of the stream. Peeked tells when it is known.
func (j *Journal) Peek(now time.Time) {
	j.now = now
	j.Reset()
	j.phase = phasePeeking
	j.reader.schedule(Read{Tail: true, Maximum: 1})
}

// Peeked returns the end of the stream once Peek has read it.
func (j *Journal) Peeked() (Tail, bool) {
	return j.tail, j.peeked
}

// CatchUp reads the stream from the newest snapshot to its end, delivering
// what counts as Recovered. Peek must have answered. Called again, it reads
// on from where it got to.
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

// CaughtUp reports whether everything up to the last known end is folded.
func (j *Journal) CaughtUp() bool {
	return j.phase == phaseCaughtUp
}

// Fold returns what the entries read so far add up to.
func (j *Journal) Fold() Fold {
	return j.fold
}

// Claim appends a claim of the next epoch for owner. CaughtUp must hold.
// Afterwards either Open or Superseded will hold.
func (j *Journal) Claim(now time.Time, owner machine.ID) {
	j.now = now
	j.phase = phaseClaiming
	j.epoch = j.fold.Epoch + 1
	j.nextSequence = 0
	j.enqueue(Entry{Kind: KindClaim, Claim: &Claim{Owner: owner}}, 0)
}

// Claiming reports whether a claim waits for its place in the log.
func (j *Journal) Claiming() bool {
	return j.phase == phaseClaiming
}

// Open reports whether the claim of this writer holds, as far as it knows.
func (j *Journal) Open() bool {
	return j.phase == phaseOpen
}

// Superseded reports whether another writer's claim ended this writer's epoch,
// or won against its claim. Nothing more of it is confirmed.
func (j *Journal) Superseded() bool {
	return j.phase == phaseSuperseded
}

// TakeFound returns what was found and not handed out yet, and forgets it.
func (j *Journal) TakeFound() Ready {
	results := Ready{Recovered: j.ready.Recovered, Confirmed: j.ready.Confirmed}
	j.ready.Recovered = nil
	j.ready.Confirmed = nil
	return results
}

// Epoch is the epoch that this writer claimed last, zero if none.
func (j *Journal) Epoch() uint64 {
	return j.epoch
}

// Propose queues a record for the next append. The returned token comes back
// in Confirmed. The payload must not be changed afterwards.
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

// Repeat queues a record of an older epoch that only mirrors held. It comes
// back in Recovered once the log has it. The bound on unconfirmed bytes does
// not apply: mirrors hold no more than the old owner's bound.
func (j *Journal) Repeat(now time.Time, old Entry) {
	j.now = now
	origin := &Origin{Epoch: old.Epoch, Sequence: old.Sequence}
	j.enqueue(Entry{Kind: KindRecord, Origin: origin, Payload: old.Payload}, 0)
}

// ProposeMirrors queues a mirror set. The returned sequence is its place in
// the epoch.
func (j *Journal) ProposeMirrors(now time.Time, set MirrorSet) uint64 {
	j.now = now
	j.mirrors = set
	j.enqueue(Entry{Kind: KindMirrors, Mirrors: &set}, 0)
	return j.nextSequence - 1
}

// ProposeSnapshot queues the parts of a snapshot of the state as of every
// proposal so far. The first part takes its place at once, the others go with
// later appends, one each, so that records need not wait for a large snapshot.
// The bound on unconfirmed bytes does not apply to the parts.
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

// WantsSnapshot reports whether the records after the newest snapshot
// outnumber SnapshotEvery and outweigh that snapshot, and none is under way.
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

// HasReady reports whether Ready has anything to do.
func (j *Journal) HasReady() bool {
	return !j.ready.empty() || j.reader.due(j.now) || j.canAppend()
}

// Ready returns what is to be done and forgets it.
func (j *Journal) Ready() Ready {
	j.startRead()
	j.startAppend()
	ready := j.ready
	j.ready = Ready{}
	return ready
}

// nextRequest numbers the requests of a journal for its whole life.
func (j *Journal) nextRequest() uint64 {
	j.lastRequest++
	return j.lastRequest
}

// Tick lets requests time out and be repeated.
func (j *Journal) Tick(now time.Time) {
	j.now = now
	if j.appender.expired(now) {
		j.appendFailed()
	}
	if j.reader.expired(now) {
		j.readFailed()
	}
}

// NextWake returns when Tick is due, or the zero time.
func (j *Journal) NextWake() time.Time {
	return earliest(j.appender.nextWake(j.now, len(j.queue) > 0), j.reader.nextWake(j.now))
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
