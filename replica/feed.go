package replica

// Change is one change of a list of replicas: an entry that is new or differs,
// or the id of one that is gone.
type Change struct {
	Entry *Entry `json:"entry,omitempty"`
	Gone  ID     `json:"gone,omitempty"`
}

// Feed numbers the changes of a list of replicas and keeps the newest of them,
// so that another node can follow the list. The zero value is a feed without
// changes. It is not safe for concurrent use.
type Feed struct {
	// next is the number of the next change; changes are those before it.
	next    uint64
	changes []Change
}

// maximumChanges bounds the changes that a feed keeps.
const maximumChanges = 4096

// Add takes in a change.
func (f *Feed) Add(change Change) {
	f.next++
	f.changes = append(f.changes, change)
	if len(f.changes) >= 2*maximumChanges {
		f.changes = append([]Change(nil), f.changes[len(f.changes)-maximumChanges:]...)
	}
}

// Next returns the number of the next change.
func (f *Feed) Next() uint64 { return f.next }

// Since returns the changes from a number on, or false where they are no longer
// kept and the whole list has to be taken.
func (f *Feed) Since(number uint64) ([]Change, bool) {
	first := f.next - uint64(len(f.changes))
	if number < first || number > f.next {
		return nil, false
	}
	return append([]Change(nil), f.changes[number-first:]...), true
}
