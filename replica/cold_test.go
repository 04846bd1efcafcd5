package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

var _ = Describe("A cold replica", func() {
	const id = replica.ID("r0")
	var set *replica.Set

	entry := func(left time.Duration, sequence uint64) replica.Entry {
		return replica.Entry{
			ID: id, Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4,
			Cold: replica.ColdStatus{Remaining: left, Sequence: sequence},
		}
	}
	passed := func(left time.Duration, sequence uint64) replica.Entry {
		forwarded := entry(left, sequence)
		forwarded.Cold.Forwarded = true
		return forwarded
	}
	at := func(after time.Duration) time.Time { return start.Add(after) }
	rateAt := func(now time.Time) float64 {
		choice, err := set.Select(now, &replica.Request{Service: "s"})
		Expect(err).NotTo(HaveOccurred())
		return choice.ColdRate
	}

	BeforeEach(func() {
		set = replica.NewSet(replica.DefaultConfig("here"))
		set.SetColdRate("s", 28)
	})

	It("is warm without a status, and cold for as long as its entry says, counted from receipt", func() {
		set.Put(start, entry(0, 1))
		Expect(rateAt(start)).To(BeZero())
		Expect(set.Put(at(time.Second), entry(3*time.Second, 2))).To(BeTrue())
		Expect(rateAt(at(3990 * time.Millisecond))).To(Equal(28.0))
		Expect(rateAt(at(4 * time.Second))).To(BeZero())
	})

	It("is announced when it turns cold again, but not with each heartbeat", func() {
		set.Put(start, entry(3*time.Second, 1))
		Expect(set.Put(at(500*time.Millisecond), entry(2500*time.Millisecond, 2))).To(BeFalse())
		Expect(set.Put(at(1100*time.Millisecond), entry(2*time.Second, 3))).To(BeFalse())
		Expect(set.Put(at(1600*time.Millisecond), entry(0, 4))).To(BeFalse())
		Expect(set.Put(at(10*time.Second), entry(3*time.Second, 9))).To(BeTrue())
		Expect(rateAt(at(12 * time.Second))).To(Equal(28.0))
	})

	It("does not turn cold when its entry is read again, or one that is older", func() {
		set.Put(start, entry(3*time.Second, 4))
		Expect(set.Put(at(15*time.Second), entry(3*time.Second, 4))).To(BeFalse())
		Expect(set.Put(at(15*time.Second), entry(2*time.Second, 3))).To(BeFalse())
		Expect(rateAt(at(15 * time.Second))).To(BeZero())
	})

	It("turns cold by each different status if entries have no sequence numbers", func() {
		set.Put(start, entry(3*time.Second, 0))
		set.Put(at(15*time.Second), entry(3*time.Second, 0))
		Expect(rateAt(at(15 * time.Second))).To(BeZero())
		set.Put(at(16*time.Second), entry(2*time.Second, 0))
		Expect(rateAt(at(16 * time.Second))).To(Equal(28.0))
	})

	It("stays cold when an older status arrives late", func() {
		set.Put(start, entry(0, 1))
		Expect(set.ExtendCold(at(time.Second), id, 3*time.Second)).To(BeTrue())
		set.Put(at(1100*time.Millisecond), entry(0, 2))
		Expect(rateAt(at(3900 * time.Millisecond))).To(Equal(28.0))
	})

	It("is forwarded with its remaining cold time, which does not extend it", func() {
		set.Put(start, entry(3*time.Second, 5))
		forwarded, known := set.EntryAt(at(2*time.Second), id)
		Expect(known).To(BeTrue())
		Expect(forwarded.Cold).To(Equal(replica.ColdStatus{Remaining: time.Second, Sequence: 5, Forwarded: true}))
		Expect(set.Entries(at(5 * time.Second))[0].Cold.Remaining).To(BeZero())
		set.Put(at(2*time.Second), forwarded)
		Expect(rateAt(at(3 * time.Second))).To(BeZero())
	})

	It("does not turn cold again by an entry that a peer forwarded before", func() {
		set.Put(start, passed(500*time.Millisecond, 5))
		set.Put(at(10*time.Second), entry(3*time.Second, 5))
		Expect(rateAt(at(10 * time.Second))).To(BeZero())
	})

	It("is passed over while it is at its rate, and others are full", func() {
		set.Put(start, entry(3*time.Second, 1))
		set.PauseCold(start, id, 50*time.Millisecond)
		_, err := set.Select(start, &replica.Request{Service: "s"})
		Expect(err).To(MatchError(replica.ErrColdRate))
		_, err = set.Select(start, &replica.Request{Service: "s", Only: id})
		Expect(err).To(MatchError(replica.ErrColdRate))
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s"})).To(BeNumerically(">", 1.6))
		Expect(rateAt(at(50 * time.Millisecond))).To(Equal(28.0))
		Expect(set.MinUtilisation(at(50*time.Millisecond), &replica.Request{Service: "s"})).To(BeZero())
		_, err = set.Select(at(time.Second), &replica.Request{Service: "s", WarmOnly: true})
		Expect(err).To(MatchError(replica.ErrColdRate))
	})

	It("is selected after warm ones until their slots are taken", func() {
		set.Put(start, entry(3*time.Second, 1))
		warm := replica.Entry{ID: "r1", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4}
		set.Put(start, warm)
		chosen := map[replica.ID]int{}
		for range 8 {
			choice, err := set.Select(start, &replica.Request{Service: "s"})
			Expect(err).NotTo(HaveOccurred())
			set.Reserve(choice.Entry.ID)
			chosen[choice.Entry.ID]++
		}
		Expect(chosen["r1"]).To(Equal(4))
		Expect(chosen[id]).To(Equal(4))
	})

	It("counts like any other where its service has no rate, or the part is off", func() {
		set.Put(start, entry(3*time.Second, 1))
		set.SetColdRate("s", 0)
		Expect(rateAt(start)).To(BeZero())
		set.PauseCold(start, id, time.Second)
		Expect(rateAt(start)).To(BeZero())
	})

	It("is reported once when it turns cold, and once when it turns warm", func() {
		set.Put(start, entry(3*time.Second, 1))
		turns, count := set.ColdTransitions(start)
		Expect(turns).To(Equal([]replica.ColdTransition{{ID: id, Cold: true, Until: at(3 * time.Second), Source: "entry"}}))
		Expect(count).To(Equal(1))
		turns, _ = set.ColdTransitions(at(time.Second))
		Expect(turns).To(BeEmpty())
		turns, count = set.ColdTransitions(at(3 * time.Second))
		Expect(turns).To(HaveLen(1))
		Expect(turns[0].Cold).To(BeFalse())
		Expect(count).To(BeZero())
	})

	It("takes back what was reserved and not sent, and keeps no prompt for it", func() {
		set.Put(start, entry(3*time.Second, 1))
		set.SetCacheTokens("s", 1000)
		request := &replica.Request{Service: "s", Program: "p", Prompt: []replica.Part{{ID: "a", Tokens: 100}}}
		set.Reserve(id)
		set.Release(id)
		Expect(set.OwnRequests()).To(BeEmpty())
		choice, err := set.Select(start, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.UncachedTokens).To(Equal(100))
	})
})
