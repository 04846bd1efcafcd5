package ownership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ownership"
)

var _ = Describe("The ranking", func() {
	nodes := func(count int) []ownership.Node {
		var all []ownership.Node
		for index := range count {
			all = append(all, ownership.Node{ID: fmt.Sprintf("node-%d", index), Weight: float64(1 + index%3)})
		}
		return all
	}

	It("does not depend on the order of the nodes", func() {
		for partition := range 50 {
			all := nodes(3)
			rotated := []ownership.Node{all[2], all[0], all[1]}
			Expect(ownership.TopNode(partition, all)).To(Equal(ownership.TopNode(partition, rotated)))
		}
	})

	It("moves only the partitions of a node that is removed", func() {
		before, after := nodes(12), nodes(11)
		for partition := range 200 {
			owner := ownership.TopNode(partition, before)
			if owner != "node-11" {
				Expect(ownership.TopNode(partition, after)).To(Equal(owner))
			}
		}
	})

	It("assigns partitions in proportion to weights", func() {
		all := []ownership.Node{{ID: "strong", Weight: 8}, {ID: "weak"}, {ID: "other", Weight: 1}}
		counts := map[string]int{}
		for partition := range 10_000 {
			counts[ownership.TopNode(partition, all)]++
		}
		Expect(counts["strong"]).To(BeNumerically("~", 8000, 200))
		Expect(counts["weak"]).To(BeNumerically("~", 1000, 150))
	})

	It("returns no node if there is none", func() {
		Expect(ownership.TopNode(1, nil)).To(BeEmpty())
	})
})

var _ = Describe("Epochs", func() {
	It("of two processes that claim after the same epoch are both higher and differ", func() {
		one, other := ownership.NewSalt(7), ownership.NewSalt(1<<40|9)
		known := one.NextEpoch(other.NextEpoch(0))
		Expect(one.NextEpoch(known)).To(BeNumerically(">", known))
		Expect(other.NextEpoch(known)).To(BeNumerically(">", known))
		Expect(one.NextEpoch(known)).NotTo(Equal(other.NextEpoch(known)))
	})

	It("of a claim is higher than all of earlier seconds, known or not", func() {
		one, other := ownership.NewSalt(7), ownership.NewSalt(9)
		at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		before := other.ClaimEpoch(0, at)
		Expect(one.ClaimEpoch(0, at.Add(time.Second))).To(BeNumerically(">", before))
		Expect(one.ClaimEpoch(before, at.Add(-time.Hour))).To(BeNumerically(">", before))
		Expect(before).To(BeNumerically("<", ownership.Epoch(1)<<53))
	})
})

var _ = Describe("A preference list", func() {
	It("spans at least two zones if there are two", func() {
		var all []ownership.Node
		for index := range 12 {
			all = append(all, ownership.Node{ID: fmt.Sprintf("node-%d", index), Zone: []string{"a", "b"}[index/10]})
		}
		for partition := range 100 {
			preferences := ownership.PreferenceList(partition, all, 3)
			first := ownership.TopNodes(partition, all, 3)
			Expect(preferences[:2]).To(Equal(first[:2]))
			zones := map[bool]bool{}
			for _, id := range preferences {
				zones[id == "node-10" || id == "node-11"] = true
			}
			Expect(zones).To(HaveLen(2))
		}
	})

	It("consists of nodes with enough weight if there are enough of them", func() {
		weak := []ownership.Node{{ID: "w1", Weight: 6}, {ID: "w2", Weight: 6}}
		strong := []ownership.Node{{ID: "s1", Weight: 480}, {ID: "s2", Weight: 480}, {ID: "s3", Weight: 300}}
		Expect(ownership.Eligible(append(strong, weak...))).To(Equal(strong))
		Expect(ownership.Eligible(append(strong[:2:2], weak...))).To(HaveLen(4))
		Expect(ownership.Eligible(weak)).To(Equal(weak))
	})
})
