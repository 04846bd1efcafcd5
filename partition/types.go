package partition

import (
	"encoding/json"
	"errors"

	"birchwood.example/birchwood/journal"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// ID names a partition: one log stream, one placement, one valid owner. Its
// text form is "<placement>.<index>", which is also the stream's name.
type ID struct {
	Placement zone.Placement `json:"placement"`
	Index     int            `json:"index"`
}

// State is a replica's part in a partition.
type State string

// The states of a Replica.
const (
	// StateFollowing: another node owns the partition, or nobody does yet.
	StateFollowing State = "following"
	// StateClaiming: this node reads the stream and appends its claim.
	StateClaiming State = "claiming"
	// StateRecovering: the claim won; records and mirrors are being read.
	StateRecovering State = "recovering"
	// StateOwning: records may be proposed.
	StateOwning State = "owning"
	// StateReleasing: a planned hand-over flushes what is not confirmed yet.
	StateReleasing State = "releasing"
)

// Append asks the driver to append entries to the partition's stream in one
// request. The driver answers with Appended and the same Request.
type Append struct {
	Request uint64
	Entries []journal.Entry
}

// Read asks the driver to read the partition's stream.
type Read struct {
	Request uint64
	From    uint64
	Maximum int
	// Tail asks for the end of the stream alone: From is ignored.
	Tail bool
}

// Appended answers an Append. Err nil means that the entries stand at
// FirstOffset and after it, without gaps. ErrNotAppended means that they
// certainly do not stand anywhere. Any other error leaves it open.
type Appended struct {
	Request     uint64
	FirstOffset uint64
	Err         error
}

// ReadDone answers a Read. Entries[i] stands at FirstOffset+i. End is the
// offset that the next append would have got.
type ReadDone struct {
	Request     uint64
	FirstOffset uint64
	Entries     []journal.Entry
	End         uint64
	Err         error
}

// ErrNotAppended marks an append that certainly took no effect.
var ErrNotAppended = errors.New("not appended")

// ErrNotOwner is returned by Propose when this node does not own the
// partition.
var ErrNotOwner = errors.New("partition: not the owner")

// ErrFull is returned by Propose when the records that are not confirmed yet
// reach the configured bound; the caller may retry later.
var ErrFull = errors.New("partition: too many unconfirmed records")

// Message is what replicas and mirrors of one partition send to each other.
// Exactly one of the optional fields is set.
type Message struct {
	Partition ID             `json:"partition"`
	Mirror    *MirrorAppend  `json:"mirror,omitempty"`
	Mirrored  *MirrorAck     `json:"mirrored,omitempty"`
	Query     *MirrorQuery   `json:"query,omitempty"`
	Answer    *MirrorAnswer  `json:"answer,omitempty"`
	Trim      *MirrorTrim    `json:"trim,omitempty"`
	Handover  *HandoverOffer `json:"handover,omitempty"`
}

// MirrorAppend hands a mirror entries that the log has not confirmed.
type MirrorAppend struct {
	Epoch   uint64          `json:"epoch"`
	Entries []journal.Entry `json:"entries"`
}

// MirrorAck says that a mirror holds every entry of the epoch up to Sequence.
// Refused is set when a later epoch has read this mirror.
type MirrorAck struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	Refused  bool   `json:"refused,omitempty"`
}

// MirrorQuery asks a mirror for what it holds of Epoch after Sequence. From
// then on the mirror refuses entries of epochs before Reader.
type MirrorQuery struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	Reader   uint64 `json:"reader"`
}

// MirrorAnswer answers a MirrorQuery.
type MirrorAnswer struct {
	Epoch   uint64          `json:"epoch"`
	Reader  uint64          `json:"reader"`
	Entries []journal.Entry `json:"entries,omitempty"`
}

// MirrorTrim says that the log holds every entry of the epoch up to Sequence,
// so that mirrors may forget them.
type MirrorTrim struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// HandoverOffer tells the next owner that the sender has flushed and stopped,
// so that it may claim at once.
type HandoverOffer struct {
	Epoch uint64 `json:"epoch"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.ID
	Message Message
}

// Confirmed says that a proposed record is durable. Offset is its place in
// the stream, or NoOffset while only mirrors hold it; a second Confirmed with
// the offset follows once the log has it.
type Confirmed struct {
	Token  journal.Token
	Offset uint64
}

// NoOffset marks a record that mirrors hold and the log does not have yet.
const NoOffset = ^uint64(0)

// Recovered is one valid record or snapshot part, in the order in which the
// state machine applies it.
type Recovered struct {
	Offset   uint64
	Snapshot bool
	Payload  json.RawMessage
}

// Ready is what a Replica wants done. The driver performs all of it, then
// calls Ready again after the next Step.
type Ready struct {
	State     State
	Epoch     uint64
	Appends   []Append
	Reads     []Read
	Messages  []Outbound
	Recovered []Recovered
	Confirmed []Confirmed
	// Lost says that ownership ended: every unconfirmed proposal is void as
	// far as this node knows, and its state must be dropped.
	Lost bool
	// Acquired says that recovery is complete and Propose is open. All of
	// the partition's Recovered records were delivered before or with it.
	Acquired bool
}

// View is what ownership depends on, as this node sees it.
type View struct {
	// Nodes are the nodes that are believed live, leaving ones left out.
	Nodes []machine.Machine
	// Stopping is set while this node leaves: it hands everything over.
	Stopping bool
}
