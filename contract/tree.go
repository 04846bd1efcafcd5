package contract

import (
	"slices"
	"sync"
	"sync/atomic"

	"birchwood.example/birchwood/zone"
)

// Tree is the settings tree: the fold of the changes of the settings stream.
//
// Reads take no lock and may come from any goroutine: they see the state as
// of the last published change, which never changes under them. Writes
// (Apply, ApplyBytes) are serialized by a mutex. Two trees that folded the
// same changes at the same revisions hold the same state and gave the same
// verdicts.
type Tree struct {
	writeMutex sync.Mutex
	working    *state
	published  atomic.Pointer[state]
}

// NewTree returns the empty tree: a root that has the default values, permits
// no zone and knows no token.
func NewTree() *Tree { return newTree(Window) }

func newTree(windowRecords Revision) *Tree {
	tree := &Tree{working: newState(windowRecords)}
	tree.publish()
	return tree
}

// publish makes the working state visible to readers. The caller holds
// writing, or is the only user of the tree.
func (t *Tree) publish() {
	t.published.Store(t.working.clone())
}

// Apply folds the change that stands at offset revision-1 of the settings
// stream and returns its verdict. A revision that was folded before changes
// nothing and returns the verdict it got then; so does a change whose ID was
// seen before, whose own offset then counts as read.
func (t *Tree) Apply(revision Revision, change Change) Verdict {
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	verdict := t.working.applyChange(revision, change)
	t.publish()
	return verdict
}

// ApplyBytes is Apply for a change as it stands on the stream. Bytes that are
// no change get a refusal that says why; they never stop the fold.
func (t *Tree) ApplyBytes(revision Revision, data []byte) Verdict {
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	verdict := t.working.applyBytes(revision, data)
	t.publish()
	return verdict
}

// applyBatch folds consecutive records, the first at offset from, and
// publishes once.
func (t *Tree) applyBatch(from uint64, records [][]byte) []Verdict {
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	verdicts := make([]Verdict, len(records))
	for index, data := range records {
		verdicts[index] = t.working.applyBytes(Revision(from)+Revision(index)+1, data)
	}
	t.publish()
	return verdicts
}

// Check returns everything that is wrong with the change if it were folded
// next, conflicts included. No findings means that it would be accepted.
func (t *Tree) Check(change Change) []Finding {
	t.writeMutex.Lock()
	trial := t.working.clone()
	t.writeMutex.Unlock()
	verdict := trial.applyChange(trial.position+1, change)
	return verdict.Findings
}

// Revision returns the revision of the last accepted change. It never falls.
func (t *Tree) Revision() Revision { return t.published.Load().revision }

// Position returns how many records of the settings stream were folded,
// accepted or not: the offset to read next.
func (t *Tree) Position() uint64 { return uint64(t.published.Load().position) }

// Placements returns every placement that was ever in force for a branch, in
// sorted order. Partitions exist for each of them.
func (t *Tree) Placements() []zone.Placement {
	return slices.Clone(t.published.Load().placements)
}

// Caller returns the branch that lists the token among its callers.
func (t *Tree) Caller(tokenHash string) (Path, bool) {
	return t.published.Load().tokenBranch(tokenCaller, tokenHash)
}

// Operator returns the branch that lists the token among its operators.
func (t *Tree) Operator(tokenHash string) (Path, bool) {
	return t.published.Load().tokenBranch(tokenOperator, tokenHash)
}

// Verdict returns what became of a change, while it is among the last Window
// records of the stream.
func (t *Tree) Verdict(changeID string) (Verdict, bool) {
	return t.published.Load().verdict(changeID)
}

// Branches returns the paths of the branches at and below prefix, sorted.
func (t *Tree) Branches(prefix Path) []Path {
	var paths []Path
	t.published.Load().walk(prefix, func(branch *branch) { paths = append(paths, branch.path) })
	return paths
}
