package contract

// NewTreeWithWindow returns a tree that forgets sooner, so that tests reach
// the end of its memory.
func NewTreeWithWindow(windowRecords Revision) *Tree { return newTree(windowRecords) }

// Digest returns the chained digest of the records that the tree folded.
func (t *Tree) Digest() uint64 { return t.published.Load().digest.Short() }

// Held counts what the tree remembers: records, change ids and touched paths.
func (t *Tree) RetainedCounts() (records, changes, lastEdits int) {
	current := t.published.Load()
	return current.log.Len(), current.changes.Len(), current.lastEdits.Len()
}
