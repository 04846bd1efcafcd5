package contract

import (
	"slices"

	"github.com/google/btree"

	"birchwood.example/birchwood/zone"
)

// WindowRecords is the number of records of the settings stream that a tree
// retains for duplicates, verdicts, history and diffs. A change that is based
// on a revision before the window is refused if a later one was accepted, since
// its conflicts can no longer be determined.
const WindowRecords = 4096

// treeDegree is the branching factor of the ordered maps.
const treeDegree = 16

// branch is one branch of the tree. It is immutable once it is part of a
// state; a change replaces it.
type branch struct {
	path   Path
	values Values
	// fieldRevisions holds, for each field that is set, the revision that set
	// it, and zero for the others.
	fieldRevisions []Revision
	// contract is the branch's values with inheritance resolved.
	contract *Contract
}

// branchEntry is a branch with its path as the key. Entries are values rather
// than pointers, so that a lookup does not allocate.
type branchEntry struct {
	path   Path
	branch *branch
}

// lastEdit records which accepted change edited a path last. It is kept after
// the branch is removed.
type lastEdit struct {
	path     Path
	revision Revision
	changeID string
	actor    string
}

type tokenKind int

const (
	tokenCaller tokenKind = iota
	tokenOperator
)

// tokenEntry maps a token to the branch that lists it.
type tokenEntry struct {
	kind tokenKind
	hash string
	path Path
}

// logEntry is one record of the stream within the window.
type logEntry struct {
	position Revision
	change   Change
	verdict  Verdict
	// replacedBranches holds the branches that the change replaced, in the
	// order of their first edit and without their contracts. A nil branch did
	// not exist before.
	replacedBranches []branchEntry
	// duplicate is true if an earlier record holds the same change.
	duplicate bool
}

// changeKey maps a change's ID to the position of its record in the window.
type changeKey struct {
	id       string
	position Revision
}

// state is the result of applying the stream's records in order. Its B-trees
// are copied on write, so that clone is cheap and a change copies only the
// nodes that it modifies.
type state struct {
	// windowRecords is the number of records that the log retains.
	windowRecords Revision
	// position is the number of records applied, and revision the last
	// accepted one.
	position Revision
	revision Revision
	// horizon is the position of the last record that was evicted from the
	// log: the oldest revision that can be restored.
	horizon    Revision
	digest     digest
	branches   *btree.BTreeG[branchEntry]
	lastEdits  *btree.BTreeG[lastEdit]
	tokens     *btree.BTreeG[tokenEntry]
	log        *btree.BTreeG[logEntry]
	changes    *btree.BTreeG[changeKey]
	placements []zone.Placement
}

func newState(windowRecords Revision) *state {
	created := &state{
		windowRecords: windowRecords,
		branches:      btree.NewG(treeDegree, func(a, b branchEntry) bool { return a.path < b.path }),
		lastEdits:     btree.NewG(treeDegree, func(a, b lastEdit) bool { return a.path < b.path }),
		tokens:        btree.NewG(treeDegree, lessToken),
		log:           btree.NewG(treeDegree, func(a, b logEntry) bool { return a.position < b.position }),
		changes:       btree.NewG(treeDegree, func(a, b changeKey) bool { return a.id < b.id }),
	}
	root := &branch{path: Root, fieldRevisions: make([]Revision, len(fields))}
	root.contract = created.resolve(root)
	created.putBranch(root)
	return created
}

func lessToken(a, b tokenEntry) bool {
	if a.kind != b.kind {
		return a.kind < b.kind
	}
	if a.hash != b.hash {
		return a.hash < b.hash
	}
	return a.path < b.path
}

// clone returns an independent copy. The placements slice is shared, because
// it is replaced and never modified.
func (s *state) clone() *state {
	copied := *s
	copied.branches = s.branches.Clone()
	copied.lastEdits = s.lastEdits.Clone()
	copied.tokens = s.tokens.Clone()
	copied.log = s.log.Clone()
	copied.changes = s.changes.Clone()
	return &copied
}

func (s *state) branch(path Path) *branch {
	entry, _ := s.branches.Get(branchEntry{path: path})
	return entry.branch
}

func (s *state) putBranch(branch *branch) {
	s.branches.ReplaceOrInsert(branchEntry{path: branch.path, branch: branch})
}

// descendantRange returns the half-open range of the paths strictly below
// path. The upper bound is correct because "0" follows "/" in ASCII.
func descendantRange(path Path) (from, to Path) {
	return path + "/", path + "0"
}

// walk visits the branch at prefix and its descendants, parents first.
func (s *state) walk(prefix Path, visit func(*branch)) {
	visitEntry := func(entry branchEntry) bool {
		visit(entry.branch)
		return true
	}
	if prefix == Root {
		s.branches.Ascend(visitEntry)
		return
	}
	if found := s.branch(prefix); found != nil {
		visit(found)
	}
	from, to := descendantRange(prefix)
	s.branches.AscendRange(branchEntry{path: from}, branchEntry{path: to}, visitEntry)
}

// tokenBranch returns the branch that lists a token. A token is listed by at
// most one branch.
func (s *state) tokenBranch(kind tokenKind, hash string) (path Path, found bool) {
	s.tokens.AscendGreaterOrEqual(tokenEntry{kind: kind, hash: hash}, func(entry tokenEntry) bool {
		if entry.kind == kind && entry.hash == hash {
			path, found = entry.path, true
		}
		return false
	})
	return path, found
}

// setTokens updates the token index after a branch's lists have changed.
func (s *state) setTokens(path Path, before, after *Values) {
	for kind, lists := range [][2][]string{
		{before.CallerTokens, after.CallerTokens},
		{before.OperatorTokens, after.OperatorTokens},
	} {
		for _, hash := range lists[0] {
			s.tokens.Delete(tokenEntry{kind: tokenKind(kind), hash: hash, path: path})
		}
		for _, hash := range lists[1] {
			s.tokens.ReplaceOrInsert(tokenEntry{kind: tokenKind(kind), hash: hash, path: path})
		}
	}
}

// addPlacement adds a placement that came into force to the sorted list.
func (s *state) addPlacement(placement zone.Placement) {
	index, found := slices.BinarySearch(s.placements, placement)
	if found || placement == "" {
		return
	}
	s.placements = slices.Insert(slices.Clone(s.placements), index, placement)
}

func (s *state) verdict(changeID string) (Verdict, bool) {
	key, found := s.changes.Get(changeKey{id: changeID})
	if !found {
		return Verdict{}, false
	}
	entry, found := s.log.Get(logEntry{position: key.position})
	return entry.verdict, found
}
