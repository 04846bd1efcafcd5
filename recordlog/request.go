package recordlog

import (
	"encoding/json"
	"errors"
)

// Append asks the driver to append entries to the partition's stream in one
// request. The driver answers with Appended and the same Request.
type Append struct {
	Request uint64
	Entries []Entry
}

// Read asks the driver to read the partition's stream.
type Read struct {
	Request uint64
	From    uint64
	Maximum int
	// Tail asks for the end of the stream alone: From is ignored. The answer
	// may hold the last entries; End is what counts.
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
	Entries     []Entry
	End         uint64
	Err         error
}

// ErrNotAppended marks an append that certainly took no effect.
var ErrNotAppended = errors.New("not appended")

// ErrFull is returned by Propose when the records that are not confirmed yet
// reach the configured bound; the caller may retry later.
var ErrFull = errors.New("partition: too many unconfirmed records")

// ErrNotOpen is returned by Propose while no claim of this writer holds.
var ErrNotOpen = errors.New("recordlog: no claim of this writer holds")

// ErrSnapshot is returned by ProposeSnapshot while an earlier snapshot is not
// complete, and for a snapshot without parts.
var ErrSnapshot = errors.New("recordlog: a snapshot is under way, or has no parts")

// Confirmed says that a proposed record is durable. Offset is its place in
// the stream, or NoOffset while only mirrors hold it; a second Confirmed with
// the offset follows once the log has it.
type Confirmed struct {
	Token  Token
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
