package recordlog

import (
	"time"

	"birchwood.example/birchwood/retry"
)

// reader tracks the read in flight, at most one, and the next read.
type reader struct {
	backoff retry.Backoff
	// pending is true while next has not been sent, or must be retried.
	pending  bool
	next     Read
	request  uint64
	deadline time.Time
	retryAt  time.Time
	// target is the offset up to which a writer must read before it appends
	// again. fillingGap is true while it reads up to there, after the log has
	// answered an append.
	target     uint64
	fillingGap bool
}

func (r *reader) schedule(read Read) {
	r.next = read
	r.pending = true
	r.request = 0
}

// busy reports whether a read is pending or in flight.
func (r *reader) busy() bool {
	return r.pending || r.request != 0
}

func (r *reader) due(now time.Time) bool {
	return r.pending && !now.Before(r.retryAt)
}

func (r *reader) expired(now time.Time) bool {
	return r.request != 0 && !now.Before(r.deadline)
}

func (r *reader) nextWake(now time.Time) time.Time {
	if r.request != 0 {
		return r.deadline
	}
	if r.pending && r.retryAt.After(now) {
		return r.retryAt
	}
	return time.Time{}
}

func (j *Journal) startRead() {
	if !j.reader.due(j.now) {
		return
	}
	read := j.reader.next
	if j.phase != phasePeeking {
		read.From = j.fold.NextOffset
	}
	read.Request = j.nextRequest()
	j.reader.pending = false
	j.reader.request = read.Request
	j.reader.deadline = j.now.Add(j.config.AppendTimeout)
	j.ready.Reads = append(j.ready.Reads, read)
}

// readFailed schedules the retry of the read in flight.
func (j *Journal) readFailed() {
	j.reader.request = 0
	j.reader.pending = true
	j.reader.retryAt = j.now.Add(j.reader.backoff.Next())
}

// readNext schedules a read from the fold's next offset.
func (j *Journal) readNext() {
	j.reader.schedule(Read{From: j.fold.NextOffset, Maximum: j.config.ReadBatch})
}

// readUpTo makes a writer read and apply all entries before the target offset
// before it appends again.
func (j *Journal) readUpTo(target uint64) {
	j.reader.target = max(j.reader.target, target)
	j.reader.fillingGap = true
	if j.fold.NextOffset < j.reader.target && !j.reader.busy() {
		j.readNext()
	}
}

// CheckSuperseded makes a writer read to the end of the stream, to find out
// whether another node has claimed a later epoch.
func (j *Journal) CheckSuperseded(now time.Time) {
	j.now = now
	if j.phase == phaseOpen && !j.reader.busy() {
		j.readNext()
	}
}

// ReadDone handles the answer to a Read.
func (j *Journal) ReadDone(now time.Time, answer ReadDone) {
	j.now = now
	if answer.Request != j.reader.request || j.reader.request == 0 {
		return
	}
	if answer.Err != nil {
		j.readFailed()
		return
	}
	j.reader.request = 0
	if j.phase == phasePeeking {
		j.handlePeekAnswer(answer)
		return
	}
	j.handleReadAnswer(answer)
}

// handlePeekAnswer records the end of the stream, or schedules a read of the
// last entry if the answer does not contain it. The answer to that second read
// is accepted even if the stream has grown: its entry was recently the last.
func (j *Journal) handlePeekAnswer(answer ReadDone) {
	end := answer.FirstOffset + uint64(len(answer.Entries))
	holdsLast := len(answer.Entries) > 0 && (end >= answer.End || !j.reader.next.Tail)
	if answer.End > 0 && !holdsLast {
		j.reader.schedule(Read{From: answer.End - 1, Maximum: 1})
		return
	}
	j.reader.backoff.Reset()
	j.tail = Tail{End: answer.End}
	if answer.End > 0 {
		j.tail.Last = answer.Entries[len(answer.Entries)-1]
	}
	j.peeked = true
	j.phase = phaseIdle
}

func (j *Journal) handleReadAnswer(answer ReadDone) {
	if answer.FirstOffset > j.fold.NextOffset {
		j.readFailed()
		return
	}
	// An append that was confirmed in the meantime may have applied some or
	// all of the entries.
	skip := min(j.fold.NextOffset-answer.FirstOffset, uint64(len(answer.Entries)))
	entries := answer.Entries[skip:]
	if j.fold.atSnapshotStart && len(entries) > 0 && !IsSnapshotStart(entries[0]) {
		j.fold = Fold{}
		j.replaying = false
		j.readNext()
		return
	}
	phase := j.phase
	for _, entry := range entries {
		j.applyEntry(entry)
		if j.phase == phaseSuperseded {
			return
		}
	}
	j.continueReading(answer.End, len(entries) > 0, phase)
}

// continueReading decides whether to read further: up to the stream's end, and
// for a writer at least up to the target, because the reported end may lag.
func (j *Journal) continueReading(end uint64, progress bool, phase phase) {
	target := max(j.reader.target, end)
	if j.fold.NextOffset < target {
		j.readNext()
		if !progress {
			j.readFailed()
		}
		return
	}
	j.reader.backoff.Reset()
	j.reader.retryAt = time.Time{}
	if phase == phaseReading {
		j.phase = phaseCaughtUp
		j.mirrors = j.fold.Mirrors
		return
	}
	if j.reader.fillingGap {
		j.reader.fillingGap = false
		j.recordLogAnswer()
	}
}
