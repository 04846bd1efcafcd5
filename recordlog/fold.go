package recordlog

// Verdict is what the fold makes of one entry.
type Verdict string

// The verdicts of a Fold.
const (
	// VerdictValid: the entry counts.
	VerdictValid Verdict = "valid"
	// VerdictDuplicate: a copy of an entry that counted already.
	VerdictDuplicate Verdict = "duplicate"
	// VerdictVoid: the entry never counts, for any reader.
	VerdictVoid Verdict = "void"
)

// Debt is an epoch whose mirrors may hold records after Sequence that the log
// does not have. At most one epoch is in debt: an epoch opens only after the
// debt before it is settled, and an epoch that never opened has no records.
type Debt struct {
	Epoch uint64
	// Sequence is the last sequence of the epoch that the log has, counting
	// the copies that later epochs appended.
	Sequence uint64
	Mirrors  []Mirror
	// Writer won the epoch. While its process lives it knows best what it had
	// not logged.
	Writer string
}

// Fold reads the entries of a stream in offset order and decides which count.
// Every reader comes to the same verdicts, from whichever snapshot it starts.
// The zero Fold starts at offset zero.
type Fold struct {
	// Next is the offset of the next entry to add.
	Next uint64
	// Epoch is the newest epoch and Writer its winner.
	Epoch  uint64
	Writer string
	// Sequence is the last valid sequence of Epoch; its claim has zero.
	Sequence uint64
	// Mirrors is the newest mirror set of Epoch.
	Mirrors MirrorSet
	Debt    *Debt
	// Snapshot is the offset of the newest complete snapshot, zero if none.
	Snapshot uint64
	// SnapshotBytes is its size. Records and Bytes count the valid records
	// after its first part.
	SnapshotBytes int
	Records       int
	Bytes         int

	// adopt is set until the first entry after StartAt was added.
	atSnapshotStart bool
	partial         partialSnapshot
}

// partialSnapshot follows the parts of a snapshot until the last one stands.
type partialSnapshot struct {
	first         uint64
	partsSeen     int
	bytes         int
	recordsBefore int
	bytesBefore   int
}

// StartAt sets the fold to start with the first part of a snapshot, whose
// header and mirror set tell what came before.
func (f *Fold) StartAt(snapshot uint64) {
	*f = Fold{Next: snapshot, atSnapshotStart: true}
}

// Add folds the entry at offset Next.
func (f *Fold) Add(entry Entry) Verdict {
	offset := f.Next
	f.Next++
	if f.atSnapshotStart {
		f.atSnapshotStart = false
		f.adoptSnapshot(entry)
	}
	if !entry.wellFormed() {
		return VerdictVoid
	}
	if entry.Kind == KindClaim {
		return f.addClaim(entry)
	}
	if entry.Epoch != f.Epoch || entry.Writer != f.Writer {
		return VerdictVoid
	}
	if entry.Sequence <= f.Sequence {
		return VerdictDuplicate
	}
	if entry.Sequence != f.Sequence+1 {
		return VerdictVoid
	}
	f.Sequence = entry.Sequence
	f.apply(offset, entry)
	return VerdictValid
}

// IsSnapshotStart reports whether a fold may start at the entry.
func IsSnapshotStart(entry Entry) bool {
	return entry.Kind == KindSnapshot && entry.Part != nil && entry.Part.Index == 0 && entry.Sequence > 0
}

func (f *Fold) adoptSnapshot(entry Entry) {
	f.Epoch = entry.Epoch
	f.Writer = entry.Writer
	f.Sequence = entry.Sequence - 1
	if entry.Part.Mirrors != nil {
		f.Mirrors = *entry.Part.Mirrors
	}
}

// addClaim folds a claim: it counts if it is the first of the epoch directly
// after the newest one.
func (f *Fold) addClaim(entry Entry) Verdict {
	if entry.Epoch == f.Epoch && entry.Writer == f.Writer {
		return VerdictDuplicate
	}
	if entry.Epoch != f.Epoch+1 {
		return VerdictVoid
	}
	if len(f.Mirrors.Members) > 0 {
		f.Debt = &Debt{Epoch: f.Epoch, Sequence: f.Sequence, Mirrors: f.Mirrors.Members, Writer: f.Writer}
	}
	f.Epoch = entry.Epoch
	f.Writer = entry.Writer
	f.Sequence = 0
	f.Mirrors = MirrorSet{}
	f.partial = partialSnapshot{}
	return VerdictValid
}

func (f *Fold) apply(offset uint64, entry Entry) {
	switch entry.Kind {
	case KindRecord:
		f.Records++
		f.Bytes += entry.Size()
		if entry.Origin != nil && f.Debt != nil && entry.Origin.Epoch == f.Debt.Epoch {
			f.Debt.Sequence = entry.Origin.Sequence
		}
	case KindMirrors:
		f.Debt = nil
		f.Mirrors = *entry.Mirrors
	case KindSnapshot:
		f.applyPart(offset, entry)
	}
}

func (f *Fold) applyPart(offset uint64, entry Entry) {
	if entry.Part.Index == 0 {
		f.partial = partialSnapshot{first: offset, recordsBefore: f.Records, bytesBefore: f.Bytes}
	}
	if entry.Part.Index != f.partial.partsSeen {
		return
	}
	f.partial.partsSeen++
	f.partial.bytes += entry.Size()
	if f.partial.partsSeen < entry.Part.Count {
		return
	}
	f.Snapshot = f.partial.first
	f.SnapshotBytes = f.partial.bytes
	f.Records -= f.partial.recordsBefore
	f.Bytes -= f.partial.bytesBefore
	f.partial = partialSnapshot{}
}
