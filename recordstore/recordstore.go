// Package recordstore is the interface through which a node uses the platform's store:
// streams of keyed records of which the newest of each key is kept. An adapter implements
// it for one platform; nothing outside the adapter depends on the wire format.
package recordstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Stream identifies one partition of a stream.
type Stream struct {
	Name      StreamName
	Partition int
}

// StreamName names a stream independently of the platform.
type StreamName string

// The streams.
const (
	// StreamConfiguration holds the operator's configuration. It is read-only.
	StreamConfiguration StreamName = "configuration"
	// StreamReplicas holds the entries of replicas. It is read-only.
	StreamReplicas StreamName = "replicas"
	// StreamNodes holds the addresses of this system's nodes.
	StreamNodes StreamName = "nodes"
	// StreamLedger holds the programs' accounts and stored turns.
	StreamLedger StreamName = "ledger"
	// StreamVersions holds the versions of services that have served lately.
	StreamVersions StreamName = "versions"
)

// Record is one keyed record. An empty value removes the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's position in the stream; it is not set for appends.
	Offset uint64
}

// Writer identifies an append, so that a repeated append takes effect once and a writer
// of an older epoch is refused. The zero value appends without fencing.
type Writer struct {
	Name     string
	Epoch    uint64
	Sequence uint64
}

// Page is a part of the newest records of a stream.
type Page struct {
	Records []Record
	// More says that there are keys after the last one of the page.
	More bool
	// End is the offset of the stream's next record.
	End uint64
}

// Tail holds the records of a stream from an offset on.
type Tail struct {
	Records []Record
	// Next is the offset from which to read next.
	Next uint64
}

// Store is the platform's store. It is safe for concurrent use.
type Store interface {
	EndReader
	// Append appends all of the records to the stream, or none. After a *FencedError or a
	// *RefusedError none was appended; after any other error the outcome is unknown.
	Append(ctx context.Context, stream Stream, writer Writer, records []Record) error
	// Trim drops the records of a stream before an offset, except the newest of each key.
	Trim(ctx context.Context, stream Stream, before uint64) error
	// Newest returns the newest record of each key that sorts after the given one, in the
	// order of the keys.
	Newest(ctx context.Context, stream Stream, after string) (Page, error)
	// Tail returns the records from an offset on. If there are none it waits for the
	// first one, up to the given time. It returns ErrGap if records from the offset on
	// were dropped.
	Tail(ctx context.Context, stream Stream, from uint64, wait time.Duration) (Tail, error)
}

// EndReader returns where a stream ends, without reading its records.
type EndReader interface {
	// End returns the offset of the stream's next record.
	End(ctx context.Context, stream Stream) (uint64, error)
}

// ErrGap says that records were dropped before they were read.
var ErrGap = errors.New("record store: records were dropped before they were read")

// FencedError says that a writer of a higher epoch has taken over the stream, or, if
// SequenceMismatch is set, that the store expects another sequence number of this writer.
type FencedError struct {
	Reason           string
	SequenceMismatch bool
}

// Error returns the reason of the refusal.
func (e *FencedError) Error() string { return "record store: fenced: " + e.Reason }

// RefusedError says that the store did nothing. The call may be retried.
type RefusedError struct{ Status int }

// The HTTP statuses with which a store refuses calls.
const (
	statusTooManyCalls = 429
	statusUnavailable  = 503
	statusFull         = 507
)

// Full reports whether the store has reached its capacity. It accepts no records until
// some are dropped.
func (e *RefusedError) Full() bool { return e.Status == statusFull }

// Unavailable reports whether the store refused the call regardless of its content: the
// store is down, overloaded, or not available to this node.
func (e *RefusedError) Unavailable() bool {
	return e.Status == statusTooManyCalls || e.Status == statusUnavailable
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("record store: refused with status %d", e.Status)
}
