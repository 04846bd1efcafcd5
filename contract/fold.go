package contract

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Limits on one change.
const (
	// MaximumEdits bounds the edits of one change.
	MaximumEdits       = 2048
	maximumIDLength    = 128
	maximumActorLength = 256
)

// digest is a hash chain over the applied records: equal digests at equal
// positions mean the same stream.
type digest [sha256.Size]byte

// Short returns the first eight bytes, which messages between nodes carry.
func (d digest) Short() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// next returns the digest after one more record.
func (d digest) next(record []byte) digest {
	hash := sha256.New()
	hash.Write(d[:])
	hash.Write(record)
	return digest(hash.Sum(nil))
}

// applyBytes applies one record in its encoded form. A malformed record is
// refused with a finding and skipped.
func (s *state) applyBytes(revision Revision, data []byte) Verdict {
	change, err := decodeChange(data)
	if err == nil {
		return s.applyRecord(revision, change, data)
	}
	if revision <= s.position {
		return s.verdictAt(revision)
	}
	verdict := Verdict{
		ID:       fmt.Sprintf("malformed-%d", uint64(revision)-1),
		Revision: s.revision,
		Findings: []Finding{{Place: "$", Message: "not a change: " + err.Error()}},
	}
	s.record(revision, data, logEntry{change: Change{ID: verdict.ID}, verdict: verdict})
	return verdict
}

func decodeChange(data []byte) (Change, error) {
	var change Change
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return Change{}, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Change{}, fmt.Errorf("text follows the change")
	}
	return change, nil
}

// applyChange applies a change that was not read from the stream.
func (s *state) applyChange(revision Revision, change Change) Verdict {
	data, err := json.Marshal(change)
	if err != nil {
		data = []byte(err.Error())
	}
	return s.applyRecord(revision, change, data)
}

// applyRecord applies one change. Its result depends on the state and the
// record alone, so every node reaches the same verdict.
func (s *state) applyRecord(revision Revision, change Change, data []byte) Verdict {
	if revision <= s.position {
		return s.verdictAt(revision)
	}
	if earlier, found := s.verdict(change.ID); found {
		s.record(revision, data, logEntry{change: Change{ID: change.ID}, verdict: earlier, duplicate: true})
		return earlier
	}
	verdict := Verdict{ID: change.ID, Revision: s.revision}
	verdict.Findings, verdict.Winner = s.findConflicts(revision, change)
	trial := s.clone()
	replacedBranches, findings := trial.applyEdits(revision, change)
	verdict.Findings = append(verdict.Findings, findings...)
	if len(verdict.Findings) > 0 {
		s.record(revision, data, logEntry{change: change, verdict: verdict})
		return verdict
	}
	*s = *trial
	s.revision = revision
	verdict.Accepted = true
	verdict.Revision = revision
	s.record(revision, data, logEntry{change: change, verdict: verdict, replacedBranches: replacedBranches})
	return verdict
}

// verdictAt returns the verdict of a record that was already applied.
func (s *state) verdictAt(revision Revision) Verdict {
	entry, found := s.log.Get(logEntry{position: revision})
	if !found {
		return Verdict{Revision: s.revision, Findings: []Finding{{Place: "$", Message: "folded before; its verdict is no longer held"}}}
	}
	return entry.verdict
}

// record advances the position past one record and adds it to the log.
func (s *state) record(revision Revision, data []byte, entry logEntry) {
	entry.position = revision
	s.log.ReplaceOrInsert(entry)
	if !entry.duplicate {
		s.changes.ReplaceOrInsert(changeKey{id: entry.change.ID, position: revision})
	}
	s.position = revision
	s.digest = s.digest.next(data)
	s.evictOldRecords()
}

// evictOldRecords drops the records that are outside the window.
func (s *state) evictOldRecords() {
	for {
		oldest, found := s.log.Min()
		if !found || oldest.position+s.windowRecords > s.position {
			return
		}
		s.log.DeleteMin()
		s.horizon = oldest.position
		key, found := s.changes.Get(changeKey{id: oldest.change.ID})
		if found && key.position == oldest.position {
			s.changes.Delete(key)
		}
		s.evictRemovedPaths(oldest)
	}
}

// evictRemovedPaths drops the last edit of each path that the evicted record
// removed and that was not created again. A change that would conflict with
// the removal is now based before the window and refused for that reason.
func (s *state) evictRemovedPaths(evicted logEntry) {
	for _, replaced := range evicted.replacedBranches {
		last, found := s.lastEdits.Get(lastEdit{path: replaced.path})
		if found && last.revision == evicted.position && s.branch(replaced.path) == nil {
			s.lastEdits.Delete(last)
		}
	}
}

// findConflicts compares the change with those accepted after Based. It also
// returns the ID of the latest accepted change that it conflicts with.
func (s *state) findConflicts(revision Revision, change Change) ([]Finding, string) {
	if change.Based >= revision {
		return []Finding{{Place: "based", Message: fmt.Sprintf("revision %d: the stream has not reached it", change.Based)}}, ""
	}
	if change.Based < s.revision && change.Based+s.windowRecords < revision {
		return []Finding{{Place: "based", Message: fmt.Sprintf("revision %d is more than %d records back: read the settings again", change.Based, s.windowRecords)}}, ""
	}
	var findings []Finding
	var winner lastEdit
	for index, edit := range change.Edits {
		latestConflict, found := s.latestConflict(edit.Path, change.Based)
		if !found {
			continue
		}
		findings = append(findings, Finding{
			Place: fmt.Sprintf("edits[%d].path", index),
			Message: fmt.Sprintf("conflict: change %q by %q edited %q at revision %d, after revision %d that this change is based on",
				latestConflict.changeID, latestConflict.actor, latestConflict.path.String(), latestConflict.revision, change.Based),
		})
		if latestConflict.revision > winner.revision {
			winner = latestConflict
		}
	}
	return findings, winner.changeID
}

// latestConflict returns the latest edit after based at the path, or at an
// ancestor or descendant of it.
func (s *state) latestConflict(path Path, based Revision) (latest lastEdit, found bool) {
	consider := func(candidate lastEdit) bool {
		if candidate.revision > based && candidate.revision > latest.revision {
			latest, found = candidate, true
		}
		return true
	}
	for _, ancestor := range path.selfAndAncestors() {
		if candidate, exists := s.lastEdits.Get(lastEdit{path: ancestor}); exists {
			consider(candidate)
		}
	}
	if path == Root {
		s.lastEdits.Ascend(consider)
		return latest, found
	}
	from, to := descendantRange(path)
	s.lastEdits.AscendRange(lastEdit{path: from}, lastEdit{path: to}, consider)
	return latest, found
}

// applyEdits applies the edits in order. It returns the branches that they
// replaced, and the findings.
func (s *state) applyEdits(revision Revision, change Change) ([]branchEntry, []Finding) {
	findings := checkChangeFields(change)
	if len(findings) > 0 {
		return nil, findings
	}
	before := map[Path]*branch{}
	var order []Path
	for index, edit := range change.Edits {
		location := fmt.Sprintf("edits[%d]", index)
		if _, seen := before[edit.Path]; !seen {
			before[edit.Path] = s.branch(edit.Path)
			order = append(order, edit.Path)
		}
		findings = append(findings, s.applyEdit(revision, change, edit, location)...)
	}
	for _, path := range slices.Sorted(maps.Keys(before)) {
		s.resolveBelow(revision, path)
	}
	findings = append(findings, s.checkNarrowing(change)...)
	entries := make([]branchEntry, len(order))
	for index, path := range order {
		entries[index] = branchEntry{path: path, branch: before[path].withoutContract()}
	}
	return entries, findings
}

// withoutContract returns a copy for the log, without the contract, which can
// be computed again.
func (b *branch) withoutContract() *branch {
	if b == nil {
		return nil
	}
	return &branch{path: b.path, values: b.values, fieldRevisions: b.fieldRevisions}
}

// applyEdit applies one edit. An edit with findings is applied as far as
// possible, so that later edits that depend on it are checked too; the caller
// must then discard the state.
func (s *state) applyEdit(revision Revision, change Change, edit Edit, location string) []Finding {
	findings := checkEdit(edit, location)
	if edit.Path.Validate() != nil || edit.Remove && edit.Path == Root {
		return findings
	}
	s.lastEdits.ReplaceOrInsert(lastEdit{path: edit.Path, revision: revision, changeID: change.ID, actor: change.Actor})
	existing := s.branch(edit.Path)
	if edit.Remove {
		return append(findings, s.removeBranch(existing, edit, location)...)
	}
	if existing == nil {
		if s.branch(edit.Path.Parent()) == nil {
			return append(findings, Finding{Place: location + ".path", Message: fmt.Sprintf("%q has no parent branch %q", edit.Path, edit.Path.Parent())})
		}
		existing = &branch{path: edit.Path, fieldRevisions: make([]Revision, len(fields))}
	}
	updated := &branch{path: edit.Path, values: existing.values, fieldRevisions: slices.Clone(existing.fieldRevisions), contract: existing.contract}
	for index := range fields {
		updated.edit(index, edit, revision)
	}
	findings = append(findings, s.checkTokens(edit, location)...)
	s.setTokens(edit.Path, &existing.values, &updated.values)
	s.putBranch(updated)
	return findings
}

// edit applies one field of an edit to a branch that is not in a state yet.
func (b *branch) edit(index int, edit Edit, revision Revision) {
	if slices.Contains(edit.Unset, fields[index].name) {
		fields[index].assign(&b.values, &Values{})
		b.fieldRevisions[index] = 0
	}
	if fields[index].isSet(&edit.Values) {
		fields[index].assign(&b.values, &edit.Values)
		b.fieldRevisions[index] = revision
	}
}

func (s *state) removeBranch(existing *branch, edit Edit, location string) []Finding {
	if existing == nil {
		return []Finding{{Place: location + ".path", Message: fmt.Sprintf("branch %q does not exist", edit.Path)}}
	}
	var findings []Finding
	s.walk(edit.Path, func(child *branch) {
		if child.path != edit.Path {
			findings = append(findings, Finding{Place: location + ".remove", Message: fmt.Sprintf("branch %q lies below: remove it first", child.path)})
		}
	})
	if len(findings) > 0 {
		return findings // removing it would leave its children without a parent
	}
	s.setTokens(edit.Path, &existing.values, &Values{})
	s.branches.Delete(branchEntry{path: edit.Path})
	return nil
}
