package contract

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"birchwood.example/birchwood/zone"
)

// snapshotFormat must be incremented when older versions could misread a
// snapshot.
const snapshotFormat = 1

// snapshot is the JSON form of a complete state. Checksum covers Body.
type snapshot struct {
	Format   int             `json:"format"`
	Checksum string          `json:"checksum"`
	Body     json.RawMessage `json:"body"`
}

type snapshotBody struct {
	Position   Revision         `json:"position"`
	Revision   Revision         `json:"revision"`
	Horizon    Revision         `json:"horizon"`
	Digest     string           `json:"digest"`
	Branches   []snapshotBranch `json:"branches"`
	Touched    []snapshotTouch  `json:"touched"`
	Placements []zone.Placement `json:"placements"`
	Log        []snapshotRecord `json:"log"`
}

// snapshotBranch is a branch. One that did not exist has only Path and Absent.
type snapshotBranch struct {
	Path   Path     `json:"path"`
	Absent bool     `json:"absent,omitempty"`
	Values Values   `json:"values"`
	Since  []uint64 `json:"since,omitempty"`
	// Contract is the revision that last changed the branch's contract. It is
	// omitted for a replaced branch in the log.
	Contract Revision `json:"contract,omitempty"`
}

type snapshotTouch struct {
	Path     Path     `json:"path"`
	Revision Revision `json:"revision"`
	ChangeID string   `json:"change_id"`
	Actor    string   `json:"actor"`
}

type snapshotRecord struct {
	Position Revision         `json:"position"`
	Change   Change           `json:"change"`
	Verdict  Verdict          `json:"verdict"`
	Before   []snapshotBranch `json:"before,omitempty"`
	// Duplicate is true if an earlier record holds the same change.
	Duplicate bool `json:"duplicate,omitempty"`
}

// OlderSnapshotError reports a snapshot that was not imported because the tree
// is at the same position or a later one.
type OlderSnapshotError struct {
	Held, Offered uint64
}

func (e *OlderSnapshotError) Error() string {
	return fmt.Sprintf("snapshot at position %d is not newer than the settings held, position %d", e.Offered, e.Held)
}

// Export returns a snapshot of the whole state, for a node that cannot read
// the stream.
func (t *Tree) Export() ([]byte, error) {
	body, err := json.Marshal(t.published.Load().export())
	if err != nil {
		return nil, fmt.Errorf("settings snapshot: %w", err)
	}
	digest := sha256.Sum256(body)
	return json.Marshal(snapshot{Format: snapshotFormat, Checksum: hex.EncodeToString(digest[:]), Body: body})
}

func (s *state) export() snapshotBody {
	body := snapshotBody{
		Position: s.position, Revision: s.revision, Horizon: s.horizon,
		Digest: hex.EncodeToString(s.digest[:]), Placements: s.placements,
	}
	s.branches.Ascend(func(entry branchEntry) bool {
		body.Branches = append(body.Branches, exportBranch(entry))
		return true
	})
	s.lastEdits.Ascend(func(entry lastEdit) bool {
		body.Touched = append(body.Touched, snapshotTouch{Path: entry.path, Revision: entry.revision, ChangeID: entry.changeID, Actor: entry.actor})
		return true
	})
	s.log.Ascend(func(entry logEntry) bool {
		record := snapshotRecord{Position: entry.position, Change: entry.change, Verdict: entry.verdict, Duplicate: entry.duplicate}
		for _, replaced := range entry.replacedBranches {
			record.Before = append(record.Before, exportBranch(replaced))
		}
		body.Log = append(body.Log, record)
		return true
	})
	return body
}

func exportBranch(entry branchEntry) snapshotBranch {
	if entry.branch == nil {
		return snapshotBranch{Path: entry.path, Absent: true}
	}
	fieldRevisions := make([]uint64, len(entry.branch.fieldRevisions))
	for index, revision := range entry.branch.fieldRevisions {
		fieldRevisions[index] = uint64(revision)
	}
	exported := snapshotBranch{Path: entry.path, Values: entry.branch.values, Since: fieldRevisions}
	if entry.branch.contract != nil {
		exported.Contract = entry.branch.contract.Revision
	}
	return exported
}

// Import replaces the state with a newer snapshot from a peer. The snapshot is
// fully validated first: on an error nothing changes. The error is an
// *OlderSnapshotError if the snapshot is not newer.
func (t *Tree) Import(data []byte) error {
	body, err := decodeSnapshot(data)
	if err != nil {
		return fmt.Errorf("settings snapshot: %w", err)
	}
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	imported, err := body.state(t.working.windowRecords)
	if err != nil {
		return fmt.Errorf("settings snapshot: %w", err)
	}
	if imported.position <= t.working.position {
		return &OlderSnapshotError{Held: uint64(t.working.position), Offered: uint64(imported.position)}
	}
	// Placements includes every placement that was ever in force here.
	for _, placement := range t.working.placements {
		imported.addPlacement(placement)
	}
	t.working = imported
	t.publish()
	return nil
}

// decodeSnapshot checks the format and checksum and decodes the body.
func decodeSnapshot(data []byte) (*snapshotBody, error) {
	var envelope snapshot
	if err := decodeStrictly(data, &envelope); err != nil {
		return nil, err
	}
	if envelope.Format != snapshotFormat {
		return nil, fmt.Errorf("format %d: want %d", envelope.Format, snapshotFormat)
	}
	digest := sha256.Sum256(envelope.Body)
	if hex.EncodeToString(digest[:]) != envelope.Checksum {
		return nil, errors.New("the checksum does not match")
	}
	var body snapshotBody
	if err := decodeStrictly(envelope.Body, &body); err != nil {
		return nil, err
	}
	return &body, nil
}

func decodeStrictly(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

// state rebuilds the state from the snapshot and validates it.
func (b *snapshotBody) state(windowRecords Revision) (*state, error) {
	built := newState(windowRecords)
	built.position, built.revision, built.horizon = b.Position, b.Revision, b.Horizon
	if count, err := hex.Decode(built.digest[:], []byte(b.Digest)); err != nil || count != len(built.digest) {
		return nil, errors.New("digest: want 64 hexadecimal digits")
	}
	if b.Revision > b.Position || b.Horizon > b.Position {
		return nil, errors.New("the revision or the horizon is greater than the position")
	}
	for _, entry := range b.Branches {
		if err := built.importBranch(entry); err != nil {
			return nil, err
		}
	}
	for _, entry := range b.Touched {
		built.lastEdits.ReplaceOrInsert(lastEdit{path: entry.Path, revision: entry.Revision, changeID: entry.ChangeID, actor: entry.Actor})
	}
	for _, placement := range b.Placements {
		if _, err := zone.ParsePlacement(string(placement)); err != nil {
			return nil, err
		}
		built.addPlacement(placement)
	}
	return built, b.importLog(built)
}

func (s *state) importBranch(entry snapshotBranch) error {
	findings := checkEdit(Edit{Path: entry.Path, Values: entry.Values}, entry.Path.String())
	if len(findings) > 0 {
		return fmt.Errorf("%s: %s", findings[0].Place, findings[0].Message)
	}
	if entry.Path != Root && s.branch(entry.Path.Parent()) == nil {
		return fmt.Errorf("branch %q has no parent", entry.Path)
	}
	imported, err := newImportedBranch(entry)
	if err != nil {
		return err
	}
	s.setTokens(entry.Path, &Values{}, &imported.values)
	imported.contract = s.resolve(imported)
	imported.contract.Revision = entry.Contract
	s.putBranch(imported)
	s.addPlacement(imported.contract.Placement)
	return nil
}

func newImportedBranch(entry snapshotBranch) (*branch, error) {
	if len(entry.Since) != len(fields) {
		return nil, fmt.Errorf("branch %q: want %d field revisions", entry.Path, len(fields))
	}
	imported := &branch{path: entry.Path, values: entry.Values, fieldRevisions: make([]Revision, len(fields))}
	for index, revision := range entry.Since {
		imported.fieldRevisions[index] = Revision(revision)
	}
	return imported, nil
}

// importLog restores the records within the window.
func (b *snapshotBody) importLog(built *state) error {
	if Revision(len(b.Log)) > built.windowRecords {
		return fmt.Errorf("log: %d records: want at most %d", len(b.Log), built.windowRecords)
	}
	for _, record := range b.Log {
		if record.Position <= b.Horizon || record.Position > b.Position {
			return fmt.Errorf("log: record at position %d is outside the window", record.Position)
		}
		entry := logEntry{position: record.Position, change: record.Change, verdict: record.Verdict, duplicate: record.Duplicate}
		for _, replaced := range record.Before {
			restored, err := importReplaced(replaced)
			if err != nil {
				return err
			}
			entry.replacedBranches = append(entry.replacedBranches, restored)
		}
		built.log.ReplaceOrInsert(entry)
		if !entry.duplicate {
			built.changes.ReplaceOrInsert(changeKey{id: record.Change.ID, position: record.Position})
		}
	}
	return nil
}

func importReplaced(replaced snapshotBranch) (branchEntry, error) {
	if replaced.Absent {
		return branchEntry{path: replaced.Path}, nil
	}
	restored, err := newImportedBranch(replaced)
	if err != nil {
		return branchEntry{}, err
	}
	return branchEntry{path: replaced.Path, branch: restored}, nil
}
