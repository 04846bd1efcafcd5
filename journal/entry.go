package journal

import (
	"encoding/json"

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
)

// Header says who wrote an entry and in which order. The triple of writer,
// epoch and sequence is unique: a second entry with the same triple is a
// retried append whose answer was lost, and is dropped.
type Header struct {
	// Writer is the machine and incarnation that wrote the entry.
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
	// Mirrors may hold records of this epoch that the log does not have yet.
	// A quorum of them must be read before a later epoch serves.
	Mirrors []machine.ID `json:"mirrors,omitempty"`
}

// Entry is what a stream of the log holds at one offset.
type Entry struct {
	Header
	Kind    Kind            `json:"k"`
	Claim   *Claim          `json:"c,omitempty"`
	Payload json.RawMessage `json:"p,omitempty"`
}

// Token names one proposed record until it is confirmed. Tokens of one
// writer grow by one.
type Token uint64
