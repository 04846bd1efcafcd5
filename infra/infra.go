// Package infra defines the interfaces through which a node uses the platform:
// the log service, the machine list and the weight store. An adapter implements
// them for one platform; other packages do not depend on its wire format.
package infra

import (
	"context"
	"errors"

	"birchwood.example/birchwood/machine"
)

// ErrNotAppended means that an append certainly had no effect: the service
// refused it, or it was not sent. With any other error of Append the outcome is
// unknown.
var ErrNotAppended = errors.New("log service: not appended")

// Log is the platform's append-only log service.
type Log interface {
	// Append appends the entries to the stream, in order and without gaps, and
	// returns the offset of the first. Offsets start at zero.
	Append(ctx context.Context, stream string, entries [][]byte) (firstOffset uint64, err error)
	// Read returns up to maximum entries from the offset on, and the stream's
	// end, which is the offset of the next entry to be appended. A stream that
	// was never written to is empty.
	Read(ctx context.Context, stream string, from uint64, maximum int) (entries [][]byte, end uint64, err error)
}

// MachineList is the platform's list of machines. It may be out of date.
type MachineList interface {
	// Machines returns the list.
	Machines(ctx context.Context) ([]machine.Machine, error)
	// Announce registers this machine or renews its entry.
	Announce(ctx context.Context, self machine.Machine) error
	// Withdraw removes this machine's entry.
	Withdraw(ctx context.Context, id machine.ID) error
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Reserve reserves a transfer of a model's weights, and returns how long
	// the transfer is delayed by the store's rate limit.
	Reserve(ctx context.Context, model string) (waitMilliseconds int64, err error)
}
