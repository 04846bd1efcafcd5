package routing

import "sync/atomic"

// LatestTable holds the newest table that a process has seen. Its zero value holds none.
// It is safe for concurrent use.
type LatestTable struct {
	current atomic.Pointer[Table]
}

// Current returns the newest table, or nil if there is none yet.
func (f *LatestTable) Current() *Table { return f.current.Load() }

// Update replaces the current table if the given one is newer, and reports whether it
// did.
func (f *LatestTable) Update(table *Table) bool {
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
