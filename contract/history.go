package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// HistoryEntry is one accepted change, reduced to the edits that are relevant
// to a branch.
type HistoryEntry struct {
	Revision Revision  `json:"revision"`
	ChangeID string    `json:"change_id"`
	Actor    string    `json:"actor"`
	At       time.Time `json:"at"`
	// Edits holds the edits of the branch, its ancestors and its descendants.
	Edits []Edit `json:"edits"`
}

// Difference is one value that differs between two revisions. Before or After
// is nil if the branch did not exist at that revision.
type Difference struct {
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
	// From is the branch that sets the value in After.
	From Path `json:"from"`
}

// Effect is the effect that a change would have on one branch.
type Effect struct {
	Path        Path         `json:"path"`
	Created     bool         `json:"created,omitempty"`
	Removed     bool         `json:"removed,omitempty"`
	Differences []Difference `json:"differences,omitempty"`
}

// RevisionError reports a revision that is outside the window or not reached
// yet.
type RevisionError struct {
	Revision Revision
	// Oldest and Newest bound the available revisions.
	Oldest, Newest Revision
}

func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d: want one from %d to %d", e.Revision, e.Oldest, e.Newest)
}

// History returns the accepted changes within the window, newest first, that
// edited the branch, an ancestor or a descendant. A limit of zero means no
// limit.
func (t *Tree) History(path Path, limit int) []HistoryEntry {
	var history []HistoryEntry
	t.published.Load().log.Descend(func(entry logEntry) bool {
		if !entry.accepted() {
			return true
		}
		edits := editsConcerning(path, entry.change.Edits)
		if len(edits) > 0 {
			history = append(history, HistoryEntry{
				Revision: entry.position, ChangeID: entry.change.ID,
				Actor: entry.change.Actor, At: entry.change.At, Edits: edits,
			})
		}
		return limit == 0 || len(history) < limit
	})
	return history
}

// accepted reports whether the record itself changed the tree. A duplicate of
// an accepted change does not.
func (e logEntry) accepted() bool { return e.verdict.Accepted && !e.duplicate }

func editsConcerning(path Path, edits []Edit) []Edit {
	var concerning []Edit
	for _, edit := range edits {
		if path.Contains(edit.Path) || edit.Path.Contains(path) {
			concerning = append(concerning, edit)
		}
	}
	return concerning
}

// Diff returns the values of a branch's contract that differ between two
// revisions. The error is a *RevisionError, or an *UnknownBranchError when
// the branch existed at neither.
func (t *Tree) Diff(path Path, from, to Revision) ([]Difference, error) {
	current := t.published.Load()
	// Cloning a btree writes to it, so a published state, which is read
	// without a lock, is never cloned. The working state is cloned instead,
	// and only revisions up to the published position are accepted.
	t.writeMutex.Lock()
	working := t.working.clone()
	t.writeMutex.Unlock()
	before, err := working.asOf(from, current.position)
	if err != nil {
		return nil, err
	}
	after, err := working.asOf(to, current.position)
	if err != nil {
		return nil, err
	}
	if before.branch(path) == nil && after.branch(path) == nil {
		return nil, current.unknownBranch(path)
	}
	return difference(before, after, path)
}

// asOf returns the state as of a revision, by undoing later changes.
func (s *state) asOf(revision, newest Revision) (*state, error) {
	if revision < s.horizon || revision > newest {
		return nil, &RevisionError{Revision: revision, Oldest: s.horizon, Newest: newest}
	}
	past := s.clone()
	s.log.Descend(func(entry logEntry) bool {
		if entry.position <= revision {
			return false
		}
		for _, replaced := range entry.replacedBranches {
			past.restore(replaced)
		}
		return true
	})
	past.resolveBelow(revision, Root)
	return past, nil
}

// restore undoes the replacement of a branch.
func (s *state) restore(replaced branchEntry) {
	if replaced.branch == nil {
		s.branches.Delete(replaced)
		return
	}
	s.branches.ReplaceOrInsert(replaced)
}

// difference compares a branch's contract in two states.
func difference(before, after *state, path Path) ([]Difference, error) {
	old, err := explainIfExists(before, path)
	if err != nil {
		return nil, err
	}
	changed, err := explainIfExists(after, path)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for index := range max(len(old), len(changed)) {
		var found Difference
		if index < len(old) {
			found.Name, found.Before = old[index].Name, old[index].Value
		}
		if index < len(changed) {
			found.Name, found.After, found.From = changed[index].Name, changed[index].Value, changed[index].From
		}
		if !bytes.Equal(found.Before, found.After) {
			differences = append(differences, found)
		}
	}
	return differences, nil
}

func explainIfExists(s *state, path Path) ([]Explanation, error) {
	if s.branch(path) == nil {
		return nil, nil
	}
	return s.explain(path)
}

// Preview returns the effects of the change on each branch if it were applied
// next, or all of its findings. At most limit effects are returned; total
// counts them all. A limit of zero means no limit.
func (t *Tree) Preview(change Change, limit int) (effects []Effect, total int, findings []Finding) {
	t.writeMutex.Lock()
	before := t.working.clone()
	t.writeMutex.Unlock()
	after := before.clone()
	if verdict := after.applyChange(after.position+1, change); !verdict.Accepted {
		return nil, 0, verdict.Findings
	}
	for _, path := range affectedPaths(before, after, change) {
		effect := Effect{Path: path, Created: before.branch(path) == nil, Removed: after.branch(path) == nil}
		differences, err := difference(before, after, path)
		if err != nil || len(differences) == 0 && !effect.Created && !effect.Removed {
			continue
		}
		effect.Differences = differences
		total++
		if limit == 0 || len(effects) < limit {
			effects = append(effects, effect)
		}
	}
	return effects, total, nil
}

// affectedPaths returns the sorted paths of all branches at or below an edited
// path, in either state.
func affectedPaths(before, after *state, change Change) []Path {
	var paths []Path
	collect := func(branch *branch) { paths = append(paths, branch.path) }
	for _, edit := range change.Edits {
		before.walk(edit.Path, collect)
		after.walk(edit.Path, collect)
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}
