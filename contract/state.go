package contract

import (
	"slices"

	"github.com/google/btree"

	"birchwood.example/birchwood/zone"
)

// Window is how many records of the settings stream a tree remembers, for
// duplicates, verdicts, history and diffs. A change that is based on a
// revision before the window, when a later one was accepted, is refused: the
// tree no longer knows what it would clash with.
const Window = 4096

// treeDegree is the branching factor of the ordered maps.
const treeDegree = 16

// branch is one branch of the tree. It is never changed once it stands in a
// state; a change puts a new one in its place.
type branch struct {
	path   Path
	values Values
	// since holds, for each field that is set, the revision that set it.
	fieldRevisions []Revision
	// contract is the branch's values with everything inherited.
	contract *Contract
}

// branchEntry is a branch under its path. The ordered map compares entries
// by value, so that a lookup allocates nothing.
type branchEntry struct {
	path   Path
	branch *branch
}

// touch says which accepted change edited a path last. It outlives the branch.
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

// tokenEntry ties a token to the branch that lists it.
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
	// before holds the branches that the change replaced, in the order of
	// their first edit and without their contracts; a nil branch did not exist.
	replacedBranches []branchEntry
	// duplicate marks a record whose change stood in an earlier record too.
	duplicate bool
}

// changeKey finds a record of the window by its change's ID.
type changeKey struct {
	id       string
	position Revision
}

// state is the whole fold. Its ordered maps are copied lazily, so that clone
// costs a few words and a change costs the few nodes that it touches.
type state struct {
	// window is how many records are remembered.
	windowRecords Revision
	// position is the number of records folded; revision the last accepted.
	position Revision
	revision Revision
	// horizon is the position of the last record that left the window.
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

// clone returns an independent copy. The slice of placements is shared: it
// is replaced, never written to.
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

// below returns the bounds of the paths that lie strictly below path. The
// second bound works because "0" follows "/" in ASCII.
func descendantRange(path Path) (from, to Path) {
	return path + "/", path + "0"
}

// walk visits the branch at prefix and those below it, parents first.
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

// holder returns the branch that lists a token. No two branches list the same.
func (s *state) tokenBranch(kind tokenKind, hash string) (path Path, found bool) {
	s.tokens.AscendGreaterOrEqual(tokenEntry{kind: kind, hash: hash}, func(entry tokenEntry) bool {
		if entry.kind == kind && entry.hash == hash {
			path, found = entry.path, true
		}
		return false
	})
	return path, found
}

// setTokens replaces the tokens that a branch lists.
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

// addPlacement remembers a placement that came into force.
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
