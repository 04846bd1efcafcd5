package contract_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/zone"
)

// smallWindow is a window that the streams of these tests exceed.
const smallWindow = 12

var propertyPaths = []contract.Path{"", "a", "b", "a/x", "a/y", "a/x/deep", "b/x"}

// drawChange draws a change as concurrent operators would send it: based on a
// recent revision, sometimes invalid, sometimes a duplicate.
func drawChange(t *rapid.T, position int, sent []contract.Change) contract.Change {
	if len(sent) > 0 && rapid.IntRange(0, 5).Draw(t, "again") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "duplicate")
	}
	change := contract.Change{
		ID:    fmt.Sprintf("change-%d", position),
		Based: contract.Revision(max(0, position-rapid.IntRange(0, smallWindow+4).Draw(t, "age"))),
		Actor: rapid.SampledFrom([]string{"jo", "sam"}).Draw(t, "actor"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		edit := contract.Edit{Path: rapid.SampledFrom(propertyPaths).Draw(t, "path")}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			edit.Remove = true
		case 1:
			edit.Unset = []string{rapid.SampledFrom([]string{"zones", "priority"}).Draw(t, "unset")}
		case 2:
			edit.Values.Priority = pointer(rapid.IntRange(0, 10).Draw(t, "priority"))
		default:
			edit.Values.Zones = rapid.SliceOfNDistinct(rapid.SampledFrom([]zone.Name{"p", "q", "r"}), 1, 3, rapid.ID[zone.Name]).Draw(t, "zones")
		}
		change.Edits = append(change.Edits, edit)
	}
	return change
}

func drawStream(t *rapid.T) [][]byte {
	var records [][]byte
	var sent []contract.Change
	for position := range rapid.IntRange(1, 40).Draw(t, "records") {
		if rapid.IntRange(0, 9).Draw(t, "damaged") == 0 {
			records = append(records, []byte("{"))
			continue
		}
		change := drawChange(t, position, sent)
		sent = append(sent, change)
		data, err := json.Marshal(change)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, data)
	}
	return records
}

// accepted is one accepted change in the oracle's history.
type accepted struct {
	revision contract.Revision
	change   contract.Change
}

// oracleConflicts reports whether a change conflicts with the history, directly
// by the definition of a conflict.
func oracleConflicts(history []accepted, change contract.Change) bool {
	return slices.ContainsFunc(history, func(earlier accepted) bool {
		return earlier.revision > change.Based && slices.ContainsFunc(change.Edits, func(edit contract.Edit) bool {
			return slices.ContainsFunc(earlier.change.Edits, func(other contract.Edit) bool {
				return edit.Path.Contains(other.Path) || other.Path.Contains(edit.Path)
			})
		})
	})
}

// TestFoldAgreesOnEveryNode checks that a node that applies every record and one
// that starts from its snapshot at any position reach the same verdicts and the
// same state; that no accepted change conflicts with one accepted after the
// revision that it is based on; that no change takes effect twice; and that no
// branch has a zone that its parent lacks.
func TestFoldAgreesOnEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t)
		switchAt := rapid.IntRange(0, len(records)).Draw(t, "snapshot at")
		first := contract.NewTreeWithWindow(smallWindow)
		second := contract.NewTreeWithWindow(smallWindow)
		var history []accepted
		for index, data := range records {
			if index == switchAt && index > 0 {
				importFrom(t, first, second)
			}
			revision := contract.Revision(index + 1)
			before := first.Revision()
			verdict := first.ApplyBytes(revision, data)
			if first.Revision() < before {
				t.Fatalf("revision fell from %d to %d", before, first.Revision())
			}
			if index >= switchAt {
				expectEqual(t, "verdict of a node that started from a snapshot", second.ApplyBytes(revision, data), verdict)
			}
			if first.Revision() == revision {
				history = expectAllowed(t, history, revision, data)
			}
			expectNarrowing(t, first)
		}
		if switchAt == len(records) {
			importFrom(t, first, second)
		}
		expectSameState(t, first, second)
	})
}

func importFrom(t *rapid.T, from, to *contract.Tree) {
	data, err := from.Export()
	if err != nil {
		t.Fatal(err)
	}
	if err := to.Import(data); err != nil {
		t.Fatal(err)
	}
}

// expectAllowed checks a change that took effect against the oracle and adds it
// to the history.
func expectAllowed(t *rapid.T, history []accepted, revision contract.Revision, data []byte) []accepted {
	var change contract.Change
	if err := json.Unmarshal(data, &change); err != nil {
		t.Fatal(err)
	}
	if oracleConflicts(history, change) {
		t.Fatalf("change %s was accepted over one that it did not know of", change.ID)
	}
	if slices.ContainsFunc(history, func(earlier accepted) bool { return earlier.change.ID == change.ID }) {
		t.Fatalf("change %s took effect twice", change.ID)
	}
	return append(history, accepted{revision: revision, change: change})
}

func expectNarrowing(t *rapid.T, tree *contract.Tree) {
	for _, path := range tree.Branches("") {
		child, err := tree.Resolve(path)
		if err != nil {
			t.Fatal(err)
		}
		parent, err := tree.Resolve(path.Parent())
		if err != nil {
			t.Fatalf("branch %s has no parent: %v", path, err)
		}
		if child.Placement.Intersect(parent.Placement) != child.Placement {
			t.Fatalf("branch %s may visit %s, its parent only %s", path, child.Placement, parent.Placement)
		}
		if child.Placement != "" && !slices.Contains(tree.Placements(), child.Placement) {
			t.Fatalf("placement %s is in force and not listed", child.Placement)
		}
	}
}

func expectSameState(t *rapid.T, first, second *contract.Tree) {
	one, err := first.Export()
	if err != nil {
		t.Fatal(err)
	}
	other, err := second.Export()
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "state", string(other), string(one))
	if first.Digest() != second.Digest() {
		t.Fatal("digests differ")
	}
}

func expectEqual(t *rapid.T, what string, got, want any) {
	gotText, _ := json.Marshal(got)
	wantText, _ := json.Marshal(want)
	if string(gotText) != string(wantText) {
		t.Fatalf("%s:\n got %s\nwant %s", what, gotText, wantText)
	}
}

// TestFollowersAgreeUnderFaults checks that a follower that reads the stream in
// parts, with failed, late and repeated answers, ends with the same state and
// the same verdicts, in order, as a tree to which all records were applied.
func TestFollowersAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t)
		plain := contract.NewTree()
		var want []contract.Verdict
		for index, data := range records {
			want = append(want, plain.ApplyBytes(contract.Revision(index+1), data))
		}
		config := contract.DefaultFollowerConfig()
		config.Self = "node"
		config.ReadMaximum = rapid.IntRange(1, 7).Draw(t, "read maximum")
		config.Random = rand.New(rand.NewPCG(1, 2))
		follower, err := contract.NewFollower(config)
		if err != nil {
			t.Fatal(err)
		}
		got := followUnderFaults(t, follower, records)
		expectEqual(t, "verdicts", got, want)
		expectSameState(t, plain, follower.Tree())
	})
}

func followUnderFaults(t *rapid.T, follower *contract.Follower, records [][]byte) []contract.Verdict {
	log := &settingsLog{records: records}
	now := start
	var verdicts []contract.Verdict
	var answers []contract.ReadDone
	revision := contract.Revision(0)
	for step := 0; follower.Tree().Position() < uint64(len(records)); step++ {
		if step > 10_000 {
			t.Fatal("the follower never reaches the end of the stream")
		}
		follower.Tick(now)
		ready := follower.Ready()
		verdicts = append(verdicts, ready.Verdicts...)
		if ready.Read != nil {
			answers = append(answers, log.answer(ready.Read))
		}
		answers = deliver(t, follower, now, answers)
		if follower.Tree().Revision() < revision {
			t.Fatal("the revision fell")
		}
		revision = follower.Tree().Revision()
		now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "milliseconds")) * time.Millisecond)
	}
	return append(verdicts, follower.Ready().Verdicts...)
}

// deliver passes one of the pending answers to the follower, possibly as a
// failure, and possibly keeps it to be delivered again.
func deliver(t *rapid.T, follower *contract.Follower, now time.Time, answers []contract.ReadDone) []contract.ReadDone {
	if len(answers) == 0 {
		return answers
	}
	index := rapid.IntRange(0, len(answers)-1).Draw(t, "answer")
	done := answers[index]
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0:
		return answers // not delivered yet
	case 1:
		done.Changes, done.End, done.Err = nil, 0, fmt.Errorf("down")
	}
	follower.Step(now, done)
	if rapid.Bool().Draw(t, "repeated") {
		return answers
	}
	return slices.Delete(answers, index, index+1)
}

var _ = It("may be read from many goroutines while changes are folded", func() {
	tree := contract.NewTree()
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			defer GinkgoRecover()
			last := contract.Revision(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				revision := tree.Revision()
				Expect(revision).To(BeNumerically(">=", last))
				last = revision
				root, err := tree.Resolve("")
				Expect(err).NotTo(HaveOccurred())
				Expect(root.Placement.Contains("p")).To(Equal(root.Placement != ""))
				tree.Placements()
				tree.History("", 3)
				_, _ = tree.Diff("", 0, revision)
			}
		})
	}
	for index := range 200 {
		tree.Apply(contract.Revision(index+1), set(fmt.Sprint(index), contract.Revision(index), "", zones("p", "q")))
	}
	close(stop)
	readers.Wait()
	Expect(tree.Revision()).To(Equal(contract.Revision(200)))
})
