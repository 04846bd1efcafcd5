package replica

// Change is one change of a replica list: a new or updated entry, or the ID of a removed
// replica.
type Change struct {
	Entry *Entry `json:"entry,omitempty"`
	Gone  ID     `json:"gone,omitempty"`
}

// Feed numbers the changes of a replica list and retains the newest, so that another node can
// follow the list. The zero value is an empty feed. It is not safe for concurrent use.
type Feed struct {
	// next is the number of the next change. changes holds the ones directly before it.
	next    uint64
	changes []Change
}

// maximumChanges is the number of changes that a feed retains at least once it has had that
// many.
const maximumChanges = 4096

// Add appends a change.
func (f *Feed) Add(change Change) {
	f.next++
	f.changes = append(f.changes, change)
	if len(f.changes) >= 2*maximumChanges {
		f.changes = append([]Change(nil), f.changes[len(f.changes)-maximumChanges:]...)
	}
}

// Next returns the number of the next change.
func (f *Feed) Next() uint64 { return f.next }

// Since returns the changes from the given number on, or false if they are no longer retained
// and the follower needs the whole list.
func (f *Feed) Since(number uint64) ([]Change, bool) {
	first := f.next - uint64(len(f.changes))
	if number < first || number > f.next {
		return nil, false
	}
	return append([]Change(nil), f.changes[number-first:]...), true
}
