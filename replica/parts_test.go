package replica_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

var _ = Describe("A part of the choice that is switched off", func() {
	prompt := []replica.Part{{ID: "shared", Tokens: 500}, {ID: "history", Tokens: 3000}, {ID: "new", Tokens: 100}}

	// newSetWithout returns a set of two equal replicas in this node's zone.
	newSetWithout := func(without replica.SelectionFactors) *replica.Set {
		config := replica.DefaultConfig("here")
		config.Disabled = without
		set := replica.NewSet(config)
		set.SetCacheTokens("s", 10000)
		set.Put(start.Add(-time.Minute), replica.Entry{ID: "r0", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4})
		set.Put(start.Add(-time.Minute), replica.Entry{ID: "r1", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4})
		return set
	}

	// Each case makes r1 preferable by a single factor, so that r0 is selected once that factor
	// is disabled, as the first of two equal replicas.
	DescribeTable("changes the choice",
		func(without replica.SelectionFactors, prepare func(set *replica.Set, request *replica.Request)) {
			for _, parts := range []replica.SelectionFactors{{}, without} {
				set := newSetWithout(parts)
				request := &replica.Request{Service: "s"}
				prepare(set, request)
				choice, err := set.Select(start, request)
				Expect(err).NotTo(HaveOccurred())
				want := replica.ID("r1")
				if parts == without {
					want = "r0"
				}
				Expect(choice.Entry.ID).To(Equal(want))
			}
		},
		Entry("kept prompts", replica.SelectionFactors{CachedPrompts: true}, func(set *replica.Set, request *replica.Request) {
			set.Began(start, "r1", &replica.Request{Prompt: prompt})
			set.Ended(start, "r1", replica.ResultAnswered)
			request.Prompt = prompt
		}),
		Entry("last replica", replica.SelectionFactors{LastReplica: true}, func(_ *replica.Set, request *replica.Request) {
			request.Prompt = prompt
			request.Preferred = "r1"
		}),
		Entry("shared parts", replica.SelectionFactors{SharedParts: true}, func(set *replica.Set, request *replica.Request) {
			// This node sent the part only to r0, which has requests in flight. With nine other
			// nodes, r1 is as likely to have it cached.
			set.SetNodes(10)
			for _, program := range []string{"a", "b", "c"} {
				set.Began(start, "r0", &replica.Request{Program: program, Prompt: prompt[:1]})
			}
			request.Prompt = prompt[:1]
		}),
		Entry("estimates of loads", replica.SelectionFactors{Estimates: true}, func(set *replica.Set, request *replica.Request) {
			// r1 has three requests of this node. r0 has more: two requests of one peer, which
			// stand for those of the eight peers without a report as well.
			set.SetNodes(10)
			set.SetPeer(start, "peer", map[replica.ID]int{"r0": 2})
			for range 3 {
				set.Began(start, "r1", &replica.Request{})
			}
		}),
		Entry("loads of peers", replica.SelectionFactors{PeerLoads: true}, func(set *replica.Set, _ *replica.Request) {
			set.SetPeer(start, "peer", map[replica.ID]int{"r0": 3})
		}),
		Entry("zones", replica.SelectionFactors{Zones: true}, func(set *replica.Set, _ *replica.Request) {
			set.Put(start, replica.Entry{ID: "r0", Service: "s", Zone: "elsewhere", Status: replica.StatusReady, Slots: 4})
		}),
		Entry("connections", replica.SelectionFactors{Connections: true}, func(_ *replica.Set, request *replica.Request) {
			request.Connected = func(entry replica.Entry) bool { return entry.ID == "r1" }
		}),
		Entry("faults", replica.SelectionFactors{Faults: true}, func(set *replica.Set, _ *replica.Request) {
			set.Ended(start, "r0", replica.ResultErred)
		}),
		Entry("suspicion", replica.SelectionFactors{Suspicion: true, Faults: true}, func(set *replica.Set, _ *replica.Request) {
			set.Ended(start, "r0", replica.ResultFailed)
		}),
	)
})
