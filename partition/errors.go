package partition

import (
	"errors"

	"birchwood.example/birchwood/recordlog"
)

// ErrNotAppended is wrapped by the error of an append that certainly had no
// effect.
var ErrNotAppended = recordlog.ErrNotAppended

// ErrNotOwner is returned by Propose when this node does not own the partition.
var ErrNotOwner = errors.New("partition: not the owner")

// ErrFull is returned by Propose when the unconfirmed records reach the
// configured limit. The caller may retry later.
var ErrFull = recordlog.ErrFull
