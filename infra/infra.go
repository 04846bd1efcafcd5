// Package infra holds the small interfaces through which a node reaches
// the platform: the log service, the machine list and the weight store. An
// adapter implements them for one platform; nothing of its wire format shows
// above this package.
package infra

import (
	"context"
	"errors"

	"birchwood.example/birchwood/machine"
)

// ErrNotAppended marks an append that certainly took no effect: the service
// refused it, or it never left this process. Any other error of Append leaves
// the outcome unknown.
var ErrNotAppended = errors.New("log service: not appended")

// Log is the platform's append-only log service.
type Log interface {
	// Append adds the entries to the end of the stream, in order and without
	// gaps, and returns the offset of the first. Offsets start at zero.
	Append(ctx context.Context, stream string, entries [][]byte) (firstOffset uint64, err error)
	// Read returns up to maximum entries from the offset on, and the stream's
	// end: the offset that the next append would get. A stream that was never
	// written to is empty.
	Read(ctx context.Context, stream string, from uint64, maximum int) (entries [][]byte, end uint64, err error)
}

// MachineList is the platform's list of machines, which lags.
type MachineList interface {
	Machines(ctx context.Context) ([]machine.Machine, error)
	// Announce registers this machine or renews its entry.
	Announce(ctx context.Context, self machine.Machine) error
	// Withdraw removes this machine's entry.
	Withdraw(ctx context.Context, id machine.ID) error
}

// WeightStore tells the state of the rate-limited store of model weights.
type WeightStore interface {
	// Reserve asks to load a model's weights and returns how long the
	// transfer waits for the store's rate limit.
	Reserve(ctx context.Context, model string) (waitMilliseconds int64, err error)
}
