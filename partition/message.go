package partition

import (
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// Message is what replicas and mirrors of one partition send to each other.
// Exactly one of the optional fields is set.
type Message struct {
	Partition       ID                `json:"partition"`
	Mirror          *MirrorAppend     `json:"mirror,omitempty"`
	Mirrored        *MirrorAck        `json:"mirrored,omitempty"`
	Query           *MirrorQuery      `json:"query,omitempty"`
	Answer          *MirrorAnswer     `json:"answer,omitempty"`
	Trim            *MirrorTrim       `json:"trim,omitempty"`
	Handover        *HandoverOffer    `json:"handover,omitempty"`
	RequestHandover *HandoverRequest  `json:"ask,omitempty"`
	DeferHandover   *HandoverDeferral `json:"keep,omitempty"`
	Claimed         *Claimed          `json:"claimed,omitempty"`
}

// MirrorAppend hands a mirror entries that the log has not confirmed. Without
// entries it only trims, and without Instance it asks whether the receiver
// would be a mirror, and under which instance.
type MirrorAppend struct {
	Epoch uint64 `json:"epoch"`
	// Instance is the process that must hold the entries.
	Instance string `json:"instance,omitempty"`
	// LoggedSequence says that the log holds every entry of the epoch up to it, so
	// that mirrors may forget them.
	LoggedSequence uint64            `json:"logged"`
	Entries        []recordlog.Entry `json:"entries,omitempty"`
}

// MirrorAck says that a mirror holds every entry of the epoch up to Sequence
// that the log does not have.
type MirrorAck struct {
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
	Sequence uint64 `json:"sequence"`
	// Refused is set when a later epoch has read this mirror.
	Refused bool `json:"refused,omitempty"`
	// Restarted is set when the process that was asked for is gone.
	Restarted bool `json:"restarted,omitempty"`
	// Trimmed is set in the answer to a MirrorTrim.
	Trimmed bool `json:"trimmed,omitempty"`
	// Full is set when the mirror's memory has no room for the entries.
	Full bool `json:"full,omitempty"`
}

// MirrorQuery asks a mirror for what it holds of Epoch after Sequence. From
// then on the mirror refuses entries of epochs before Reader.
type MirrorQuery struct {
	Epoch       uint64 `json:"epoch"`
	Instance    string `json:"instance"`
	Sequence    uint64 `json:"sequence"`
	ReaderEpoch uint64 `json:"reader"`
}

// MirrorAnswer answers a MirrorQuery.
type MirrorAnswer struct {
	Epoch       uint64 `json:"epoch"`
	Instance    string `json:"instance"`
	ReaderEpoch uint64 `json:"reader"`
	// Entries follow directly on the Sequence of the query, as many as one
	// message may hold. Last is the newest sequence that the mirror holds.
	Entries      []recordlog.Entry `json:"entries,omitempty"`
	LastSequence uint64            `json:"last"`
	// Complete is set when the answering process owned the epoch and has lost
	// it: Entries are all that anybody can have of it beyond the log.
	Complete bool `json:"complete,omitempty"`
	// Restarted is set when the process that was asked for is gone.
	Restarted bool `json:"restarted,omitempty"`
	// Refused is set when a later epoch than Reader has read this mirror.
	Refused bool `json:"refused,omitempty"`
}

// MirrorTrim says that the log holds every entry of the epoch up to Sequence,
// and of all earlier epochs, so that mirrors may forget them.
type MirrorTrim struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// HandoverRequest asks the winner of Epoch, which the sender believes live, to
// hand the partition over to the sender.
type HandoverRequest struct {
	Epoch uint64 `json:"epoch"`
}

// HandoverOffer tells the next owner that the sender does not write to Epoch
// (any more), so that it may claim at once.
type HandoverOffer struct {
	Epoch uint64 `json:"epoch"`
}

// HandoverDeferral answers a HandoverAsk: the sender still owns the partition, and
// hands it over when it sees the same desired owner for long enough.
type HandoverDeferral struct {
	Epoch uint64 `json:"epoch"`
}

// Claimed tells the winner of an earlier epoch that Epoch has begun. It only
// spares a former owner some time: what it writes is void without it.
type Claimed struct {
	Epoch uint64 `json:"epoch"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.ID
	Message Message
}
