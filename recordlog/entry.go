package recordlog

import (
	"encoding/json"
	"strconv"
	"strings"

	"birchwood.example/birchwood/machine"
)

// Kind is the type of an entry.
type Kind string

// The kinds of entry.
const (
	// KindClaim opens an epoch. The first claim of an epoch, in offset order,
	// wins. It makes every later entry of older epochs void.
	KindClaim Kind = "claim"
	// KindRecord holds one record of the owner's state machine.
	KindRecord Kind = "record"
	// KindSnapshot holds one part of the state as of the offset of the first
	// part. Entries before that offset need not be read again.
	KindSnapshot Kind = "snapshot"
	// KindMirrors names the mirrors that, from this entry on, may hold records
	// that the log does not have. It also completes the recovery from earlier
	// mirrors: all records that they held are in the log before it. A set
	// without members that is marked Released ends an epoch: its owner writes
	// no more entries.
	KindMirrors Kind = "mirrors"
)

// Header identifies the writer of an entry and its order. The triple of writer,
// epoch and sequence is unique: a second entry with the same triple comes from
// a retried append whose answer was lost, and is ignored.
type Header struct {
	// Writer identifies the machine and incarnation that wrote the entry, in
	// the form of WriterName.
	Writer   string `json:"w"`
	Epoch    uint64 `json:"e"`
	Sequence uint64 `json:"s"`
	// Snapshot is the offset of the first part of the newest complete snapshot
	// known to the writer, or zero.
	Snapshot uint64 `json:"n,omitempty"`
}

// Claim is the payload of a KindClaim entry.
type Claim struct {
	Owner machine.ID `json:"owner"`
}

// Mirror is one member of a mirror set. Instance is the writer name of the
// process that agreed to be a mirror. A restarted process has a different one
// and no longer counts as holding any records.
type Mirror struct {
	ID       machine.ID `json:"id"`
	Instance string     `json:"instance"`
}

// MirrorSet is the payload of a KindMirrors entry.
type MirrorSet struct {
	Members []Mirror `json:"members,omitempty"`
	// Released is true if the owner flushed everything to the log and stopped.
	Released bool `json:"released,omitempty"`
	// AbandonedEpoch is the epoch whose mirrors were not all read, by decision
	// of an operator or of the configured policy. Records that only the unread
	// mirrors held are lost. Zero if no records were abandoned.
	AbandonedEpoch uint64 `json:"unread,omitempty"`
}

// Part gives the position of a KindSnapshot entry within its snapshot.
type Part struct {
	Index int `json:"i"`
	Count int `json:"c"`
	// Mirrors is the current mirror set. Only the first part has it.
	Mirrors *MirrorSet `json:"m,omitempty"`
}

// Origin identifies the original entry of a reproposed record: a record of an
// older epoch that only mirrors held, and that a later owner appended to the
// log.
type Origin struct {
	Epoch    uint64 `json:"e"`
	Sequence uint64 `json:"s"`
}

// Entry is the content of a stream at one offset. Claim is set for KindClaim,
// Mirrors for KindMirrors and Part for KindSnapshot.
type Entry struct {
	Header
	Kind    Kind            `json:"k"`
	Claim   *Claim          `json:"c,omitempty"`
	Mirrors *MirrorSet      `json:"m,omitempty"`
	Part    *Part           `json:"t,omitempty"`
	Origin  *Origin         `json:"o,omitempty"`
	Payload json.RawMessage `json:"p,omitempty"`
}

// entryOverheadBytes is the size of an entry besides its payload: the header,
// the field names, and the slice and map cells that hold it.
const entryOverheadBytes = 160

// Size returns the entry's size in bytes, as counted for the limits in Config.
func (e Entry) Size() int {
	return len(e.Payload) + entryOverheadBytes
}

// wellFormed reports whether the entry has the content that its kind requires.
// An entry of an unknown kind is well formed, and only its sequence counts.
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

// Token identifies a proposed record until it is confirmed. The tokens of a
// Journal are consecutive.
type Token uint64

// writerSeparator separates the machine from the incarnation in a writer name.
const writerSeparator = "/"

// WriterName returns the writer name of one process: its machine and the
// incarnation, which must differ at each start of the process.
func WriterName(id machine.ID, incarnation uint64) string {
	return string(id) + writerSeparator + strconv.FormatUint(incarnation, 10)
}

// WriterMachine returns the machine of a writer name.
func WriterMachine(writer string) machine.ID {
	end := strings.LastIndex(writer, writerSeparator)
	if end < 0 {
		return machine.ID(writer)
	}
	return machine.ID(writer[:end])
}
