package routing

import "sync/atomic"

// Follower holds the newest table that a process has seen. The zero value
// holds none. It is safe for concurrent use.
type Follower struct {
	current atomic.Pointer[Table]
}

// Current returns the newest table, or nil where none was seen yet.
func (f *Follower) Current() *Table { return f.current.Load() }

// Offer takes a table over if it is newer than the current one, and reports
// whether it did.
func (f *Follower) Offer(table *Table) bool {
	for {
		previous := f.current.Load()
		if previous != nil && table.Version <= previous.Version {
			return false
		}
		if f.current.CompareAndSwap(previous, table) {
			return true
		}
	}
}
