package partition

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// entriesAfter returns count entries of epoch 1 that follow the sequence.
func entriesAfter(sequence uint64, count int) []recordlog.Entry {
	var entries []recordlog.Entry
	for index := range count {
		header := recordlog.Header{Writer: "a/1", Epoch: 1, Sequence: sequence + uint64(index) + 1}
		entries = append(entries, recordlog.Entry{Header: header, Kind: recordlog.KindRecord, Payload: []byte(`"x"`)})
	}
	return entries
}

var _ = Describe("MirrorStore", func() {
	const owner, reader = machine.ID("a"), machine.ID("b")
	id := ID{Group: "koudeketting"}
	size := entriesAfter(0, 1)[0].Size()
	var store *MirrorStore

	BeforeEach(func() {
		var err error
		store, err = NewMirrorStore(MirrorStoreConfig{Instance: "m/1", MaximumBytes: 10 * size, MaximumMessageBytes: 3 * size})
		Expect(err).NotTo(HaveOccurred())
	})

	hold := func(logged uint64, entries []recordlog.Entry) MirrorAck {
		GinkgoHelper()
		request := &MirrorAppend{Epoch: 1, Instance: "m/1", LoggedSequence: logged, Entries: entries}
		out := store.Step(owner, Message{Partition: id, Mirror: request})
		Expect(out).To(HaveLen(1))
		Expect(out[0].To).To(Equal(owner))
		return *out[0].Message.Mirrored
	}
	query := func(after uint64) MirrorAnswer {
		request := &MirrorQuery{Epoch: 1, Instance: "m/1", Sequence: after, ReaderEpoch: 2}
		return *store.Step(reader, Message{Partition: id, Query: request})[0].Message.Answer
	}

	It("holds only what follows without a gap", func() {
		Expect(hold(0, entriesAfter(0, 2)).Sequence).To(Equal(uint64(2)))
		Expect(hold(0, entriesAfter(3, 2)).Sequence).To(Equal(uint64(2)))
		Expect(hold(0, entriesAfter(1, 3)).Sequence).To(Equal(uint64(4)))
	})

	It("refuses what exceeds its bound, and holds it once the log has the rest", func() {
		ack := hold(0, entriesAfter(0, 12))
		Expect(ack.Full).To(BeTrue())
		Expect(ack.Sequence).To(Equal(uint64(10)))
		Expect(store.Bytes()).To(Equal(10 * size))
		ack = hold(5, entriesAfter(10, 2))
		Expect(ack.Full).To(BeFalse())
		Expect(ack.Sequence).To(Equal(uint64(12)))
		Expect(store.Bytes()).To(Equal(7 * size))
	})

	It("answers in parts of bounded size", func() {
		hold(0, entriesAfter(0, 5))
		first := query(0)
		Expect(first.Entries).To(HaveLen(3))
		Expect(first.LastSequence).To(Equal(uint64(5)))
		Expect(query(3).Entries).To(HaveLen(2))
	})

	It("refuses older epochs once it was read, and older readers", func() {
		query(0)
		Expect(hold(0, entriesAfter(0, 1)).Refused).To(BeTrue())
		Expect(store.Bytes()).To(BeZero())
		late := store.Step(reader, Message{Partition: id, Query: &MirrorQuery{Epoch: 1, Instance: "m/1", ReaderEpoch: 1}})
		Expect(late[0].Message.Answer.Refused).To(BeTrue())
	})

	It("reports that it is another process than the requested one", func() {
		request := &MirrorAppend{Epoch: 1, Instance: "m/0", Entries: entriesAfter(0, 1)}
		Expect(store.Step(owner, Message{Partition: id, Mirror: request})[0].Message.Mirrored.Restarted).To(BeTrue())
		request2 := &MirrorQuery{Epoch: 1, Instance: "m/0", ReaderEpoch: 2}
		Expect(store.Step(reader, Message{Partition: id, Query: request2})[0].Message.Answer.Restarted).To(BeTrue())
	})

	It("reports all findings of its config together", func() {
		_, err := NewMirrorStore(MirrorStoreConfig{})
		for _, finding := range []string{"Instance", "MaximumBytes", "MaximumMessageBytes"} {
			Expect(err).To(MatchError(ContainSubstring(finding)))
		}
	})
})
