// Package recordstore is the small interface through which a node reaches the
// platform's store: streams of keyed records of which the newest of each key
// is kept. An adapter implements it for one platform; nothing of its wire
// format shows above this package.
package recordstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Stream names one partition of one of the streams that the node uses.
type Stream struct {
	Name      StreamName
	Partition int
}

// StreamName names a stream in the product's words.
type StreamName string

// The streams.
const (
	// StreamConfiguration holds the operator's configuration. It is read only.
	StreamConfiguration StreamName = "configuration"
	// StreamReplicas holds the replicas' entries. It is read only.
	StreamReplicas StreamName = "replicas"
	// StreamNodes holds the addresses of this system's nodes.
	StreamNodes StreamName = "nodes"
	// StreamLedger holds the programs' accounts and kept turns.
	StreamLedger StreamName = "ledger"
)

// Record is one keyed record. An empty value removes the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's place in the stream; it is not set for appends.
	Offset uint64
}

// Writer identifies an append, so that its repetition counts once and a writer
// of an older epoch is refused. The zero value appends unfenced.
type Writer struct {
	Name     string
	Epoch    uint64
	Sequence uint64
}

// Page is a part of the newest records of a stream.
type Page struct {
	Records []Record
	// More says that further keys follow the last one.
	More bool
	// End is the offset of the stream's next record.
	End uint64
}

// Tail is what a stream holds from an offset on.
type Tail struct {
	Records []Record
	// Next is the offset to read from next.
	Next uint64
}

// Store is the platform's store. It is safe for concurrent use.
type Store interface {
	Endings
	// Append adds the records to the stream, all or none. An error is a
	// *FencedError or a *RefusedError; any other leaves the outcome unknown.
	Append(ctx context.Context, stream Stream, writer Writer, records []Record) error
	// Trim drops the records of a stream that lie before an offset, but for the newest
	// of each key.
	Trim(ctx context.Context, stream Stream, before uint64) error
	// Newest returns the newest record of each key after the given one, in the
	// order of the keys.
	Newest(ctx context.Context, stream Stream, after string) (Page, error)
	// Tail returns the records from an offset on, and waits for the first for
	// the given time at most. It returns ErrGap if they are no longer there.
	Tail(ctx context.Context, stream Stream, from uint64, wait time.Duration) (Tail, error)
}

// Endings is a store that tells where a stream ends without reading it.
type Endings interface {
	// End returns the offset of the stream's next record.
	End(ctx context.Context, stream Stream) (uint64, error)
}

// ErrGap says that records were dropped before they were read.
var ErrGap = errors.New("record store: records between were dropped")

// FencedError says that a writer of a higher epoch has taken the stream over, or,
// where Disordered, that the store expects another sequence of this writer.
type FencedError struct {
	Reason     string
	Disordered bool
}

// Error describes the refusal.
func (e *FencedError) Error() string { return "record store: fenced: " + e.Reason }

// RefusedError says that the store did nothing. It may be asked again.
type RefusedError struct{ Status int }

// The statuses with which a store turns calls away, as HTTP has them.
const (
	statusTooManyCalls = 429
	statusUnavailable  = 503
	statusFull         = 507
)

// Full reports whether the store holds as much as it may, and takes no records until
// some are dropped.
func (e *RefusedError) Full() bool { return e.Status == statusFull }

// Unavailable reports whether the store turned the call away whatever it asked
// for: the store is down, overloaded, or not there for this node.
func (e *RefusedError) Unavailable() bool {
	return e.Status == statusTooManyCalls || e.Status == statusUnavailable
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("record store: refused with status %d", e.Status)
}
