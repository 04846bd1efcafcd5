package recordlog

import (
	"math"
	"time"

	"birchwood.example/birchwood/retry"
)

// appender tracks the append in flight. There is at most one.
type appender struct {
	backoff retry.Backoff
	// request identifies the append in flight, zero if there is none. entries
	// is its content.
	request  uint64
	entries  []Entry
	deadline time.Time
	// retryAt is the earliest time of the next append after a failed one.
	retryAt time.Time
	// unansweredSince is when the oldest unconfirmed entry was queued, or when
	// the log last answered, if that is later. It is zero if the queue is
	// empty.
	unansweredSince time.Time
	// failing is true from a failed append until the log answers again.
	failing bool
}

func (a *appender) expired(now time.Time) bool {
	return a.request != 0 && !now.Before(a.deadline)
}

func (a *appender) nextWake(now time.Time, hasQueued bool) time.Time {
	if a.request != 0 {
		return a.deadline
	}
	if hasQueued && a.retryAt.After(now) {
		return a.retryAt
	}
	return time.Time{}
}

// canAppend reports whether the next append may start. There is one append in
// flight at a time, and none while a read is pending.
func (j *Journal) canAppend() bool {
	return (j.phase == phaseOpen || j.phase == phaseClaiming) &&
		j.appender.request == 0 && !j.reader.busy() &&
		(len(j.queue) > 0 || len(j.snapshotParts) > 0) && !j.now.Before(j.appender.retryAt)
}

// startAppend requests an append of the oldest unconfirmed entries.
func (j *Journal) startAppend() {
	if !j.canAppend() {
		return
	}
	if len(j.snapshotParts) > 0 && (len(j.queue) == 0 || !j.appender.failing) {
		j.enqueuePart()
	}
	entries := j.nextBatch()
	j.appender.request = j.nextRequest()
	j.appender.entries = entries
	j.appender.deadline = j.now.Add(j.config.AppendTimeout)
	j.ready.Appends = append(j.ready.Appends, Append{Request: j.appender.request, Entries: entries})
}

// nextBatch returns a copy of the head of the queue, within the bounds of a
// batch but at least one entry.
func (j *Journal) nextBatch() []Entry {
	count := min(len(j.queue), j.config.MaximumBatchRecords)
	entries := make([]Entry, 0, count)
	bytes := 0
	for _, queued := range j.queue[:count] {
		bytes += queued.entry.Size()
		if len(entries) > 0 && bytes > j.config.MaximumBatchBytes {
			break
		}
		entries = append(entries, queued.entry)
	}
	return entries
}

// Appended handles the answer to an Append.
func (j *Journal) Appended(now time.Time, answer Appended) {
	j.now = now
	if answer.Request != j.appender.request || j.appender.request == 0 {
		j.handleLateAnswer(answer)
		return
	}
	if answer.Err != nil {
		j.appendFailed()
		return
	}
	entries := j.appender.entries
	j.appender.request = 0
	j.appender.entries = nil
	j.appender.backoff.Reset()
	j.appender.retryAt = time.Time{}
	j.applyAppended(answer.FirstOffset, entries)
}

// applyAppended handles entries of this writer that were appended at offset. If
// they directly follow the last applied entry, no other entry can precede them.
// Otherwise the gap is read first, together with the entries.
func (j *Journal) applyAppended(offset uint64, entries []Entry) {
	if offset != j.fold.NextOffset {
		j.readUpTo(offset + uint64(len(entries)))
		return
	}
	for _, entry := range entries {
		j.applyEntry(entry)
	}
	j.recordLogAnswer()
}

// recordLogAnswer records that the log answered: for entries that are still
// unconfirmed, the wait starts anew.
func (j *Journal) recordLogAnswer() {
	j.appender.failing = false
	j.appender.unansweredSince = time.Time{}
	if len(j.queue) > 0 {
		j.appender.unansweredSince = j.now
	}
}

// handleLateAnswer handles the answer to an append that had timed out. Success
// proves that the entries are in the log, so reading finds them.
func (j *Journal) handleLateAnswer(answer Appended) {
	writing := j.phase == phaseOpen || j.phase == phaseClaiming
	if answer.Err == nil && writing && answer.FirstOffset >= j.fold.NextOffset {
		j.readUpTo(answer.FirstOffset + 1)
	}
}

// appendFailed abandons the append in flight and schedules the retry.
func (j *Journal) appendFailed() {
	j.appender.failing = true
	j.appender.request = 0
	j.appender.entries = nil
	j.appender.retryAt = j.now.Add(j.appender.backoff.Next())
}

// UnansweredSince returns since when unconfirmed entries have been waiting
// without any answer from the log, or the zero time if there are none.
func (j *Journal) UnansweredSince() time.Time {
	return j.appender.unansweredSince
}

// UnconfirmedBytes returns the size of the proposed records that the log has
// not confirmed.
func (j *Journal) UnconfirmedBytes() int {
	return j.queueBytes
}

// Unconfirmed returns the entries after a sequence that the log has not
// confirmed, oldest first: as many as fit in maximumBytes, but at least one.
// Snapshot parts are returned without their payload, which only repeats the
// content of the records before it.
func (j *Journal) Unconfirmed(after uint64, maximumBytes int) []Entry {
	first := j.unconfirmedIndex(after)
	var entries []Entry
	bytes := 0
	for _, queued := range j.queue[min(first, len(j.queue)):] {
		entry := queued.entry
		if entry.Kind == KindSnapshot {
			entry.Payload = nil
		}
		bytes += entry.Size()
		if len(entries) > 0 && bytes > maximumBytes {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// unconfirmedIndex returns the index in the queue of the entry after a
// sequence. The queue has no gaps.
func (j *Journal) unconfirmedIndex(after uint64) int {
	if len(j.queue) == 0 || after < j.queue[0].entry.Sequence {
		return 0
	}
	return int(after - j.queue[0].entry.Sequence + 1)
}

// LastSequence returns the sequence of the newest proposed entry of the epoch.
func (j *Journal) LastSequence() uint64 {
	if j.nextSequence == 0 {
		return 0
	}
	return j.nextSequence - 1
}

// Unlogged holds the entries of a writer's epoch that it proposed and that the
// log has not confirmed. When the writer loses its epoch, they remain unlogged.
type Unlogged struct {
	Epoch uint64
	// LoggedSequence is the last sequence of the epoch that the log has
	// confirmed.
	LoggedSequence uint64
	Entries        []Entry
}

// Unlogged returns this writer's unlogged entries; after it was superseded,
// those of the time when that happened.
func (j *Journal) Unlogged() Unlogged {
	if j.phase == phaseSuperseded {
		return j.unlogged
	}
	unlogged := Unlogged{Epoch: j.epoch, LoggedSequence: j.LastSequence()}
	if len(j.queue) > 0 {
		unlogged.LoggedSequence = j.queue[0].entry.Sequence - 1
		unlogged.Entries = j.Unconfirmed(unlogged.LoggedSequence, math.MaxInt)
	}
	return unlogged
}

// MarkMirrored confirms every proposal up to the sequence, because a quorum of
// the mirrors holds them. Each is confirmed again once the log has it.
func (j *Journal) MarkMirrored(sequence uint64) {
	first := min(j.unconfirmedIndex(j.mirroredSequence), len(j.queue))
	for _, queued := range j.queue[first:] {
		if queued.entry.Sequence > sequence {
			break
		}
		if queued.token != 0 {
			j.ready.Confirmed = append(j.ready.Confirmed, Confirmed{Token: queued.token, Offset: NoOffset})
		}
	}
	j.mirroredSequence = max(j.mirroredSequence, sequence)
}

// applyEntry applies the next entry of the stream. If the entry is valid, it
// confirms a proposal of this writer, ends this writer's epoch, or is delivered
// as recovered.
func (j *Journal) applyEntry(entry Entry) {
	offset := j.fold.NextOffset
	verdict := j.fold.Add(entry)
	if verdict != VerdictValid {
		return
	}
	if j.epoch != 0 && entry.Epoch == j.epoch && entry.Writer == j.config.Writer {
		j.confirm(offset, entry)
		return
	}
	if j.epoch != 0 && j.fold.Epoch >= j.epoch {
		j.supersede()
		return
	}
	j.recover(offset, entry)
}

// confirm removes the head of the queue, which the log now has.
func (j *Journal) confirm(offset uint64, entry Entry) {
	head := j.queue[0]
	j.queue[0] = queuedEntry{}
	j.queue = j.queue[1:]
	if head.token != 0 {
		j.queueBytes -= head.entry.Size()
	}
	switch {
	case entry.Kind == KindClaim:
		j.phase = phaseOpen
	case head.token != 0:
		j.ready.Confirmed = append(j.ready.Confirmed, Confirmed{Token: head.token, Offset: offset})
	case entry.Kind == KindRecord:
		j.ready.Recovered = append(j.ready.Recovered, Recovered{Offset: offset, Payload: entry.Payload})
	case entry.Kind == KindSnapshot && entry.Part.Index == entry.Part.Count-1:
		j.snapshotting = false
	}
}

// recover delivers an entry of another writer or of an earlier epoch. Records
// between the parts of the snapshot are delivered after its last part.
func (j *Journal) recover(offset uint64, entry Entry) {
	recovered := Recovered{Offset: offset, Snapshot: entry.Kind == KindSnapshot, Payload: entry.Payload}
	switch {
	case entry.Kind == KindRecord && j.replaying:
		j.deferredRecords = append(j.deferredRecords, recovered)
	case entry.Kind == KindRecord:
		j.ready.Recovered = append(j.ready.Recovered, recovered)
	case entry.Kind == KindSnapshot && j.replaying:
		j.ready.Recovered = append(j.ready.Recovered, recovered)
		if entry.Part.Index == entry.Part.Count-1 {
			j.ready.Recovered = append(j.ready.Recovered, j.deferredRecords...)
			j.deferredRecords = nil
			j.replaying = false
		}
	}
}

// supersede ends the epoch of this writer, because another claim won. Results
// that were obtained before remain valid and are kept.
func (j *Journal) supersede() {
	results := j.TakeResults()
	unlogged := j.Unlogged()
	j.Reset()
	j.unlogged = unlogged
	j.ready = results
	j.phase = phaseSuperseded
}
