package contract

// NewTreeWithWindow returns a tree that retains fewer records, so that short
// tests exceed its window.
func NewTreeWithWindow(windowRecords Revision) *Tree { return newTree(windowRecords) }

// Digest returns the chained digest of the records applied to the tree.
func (t *Tree) Digest() uint64 { return t.published.Load().digest.Short() }

// RetainedCounts returns how many records, change IDs and last edits of paths
// the tree holds.
func (t *Tree) RetainedCounts() (records, changes, lastEdits int) {
	current := t.published.Load()
	return current.log.Len(), current.changes.Len(), current.lastEdits.Len()
}
