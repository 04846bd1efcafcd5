package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

var _ = Describe("A replica that is not listed after an outage", func() {
	until := start.Add(2 * time.Second)

	It("is still selected, and is due for removal at its deadline", func() {
		set := newSet(1)
		Expect(set.DeferRemoval("r0", until)).To(BeTrue())
		Expect(set.DeferRemoval("r0", until.Add(time.Hour))).To(BeTrue())
		choice, err := set.Select(start, &replica.Request{Service: "s"})
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.Entry.ID).To(Equal(replica.ID("r0")))
		Expect(set.DueRemovals(until.Add(-time.Millisecond))).To(BeEmpty())
		Expect(set.DueRemovals(until)).To(Equal([]replica.ID{"r0"}))
	})

	It("gets nothing after its deadline, even if the list was not read since", func() {
		set := newSet(2)
		set.DeferRemoval("r0", until)
		for draw := range 10 {
			choice, err := set.Select(until, &replica.Request{Service: "s", Draw: float64(draw) / 10})
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
		}
		_, err := set.Select(until, &replica.Request{Service: "s", Only: "r0"})
		Expect(err).To(MatchError(replica.ErrNoReplica))
		_, err = set.Select(until.Add(-time.Millisecond), &replica.Request{Service: "s", Only: "r0"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("stays once it is listed again", func() {
		set := newSet(1)
		set.DeferRemoval("r0", until)
		set.Put(start, replica.Entry{ID: "r0", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4})
		Expect(set.DueRemovals(until)).To(BeEmpty())
	})

	It("is not kept if it drains or is unknown", func() {
		set := newSet(1)
		set.Put(start, replica.Entry{ID: "r0", Service: "s", Zone: "here", Status: replica.StatusDraining, Slots: 4})
		Expect(set.DeferRemoval("r0", until)).To(BeFalse())
		Expect(set.DeferRemoval("other", until)).To(BeFalse())
	})
})
