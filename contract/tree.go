package contract

import (
	"slices"
	"sync"
	"sync/atomic"

	"birchwood.example/birchwood/zone"
)

// Tree is the settings tree: the state that results from applying the changes
// in the settings stream in order.
//
// Reads take no lock and may be called from any goroutine: they see the
// immutable state as of the last published change. Writes (Apply, ApplyBytes)
// are serialized by a mutex. Two trees to which the same changes were applied
// at the same revisions hold the same state and returned the same verdicts.
type Tree struct {
	writeMutex sync.Mutex
	working    *state
	published  atomic.Pointer[state]
}

// NewTree returns an empty tree: a root that has the default values, permits
// no zone and lists no token.
func NewTree() *Tree { return newTree(WindowRecords) }

func newTree(windowRecords Revision) *Tree {
	tree := &Tree{working: newState(windowRecords)}
	tree.publish()
	return tree
}

// publish makes the working state visible to readers. The caller must hold
// writeMutex or be the only user of the tree.
func (t *Tree) publish() {
	t.published.Store(t.working.clone())
}

// Apply applies the change at offset revision-1 of the settings stream and
// returns its verdict. A revision that was already applied has no effect and
// returns its first verdict. So does a change whose ID was seen before, except
// that the position advances past its record.
func (t *Tree) Apply(revision Revision, change Change) Verdict {
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	verdict := t.working.applyChange(revision, change)
	t.publish()
	return verdict
}

// ApplyBytes is Apply for an encoded change. Bytes that do not decode as a
// change are refused with the reason and skipped.
func (t *Tree) ApplyBytes(revision Revision, data []byte) Verdict {
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	verdict := t.working.applyBytes(revision, data)
	t.publish()
	return verdict
}

// applyBatch applies consecutive records, the first at offset from, and
// publishes the result once.
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

// Check returns the findings, including conflicts, that the change would get
// if it were applied next. If there are none, it would be accepted.
func (t *Tree) Check(change Change) []Finding {
	t.writeMutex.Lock()
	trial := t.working.clone()
	t.writeMutex.Unlock()
	verdict := trial.applyChange(trial.position+1, change)
	return verdict.Findings
}

// Revision returns the revision of the last accepted change. It never
// decreases.
func (t *Tree) Revision() Revision { return t.published.Load().revision }

// Position returns the number of records of the settings stream that were
// applied, accepted or not. It is the offset to read next.
func (t *Tree) Position() uint64 { return uint64(t.published.Load().position) }

// Placements returns every placement that was ever in force for a branch,
// sorted. Partitions exist for each of them.
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

// Verdict returns the verdict of a change that is among the last WindowRecords
// records of the stream.
func (t *Tree) Verdict(changeID string) (Verdict, bool) {
	return t.published.Load().verdict(changeID)
}

// Branches returns the sorted paths of the branches at and below prefix.
func (t *Tree) Branches(prefix Path) []Path {
	var paths []Path
	t.published.Load().walk(prefix, func(branch *branch) { paths = append(paths, branch.path) })
	return paths
}
