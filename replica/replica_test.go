package replica_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newSet returns a set of count ready replicas of service "s" in zone "here".
func newSet(count int) *replica.Set {
	set := replica.NewSet(replica.DefaultConfig("here"))
	set.SetCacheTokens("s", 10000)
	for index := range count {
		set.Put(start, replica.Entry{
			ID: replica.ID(fmt.Sprintf("r%d", index)), Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4,
		})
	}
	return set
}

var _ = Describe("The choice of a replica", func() {
	It("passes over those that drain, were tried, or belong to another service", func() {
		set := newSet(3)
		set.Put(start, replica.Entry{ID: "r0", Service: "s", Zone: "here", Status: replica.StatusDraining, Slots: 4})
		set.Put(start, replica.Entry{ID: "other", Service: "t", Zone: "here", Status: replica.StatusReady, Slots: 4})
		for draw := range 20 {
			choice, err := set.Select(start, &replica.Request{Service: "s", Excluded: []replica.ID{"r1"}, Draw: float64(draw) / 20})
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Entry.ID).To(Equal(replica.ID("r2")))
		}
	})

	It("distinguishes a service without replicas from one whose replicas are full", func() {
		set := newSet(1)
		_, err := set.Select(start, &replica.Request{Service: "none"})
		Expect(err).To(MatchError(replica.ErrNoReplica))
		set.Began(start, "r0", &replica.Request{Prompt: nil})
		_, err = set.Select(start, &replica.Request{Service: "s", MaxPerNode: 1})
		Expect(err).To(MatchError(replica.ErrSaturated))
	})

	It("spreads requests that are alike", func() {
		set := newSet(4)
		counts := map[replica.ID]int{}
		for draw := range 40 {
			choice, err := set.Select(start, &replica.Request{Service: "s", Draw: float64(draw%7) / 7})
			Expect(err).NotTo(HaveOccurred())
			set.Began(start, choice.Entry.ID, &replica.Request{Prompt: nil})
			counts[choice.Entry.ID]++
		}
		Expect(counts).To(HaveLen(4))
		for _, count := range counts {
			Expect(count).To(Equal(10))
		}
	})

	It("counts the requests in flight of other nodes, and forgets an old report", func() {
		set := newSet(2)
		set.SetPeer(start, "peer", map[replica.ID]int{"r0": 3})
		choice, _ := set.Select(start, &replica.Request{Service: "s"})
		Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
		set.SetPeer(start.Add(time.Minute), "another", nil)
		set.Began(start, "r1", &replica.Request{Prompt: nil})
		choice, _ = set.Select(start.Add(time.Minute), &replica.Request{Service: "s"})
		Expect(choice.Entry.ID).To(Equal(replica.ID("r0")))
	})

	It("goes where the prompt is cached, unless that replica is full", func() {
		set := newSet(3)
		prompt := []replica.Part{{ID: "shared", Tokens: 3000}, {ID: "own", Tokens: 1000}}
		set.Began(start, "r1", &replica.Request{Prompt: prompt})
		set.Ended(start, "r1", replica.ResultAnswered)
		choice, _ := set.Select(start, &replica.Request{Service: "s", Prompt: prompt})
		Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
		Expect(choice.UncachedTokens).To(BeZero())
		for range 5 {
			set.Began(start, "r1", &replica.Request{Prompt: nil})
		}
		choice, _ = set.Select(start, &replica.Request{Service: "s", Prompt: prompt})
		Expect(choice.Entry.ID).NotTo(Equal(replica.ID("r1")))
	})

	It("prefers a replica to which a connection is free, and one in its own zone, while loads are alike", func() {
		set := newSet(3)
		set.Put(start, replica.Entry{ID: "r2", Service: "s", Zone: "elsewhere", Status: replica.StatusReady, Slots: 4})
		connected := func(entry replica.Entry) bool { return entry.ID != "r0" }
		for draw := range 10 {
			choice, _ := set.Select(start, &replica.Request{Service: "s", Connected: connected, Draw: float64(draw) / 10})
			Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
		}
		for range 4 {
			set.Began(start, "r1", &replica.Request{Prompt: nil})
		}
		choice, _ := set.Select(start, &replica.Request{Service: "s", Connected: connected})
		Expect(choice.Entry.ID).To(Equal(replica.ID("r0")))
	})

	It("goes where another node sent the session's previous turn", func() {
		set := newSet(3)
		prompt := []replica.Part{{ID: "shared", Tokens: 500}, {ID: "history", Tokens: 900}, {ID: "new", Tokens: 100}}
		set.SetPeer(start, "peer", map[replica.ID]int{"r1": 3})
		for draw := range 10 {
			choice, _ := set.Select(start, &replica.Request{Service: "s", Prompt: prompt, Preferred: "r1", Draw: float64(draw) / 10})
			Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
			Expect(choice.UncachedTokens).To(Equal(100))
		}
	})

	It("counts a part as cached only after parts that are cached", func() {
		set := newSet(1)
		set.Began(start, "r0", &replica.Request{Prompt: []replica.Part{{ID: "b", Tokens: 10}}})
		choice, _ := set.Select(start, &replica.Request{Service: "s", Prompt: []replica.Part{{ID: "a", Tokens: 5}, {ID: "b", Tokens: 10}}})
		Expect(choice.UncachedTokens).To(Equal(15))
	})

	It("evicts the least recently used part when the cache is full", func() {
		set := newSet(1)
		set.Began(start, "r0", &replica.Request{Prompt: []replica.Part{{ID: "old", Tokens: 6000}}})
		set.Began(start.Add(time.Second), "r0", &replica.Request{Prompt: []replica.Part{{ID: "new", Tokens: 6000}}})
		choice, _ := set.Select(start, &replica.Request{Service: "s", Prompt: []replica.Part{{ID: "old", Tokens: 6000}}})
		Expect(choice.UncachedTokens).To(Equal(6000))
		choice, _ = set.Select(start, &replica.Request{Service: "s", Prompt: []replica.Part{{ID: "new", Tokens: 6000}}})
		Expect(choice.UncachedTokens).To(BeZero())
	})

	It("passes over a replica that failed, for longer each time, but not where it is the only one", func() {
		set := newSet(2)
		set.Ended(start, "r0", replica.ResultFailed)
		for draw := range 10 {
			choice, _ := set.Select(start.Add(400*time.Millisecond), &replica.Request{Service: "s", Draw: float64(draw) / 10})
			Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
		}
		choice, err := set.Select(start, &replica.Request{Service: "s", Excluded: []replica.ID{"r1"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.Entry.ID).To(Equal(replica.ID("r0")))
		set.Ended(start, "r0", replica.ResultFailed)
		choice, _ = set.Select(start.Add(900*time.Millisecond), &replica.Request{Service: "s"})
		Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
	})

	It("keeps to the one replica that may run the request again, also after it failed", func() {
		set := newSet(4)
		set.Ended(start, "r2", replica.ResultFailed)
		for draw := range 10 {
			choice, err := set.Select(start, &replica.Request{Service: "s", Only: "r2", Draw: float64(draw) / 10})
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Entry.ID).To(Equal(replica.ID("r2")))
		}
		set.Put(start, replica.Entry{ID: "r2", Service: "s", Zone: "here", Status: replica.StatusDraining, Slots: 4})
		_, err := set.Select(start, &replica.Request{Service: "s", Only: "r2"})
		Expect(err).To(MatchError(replica.ErrNoReplica))
		set.Remove("r2")
		choice, err := set.Select(start, &replica.Request{Service: "s", Only: "r2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.Entry.ID).NotTo(Equal(replica.ID("r2")))
	})

	It("no longer keeps to that replica once its process is a later one", func() {
		set := newSet(4)
		set.Put(start, replica.Entry{ID: "r2", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4, Incarnation: 7})
		request := &replica.Request{Service: "s", Only: "r2", OnlyIncarnation: 7, Avoided: []replica.ID{"r2"}}
		choice, err := set.Select(start, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.Entry.ID).To(Equal(replica.ID("r2")))
		set.Put(start, replica.Entry{ID: "r2", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4, Incarnation: 8})
		choice, err = set.Select(start, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.Entry.ID).NotTo(Equal(replica.ID("r2")))
	})

	It("avoids a replica that answers with errors, or not at all, until that is some seconds ago", func() {
		for _, result := range []replica.Result{replica.ResultErred, replica.ResultTimedOut} {
			set := newSet(3)
			for range 3 {
				set.Ended(start, "r1", result)
				set.Ended(start, "r1", replica.ResultAnswered)
			}
			for draw := range 10 {
				choice, _ := set.Select(start.Add(time.Second), &replica.Request{Service: "s", Draw: float64(draw) / 10})
				Expect(choice.Entry.ID).NotTo(Equal(replica.ID("r1")))
			}
			chosen := map[replica.ID]bool{}
			for draw := range 10 {
				choice, _ := set.Select(start.Add(time.Minute), &replica.Request{Service: "s", Draw: float64(draw) / 10})
				chosen[choice.Entry.ID] = true
			}
			Expect(chosen).To(HaveKey(replica.ID("r1")))
		}
	})

	It("returns the utilisation of the least loaded ready replica", func() {
		set := newSet(2)
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s"})).To(BeZero())
		Expect(set.MinUtilisation(start, &replica.Request{Service: "none"})).To(BeZero())
		for range 6 {
			set.Began(start, "r0", &replica.Request{Prompt: nil})
		}
		set.SetPeer(start, "peer", map[replica.ID]int{"r1": 3})
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s"})).To(Equal(0.75))
		set.Put(start, replica.Entry{ID: "r1", Service: "s", Zone: "here", Status: replica.StatusDraining, Slots: 4})
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s"})).To(Equal(1.5))
	})

	It("returns the minimum and the mean utilisation", func() {
		set := newSet(2)
		Expect(set.Utilisation(start, &replica.Request{Service: "none"})).To(Equal(dispatch.Utilisation{}))
		for range 6 {
			set.Began(start, "r0", &replica.Request{Prompt: nil})
		}
		set.SetPeer(start, "peer", map[replica.ID]int{"r1": 3})
		Expect(set.Utilisation(start, &replica.Request{Service: "s"})).To(Equal(dispatch.Utilisation{Least: 0.75, Mean: 9. / 8}))
		set.Put(start, replica.Entry{ID: "r1", Service: "s", Zone: "here", Status: replica.StatusReady})
		Expect(set.Utilisation(start, &replica.Request{Service: "s"})).To(Equal(dispatch.Utilisation{}), "its places are not known")
	})

	It("knows nothing of a replica that was removed", func() {
		set := newSet(1)
		entry, known := set.Remove("r0")
		Expect(known).To(BeTrue())
		Expect(entry.ID).To(Equal(replica.ID("r0")))
		_, err := set.Select(start, &replica.Request{Service: "s"})
		Expect(err).To(MatchError(replica.ErrNoReplica))
		set.Ended(start, "r0", replica.ResultAnswered)
	})
})
