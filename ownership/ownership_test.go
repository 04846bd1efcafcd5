package ownership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ownership"
)

var _ = Describe("The ranking", func() {
	nodes := func(count int) []string {
		var names []string
		for index := range count {
			names = append(names, fmt.Sprintf("node-%d", index))
		}
		return names
	}

	It("does not depend on the order of the nodes", func() {
		for partition := range 50 {
			Expect(ownership.Rank(partition, []string{"a", "b", "c"})).To(Equal(ownership.Rank(partition, []string{"c", "a", "b"})))
		}
	})

	It("moves only the partitions of a node that goes", func() {
		before, after := nodes(12), nodes(11)
		for partition := range 200 {
			owner := ownership.Rank(partition, before)
			if owner != "node-11" {
				Expect(ownership.Rank(partition, after)).To(Equal(owner))
			}
		}
	})

	It("names nobody where there is no node", func() {
		Expect(ownership.Rank(1, nil)).To(BeEmpty())
	})
})

var _ = Describe("Epochs", func() {
	It("of two processes that claim after the same epoch are both higher, and differ", func() {
		one, other := ownership.SaltOf(7), ownership.SaltOf(1<<40|9)
		known := one.After(other.After(0))
		Expect(one.After(known)).To(BeNumerically(">", known))
		Expect(other.After(known)).To(BeNumerically(">", known))
		Expect(one.After(known)).NotTo(Equal(other.After(known)))
	})
})
