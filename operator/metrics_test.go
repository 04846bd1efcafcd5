package operator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/operator"
)

var _ = Describe("Metrics", func() {
	It("counts as wasted the tokens that an earlier call had computed and no cache held, and how long they were held", func() {
		metrics := operator.NewMetrics()
		now := time.Unix(1000, 0)
		metrics.SetClock(func() time.Time { return now })
		call := api.Call{Program: "p", Kind: api.CallModel, Status: api.StatusSucceeded}
		call.Usage = api.Usage{PromptTokens: 100, OutputTokens: 20}
		metrics.CallFinished(call)
		now = now.Add(3 * time.Second)
		call.Usage = api.Usage{PromptTokens: 150, CachedTokens: 50, OutputTokens: 5}
		metrics.CallFinished(call)
		Expect(scrape(metrics)).To(And(
			ContainSubstring("birchwood_wasted_cache_recomputed_tokens_total 70\n"),
			ContainSubstring("birchwood_wasted_cache_idle_token_seconds_total 210\n"),
		))
		now = now.Add(2 * time.Second)
		metrics.ProgramFinished(api.Program{ID: "p"}, time.Minute)
		Expect(scrape(metrics)).To(ContainSubstring("birchwood_wasted_cache_idle_token_seconds_total 520\n"))
	})

	It("tells nothing of the node before it is asked to, and the snapshot after", func() {
		metrics := operator.NewMetrics()
		Expect(scrape(metrics)).NotTo(ContainSubstring("birchwood_owned_partitions"))
		metrics.SetSnapshotSource(func() operator.Snapshot {
			return operator.Snapshot{OwnedPartitions: 3, ControlBytesSent: 9, Members: map[operator.Member]int{{Kind: "node", Status: "live"}: 2}}
		})
		Expect(scrape(metrics)).To(And(
			ContainSubstring("birchwood_owned_partitions 3\n"),
			ContainSubstring(`birchwood_control_bytes_total{direction="sent"} 9`),
			ContainSubstring(`birchwood_members{kind="node",status="live"} 2`),
			ContainSubstring("go_goroutines"),
		))
	})
})

var _ = Describe("A refusal log", func() {
	It("finds the last refusals by id and forgets older ones", func() {
		log := operator.NewRefusalLog(2)
		for _, id := range []string{"a", "b", "c"} {
			log.Add(gateway.Refusal{Error: api.Error{ID: id}})
		}
		_, known := log.Find("a")
		Expect(known).To(BeFalse())
		found, known := log.Find("b")
		Expect(known).To(BeTrue())
		Expect(found.Error.ID).To(Equal("b"))
		_, known = log.Find("")
		Expect(known).To(BeFalse())
	})
})
