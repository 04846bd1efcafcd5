package operator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/operator"
)

var _ = Describe("Metrics", func() {
	It("counts as wasted the prompt tokens that an earlier call had computed and no cache held", func() {
		metrics := operator.NewMetrics()
		call := api.Call{Program: "p", Kind: api.CallModel, Status: api.StatusSucceeded}
		call.Usage = api.Usage{PromptTokens: 100, OutputTokens: 20}
		metrics.CallFinished(call)
		call.Usage = api.Usage{PromptTokens: 150, CachedTokens: 50, OutputTokens: 5}
		metrics.CallFinished(call)
		Expect(scrape(metrics)).To(ContainSubstring("birchwood_wasted_cache_recomputed_tokens_total 70\n"))
	})

	It("tells nothing of the node before it is asked to, and the snapshot after", func() {
		metrics := operator.NewMetrics()
		Expect(scrape(metrics)).NotTo(ContainSubstring("birchwood_owned_partitions"))
		metrics.ReadAtScrape(func() operator.Snapshot {
			return operator.Snapshot{OwnedPartitions: 3, Members: map[operator.Member]int{{Kind: "node", Status: "live"}: 2}}
		})
		Expect(scrape(metrics)).To(And(
			ContainSubstring("birchwood_owned_partitions 3\n"),
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
