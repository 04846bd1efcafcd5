package partition

import (
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// Message is a message between the replicas and mirrors of one partition.
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

// MirrorAppend sends a mirror entries that the log has not confirmed. Without
// Entries it only trims. Without Instance it queries whether the receiver
// agrees to be a mirror; the answer has the receiver's instance.
type MirrorAppend struct {
	Epoch uint64 `json:"epoch"`
	// Instance identifies the process that must hold the entries.
	Instance string `json:"instance,omitempty"`
	// LoggedSequence is the sequence up to which the log holds the epoch;
	// mirrors may drop the entries up to it.
	LoggedSequence uint64            `json:"logged"`
	Entries        []recordlog.Entry `json:"entries,omitempty"`
}

// MirrorAck reports that a mirror holds every entry of the epoch up to Sequence
// that the log does not have.
type MirrorAck struct {
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
	Sequence uint64 `json:"sequence"`
	// Refused is set when the mirror has been read by a later epoch.
	Refused bool `json:"refused,omitempty"`
	// Restarted is set when the request names an earlier process of the node.
	Restarted bool `json:"restarted,omitempty"`
	// Trimmed is set in the answer to a MirrorTrim.
	Trimmed bool `json:"trimmed,omitempty"`
	// Full is set when the entries would exceed the mirror's memory limit.
	Full bool `json:"full,omitempty"`
}

// MirrorQuery requests a mirror's entries of Epoch after Sequence. From then on
// the mirror refuses entries of epochs before ReaderEpoch.
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
	// Entries start directly after the Sequence of the query and are limited to
	// the size of one message. LastSequence is the newest sequence that the
	// mirror holds.
	Entries      []recordlog.Entry `json:"entries,omitempty"`
	LastSequence uint64            `json:"last"`
	// Complete is set when the answering process owned the epoch and has lost
	// it: beyond the log, no other node can hold more of the epoch than
	// Entries.
	Complete bool `json:"complete,omitempty"`
	// Restarted is set when the query names an earlier process of the node.
	Restarted bool `json:"restarted,omitempty"`
	// Refused is set when the mirror has been read by an epoch later than
	// ReaderEpoch.
	Refused bool `json:"refused,omitempty"`
}

// MirrorTrim reports that the log holds every entry of the epoch up to
// Sequence, and all entries of earlier epochs, so that mirrors may drop them.
type MirrorTrim struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// HandoverRequest requests that the winner of Epoch, which is live in the
// sender's view, hand the partition over to the sender.
type HandoverRequest struct {
	Epoch uint64 `json:"epoch"`
}

// HandoverOffer notifies the next owner that the sender does not write to
// Epoch, or no longer does, so that the receiver may claim at once.
type HandoverOffer struct {
	Epoch uint64 `json:"epoch"`
}

// HandoverDeferral answers a HandoverRequest: the sender still owns the
// partition and hands it over once it has seen the same desired owner for
// HandoverDwell.
type HandoverDeferral struct {
	Epoch uint64 `json:"epoch"`
}

// Claimed notifies the winner of an earlier epoch that Epoch has begun. It only
// lets a previous owner notice sooner: the entries that it still writes are
// void in any case.
type Claimed struct {
	Epoch uint64 `json:"epoch"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.ID
	Message Message
}
