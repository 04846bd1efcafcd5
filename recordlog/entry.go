package recordlog

import (
	"encoding/json"
	"strconv"
	"strings"

	"birchwood.example/birchwood/machine"
)

// Kind tells what an entry of a stream is.
type Kind string

// The kinds of entry.
const (
	// KindClaim opens an epoch. The first claim of an epoch in offset order
	// wins; it voids every later entry of older epochs.
	KindClaim Kind = "claim"
	// KindRecord carries one record of the owner's state machine.
	KindRecord Kind = "record"
	// KindSnapshot carries one part of the state as of an offset; entries
	// before the first part need not be read again.
	KindSnapshot Kind = "snapshot"
	// KindMirrors names the mirrors that may hold records beyond the log from
	// here on. It also settles the past: everything that earlier mirrors held
	// stands in the log before it. A set without members that is marked
	// Released ends an epoch: its owner writes nothing more.
	KindMirrors Kind = "mirrors"
)

// Header says who wrote an entry and in which order. The triple of writer,
// epoch and sequence is unique: a second entry with the same triple is a
// retried append whose answer was lost, and is dropped.
type Header struct {
	// Writer is the machine and incarnation that wrote the entry, in the form
	// of WriterName.
	Writer   string `json:"w"`
	Epoch    uint64 `json:"e"`
	Sequence uint64 `json:"s"`
	// Snapshot is the offset of the first part of the newest complete
	// snapshot that the writer knew; zero when there is none.
	Snapshot uint64 `json:"n,omitempty"`
}

// Claim is the payload of a KindClaim entry.
type Claim struct {
	Owner machine.ID `json:"owner"`
}

// Mirror is one member of a mirror set. Instance is the writer name of the
// process that agreed to be a mirror: a process that was restarted has another
// one, and no longer counts as a holder of anything.
type Mirror struct {
	ID       machine.ID `json:"id"`
	Instance string     `json:"instance"`
}

// MirrorSet is the payload of a KindMirrors entry.
type MirrorSet struct {
	Members []Mirror `json:"members,omitempty"`
	// Released says that the owner flushed everything and stopped.
	Released bool `json:"released,omitempty"`
	// Unread is the epoch whose mirrors were given up by decision of an
	// operator or of the configured policy: records that only they held are
	// lost. Zero when nothing was given up.
	Unread uint64 `json:"unread,omitempty"`
}

// Part places one entry of KindSnapshot within its snapshot.
type Part struct {
	Index int `json:"i"`
	Count int `json:"c"`
	// Mirrors is the mirror set in force, on the first part.
	Mirrors *MirrorSet `json:"m,omitempty"`
}

// Origin names the entry of an older epoch that a record repeats: a record
// that only mirrors held, and that the next owner appended to the log.
type Origin struct {
	Epoch    uint64 `json:"e"`
	Sequence uint64 `json:"s"`
}

// Entry is what a stream of the log holds at one offset. Claim is set for
// KindClaim, Mirrors for KindMirrors, Part for KindSnapshot.
type Entry struct {
	Header
	Kind    Kind            `json:"k"`
	Claim   *Claim          `json:"c,omitempty"`
	Mirrors *MirrorSet      `json:"m,omitempty"`
	Part    *Part           `json:"t,omitempty"`
	Origin  *Origin         `json:"o,omitempty"`
	Payload json.RawMessage `json:"p,omitempty"`
}

// entryOverheadBytes is what an entry costs besides its payload: the header,
// the field names and the slice and map cells that hold it.
const entryOverheadBytes = 160

// Size is the entry's weight against the byte bounds of this package.
func (e Entry) Size() int {
	return len(e.Payload) + entryOverheadBytes
}

// wellFormed reports whether the entry has what its kind needs. An entry of
// an unknown kind counts for nothing but its sequence.
func (e Entry) wellFormed() bool {
	switch e.Kind {
	case KindClaim:
		return e.Claim != nil && e.Epoch > 0
	case KindMirrors:
		return e.Mirrors != nil
	case KindSnapshot:
		return e.Part != nil && e.Part.Index >= 0 && e.Part.Index < e.Part.Count
	default:
		return true
	}
}

// Token names one proposed record until it is confirmed. Tokens of one
// writer grow by one.
type Token uint64

// writerSeparator divides the machine from the incarnation in a writer name.
const writerSeparator = "/"

// WriterName is the writer name of one process: its machine and the
// incarnation, which must be another one at each start of the process.
func WriterName(id machine.ID, incarnation uint64) string {
	return string(id) + writerSeparator + strconv.FormatUint(incarnation, 10)
}

// WriterMachine returns the machine that a writer name names.
func WriterMachine(writer string) machine.ID {
	end := strings.LastIndex(writer, writerSeparator)
	if end < 0 {
		return machine.ID(writer)
	}
	return machine.ID(writer[:end])
}
