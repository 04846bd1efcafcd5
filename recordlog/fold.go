package recordlog

// Verdict is the result of adding an entry to a Fold.
type Verdict string

// The verdicts of a Fold.
const (
	// VerdictValid: the entry takes effect.
	VerdictValid Verdict = "valid"
	// VerdictDuplicate: the entry is a copy of one that already took effect.
	VerdictDuplicate Verdict = "duplicate"
	// VerdictVoid: the entry never takes effect, for any reader.
	VerdictVoid Verdict = "void"
)

// Debt describes an epoch whose mirrors may hold records after Sequence that
// the log does not have. There is at most one such epoch: an epoch opens only
// after the previous debt has been recovered, and an epoch that never opened
// has no records.
type Debt struct {
	Epoch uint64
	// Sequence is the last sequence of the epoch that the log has, including
	// records that later epochs reproposed.
	Sequence uint64
	Mirrors  []Mirror
	// Writer is the writer that won the epoch. While its process runs, it is
	// the best source of the epoch's unlogged entries.
	Writer string
}

// Fold is the result of processing the entries of a stream in offset order. It
// decides which entries are valid. Every reader reaches the same verdicts,
// whichever snapshot it starts from. The zero Fold starts at offset zero.
type Fold struct {
	// NextOffset is the offset of the next entry to add.
	NextOffset uint64
	// Epoch is the newest epoch and Writer its winner.
	Epoch  uint64
	Writer string
	// Sequence is the last valid sequence of Epoch. The claim has sequence
	// zero.
	Sequence uint64
	// Mirrors is the newest mirror set of Epoch.
	Mirrors MirrorSet
	Debt    *Debt
	// Snapshot is the offset of the newest complete snapshot, or zero.
	Snapshot uint64
	// SnapshotBytes is the size of that snapshot. Records and Bytes are the
	// number and size of the valid records after its first part.
	SnapshotBytes int
	Records       int
	Bytes         int

	// atSnapshotStart is true after StartAt, until the first entry is added.
	atSnapshotStart bool
	partial         partialSnapshot
}

// partialSnapshot tracks an incomplete snapshot. recordsBefore and bytesBefore
// are Records and Bytes of the Fold at its first part.
type partialSnapshot struct {
	first         uint64
	partsSeen     int
	bytes         int
	recordsBefore int
	bytesBefore   int
}

// StartAt resets the fold to start with the first part of a snapshot. The
// header and mirror set of that entry replace the earlier entries.
func (f *Fold) StartAt(snapshot uint64) {
	*f = Fold{NextOffset: snapshot, atSnapshotStart: true}
}

// Add processes the entry at NextOffset.
func (f *Fold) Add(entry Entry) Verdict {
	offset := f.NextOffset
	f.NextOffset++
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

// IsSnapshotStart reports whether a Fold may start at the entry.
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

// addClaim processes a claim. It is valid if it is the first claim of the epoch
// that directly follows the newest one.
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
