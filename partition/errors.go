package partition

import (
	"errors"

	"birchwood.example/birchwood/recordlog"
)

// ErrNotAppended marks an append that certainly took no effect.
var ErrNotAppended = recordlog.ErrNotAppended

// ErrNotOwner is returned by Propose when this node does not own the
// partition.
var ErrNotOwner = errors.New("partition: not the owner")

// ErrFull is returned by Propose when the records that are not confirmed yet
// reach the configured bound; the caller may retry later.
var ErrFull = recordlog.ErrFull
