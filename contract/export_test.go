package contract

// NewTreeWithWindow returns a tree that forgets sooner, so that tests reach
// the end of its memory.
func NewTreeWithWindow(window Revision) *Tree { return newTree(window) }

// Digest returns the chained digest of the records that the tree folded.
func (t *Tree) Digest() uint64 { return t.published.Load().digest.Short() }

// Held counts what the tree remembers: records, change ids and touched paths.
func (t *Tree) Held() (records, changes, touched int) {
	current := t.published.Load()
	return current.log.Len(), current.changes.Len(), current.touched.Len()
}
