package edge

import (
	"sync"
	"sync/atomic"
)

// listPosition is how far this node's list of replicas follows the store's stream: every
// record before the offset is reflected in the list. Offsets tell which of two lists is newer,
// since the store never loses a record that it acknowledged.
type listPosition struct {
	// applying is held while records or a list are compared with the position and applied, so
	// that nothing newer is applied in between.
	applying sync.Mutex
	offset   atomic.Uint64
}

// current returns the offset, or 0 if the position is unknown.
func (p *listPosition) current() uint64 { return p.offset.Load() }

// set sets the position after a list was applied; 0 means that it is unknown.
func (p *listPosition) set(offset uint64) { p.offset.Store(offset) }
