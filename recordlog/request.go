package recordlog

import (
	"encoding/json"
	"errors"
)

// Append is a request to the driver to append entries to the partition's stream
// in one operation. The driver answers with Appended and the same Request.
type Append struct {
	Request uint64
	Entries []Entry
}

// Read is a request to the driver to read the partition's stream. The driver
// answers with ReadDone and the same Request.
type Read struct {
	Request uint64
	From    uint64
	Maximum int
	// Tail requests only the end of the stream; From is ignored. The answer
	// may contain the last entries, but must set End.
	Tail bool
}

// Appended is the answer to an Append. If Err is nil, the entries are stored
// from FirstOffset on, without gaps. ErrNotAppended means that they were
// certainly not stored. After any other error, they may have been.
type Appended struct {
	Request     uint64
	FirstOffset uint64
	Err         error
}

// ReadDone is the answer to a Read. Entries[i] is stored at FirstOffset+i. End
// is the offset that the next append would have got.
type ReadDone struct {
	Request     uint64
	FirstOffset uint64
	Entries     []Entry
	End         uint64
	Err         error
}

// ErrNotAppended reports an append that certainly had no effect.
var ErrNotAppended = errors.New("not appended")

// ErrFull is returned by Propose when the unconfirmed records would exceed
// MaximumUnconfirmedBytes. The caller may retry later.
var ErrFull = errors.New("partition: too many unconfirmed records")

// ErrNotOpen is returned by Propose and ProposeSnapshot unless IsOpen is true.
var ErrNotOpen = errors.New("recordlog: no claim of this writer holds")

// ErrSnapshot is returned by ProposeSnapshot while an earlier snapshot is
// incomplete, and for a snapshot without parts.
var ErrSnapshot = errors.New("recordlog: a snapshot is in progress, or the proposed one has no parts")

// Confirmed reports that a proposed record is durable. Offset is its offset in
// the stream, or NoOffset if only mirrors hold it so far; a second Confirmed
// with the offset follows once the log has it.
type Confirmed struct {
	Token  Token
	Offset uint64
}

// NoOffset is the offset of a record that mirrors hold and the log does not
// have yet.
const NoOffset = ^uint64(0)

// Recovered is one valid record or snapshot part. They are delivered in the
// order in which the state machine must apply them.
type Recovered struct {
	Offset   uint64
	Snapshot bool
	Payload  json.RawMessage
}
