package recordlog

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func claimBy(writer string, epoch uint64) Entry {
	return Entry{Header: Header{Writer: writer, Epoch: epoch}, Kind: KindClaim, Claim: &Claim{Owner: WriterMachine(writer)}}
}

func recordBy(writer string, epoch, sequence uint64) Entry {
	return Entry{Header: Header{Writer: writer, Epoch: epoch, Sequence: sequence}, Kind: KindRecord}
}

func mirrorsBy(writer string, epoch, sequence uint64, set MirrorSet) Entry {
	return Entry{Header: Header{Writer: writer, Epoch: epoch, Sequence: sequence}, Kind: KindMirrors, Mirrors: &set}
}

var _ = ginkgo.Describe("Fold", func() {
	const a, b = "a/1", "b/1"

	ginkgo.DescribeTable("decides which entries count by their order alone",
		func(entries []Entry, want ...Verdict) {
			var fold Fold
			var verdicts []Verdict
			for _, entry := range entries {
				verdicts = append(verdicts, fold.Add(entry))
			}
			Expect(verdicts).To(Equal(want))
			Expect(fold.NextOffset).To(Equal(uint64(len(entries))))
		},
		ginkgo.Entry(nil, []Entry{claimBy(a, 1), recordBy(a, 1, 1)}, VerdictValid, VerdictValid),
		ginkgo.Entry("the first claim of an epoch wins", []Entry{claimBy(a, 1), claimBy(b, 1), recordBy(b, 1, 1)},
			VerdictValid, VerdictVoid, VerdictVoid),
		ginkgo.Entry("a claim must follow on the newest epoch", []Entry{claimBy(a, 1), claimBy(b, 3), claimBy(b, 0)},
			VerdictValid, VerdictVoid, VerdictVoid),
		ginkgo.Entry("a claim voids what follows of older epochs",
			[]Entry{claimBy(a, 1), recordBy(a, 1, 1), claimBy(b, 2), recordBy(a, 1, 2), recordBy(b, 2, 1)},
			VerdictValid, VerdictValid, VerdictValid, VerdictVoid, VerdictValid),
		ginkgo.Entry("a retried entry counts once",
			[]Entry{claimBy(a, 1), claimBy(a, 1), recordBy(a, 1, 1), recordBy(a, 1, 1), recordBy(a, 1, 2)},
			VerdictValid, VerdictDuplicate, VerdictValid, VerdictDuplicate, VerdictValid),
		ginkgo.Entry("a gap in the sequence is void", []Entry{claimBy(a, 1), recordBy(a, 1, 2)}, VerdictValid, VerdictVoid),
		ginkgo.Entry("an entry without its kind's content is void",
			[]Entry{{Header: Header{Writer: a, Epoch: 1}, Kind: KindClaim}}, VerdictVoid),
	)

	ginkgo.It("owes the mirrors of an opened epoch until a later epoch has settled", func() {
		var fold Fold
		members := []Mirror{{ID: "m", Instance: "m/1"}}
		fold.Add(claimBy(a, 1))
		fold.Add(mirrorsBy(a, 1, 1, MirrorSet{Members: members}))
		fold.Add(recordBy(a, 1, 2))
		fold.Add(claimBy(b, 2))
		fold.Add(claimBy(a, 3))
		Expect(fold.Debt).To(Equal(&Debt{Epoch: 1, Sequence: 2, Mirrors: members, Writer: a}))

		repeated := recordBy(a, 3, 1)
		repeated.Origin = &Origin{Epoch: 1, Sequence: 4}
		fold.Add(repeated)
		Expect(fold.Debt.Sequence).To(Equal(uint64(4)))
		fold.Add(mirrorsBy(a, 3, 2, MirrorSet{Released: true}))
		fold.Add(claimBy(b, 4))
		Expect(fold.Debt).To(BeNil())
	})
})

var _ = ginkgo.Describe("Quorums", func() {
	ginkgo.It("share a mirror for every size of a set", func() {
		for count := 1; count <= 9; count++ {
			Expect(WriteQuorum(count) + ReadQuorum(count)).To(BeNumerically(">", count))
			Expect(ReadQuorum(count)).To(BeNumerically("<=", count))
		}
	})
})

// TestFoldStartsAnywhere checks that a Fold that starts at any valid snapshot
// returns the same verdicts as one that processed all entries, for arbitrary
// entries.
func TestFoldStartsAnywhere(t *testing.T) {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 60).Draw(t, "entries")
		var whole Fold
		for index, entry := range entries {
			verdict := whole.Add(entry)
			if verdict != VerdictValid || !IsSnapshotStart(entry) {
				continue
			}
			fromStart := whole
			var fromSnapshot Fold
			fromSnapshot.StartAt(uint64(index))
			fromSnapshot.Add(entry)
			for _, following := range entries[index+1:] {
				if one, other := fromStart.Add(following), fromSnapshot.Add(following); one != other {
					t.Fatalf("%+v: %s for a reader from the start, %s for one from the snapshot at %d", following, one, other, index)
				}
			}
		}
	})
}

func drawEntry(t *rapid.T) Entry {
	writer := rapid.SampledFrom([]string{"a/1", "b/1"}).Draw(t, "writer")
	epoch := rapid.Uint64Range(1, 4).Draw(t, "epoch")
	sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
	switch rapid.SampledFrom([]Kind{KindClaim, KindRecord, KindRecord, KindMirrors, KindSnapshot}).Draw(t, "kind") {
	case KindClaim:
		return claimBy(writer, epoch)
	case KindMirrors:
		return mirrorsBy(writer, epoch, sequence, MirrorSet{})
	case KindSnapshot:
		entry := recordBy(writer, epoch, sequence)
		entry.Kind = KindSnapshot
		entry.Part = &Part{Count: 1}
		return entry
	default:
		return recordBy(writer, epoch, sequence)
	}
}
