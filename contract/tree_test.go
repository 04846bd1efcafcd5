package contract_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/zone"
)

func pointer[T any](value T) *T { return &value }

func zones(names ...zone.Name) contract.Values { return contract.Values{Zones: names} }

func set(id string, based contract.Revision, path contract.Path, values contract.Values) contract.Change {
	return contract.Change{ID: id, Based: based, Actor: id + "-operator", Edits: []contract.Edit{{Path: path, Values: values}}}
}

var _ = Describe("Tree", func() {
	var tree *contract.Tree

	BeforeEach(func() {
		tree = contract.NewTree()
		Expect(tree.Apply(1, set("root", 0, "", contract.Values{Zones: []zone.Name{"a", "b", "c"}, Models: []string{"m"}})).Accepted).To(BeTrue())
		Expect(tree.Apply(2, set("tenant", 1, "tenant", zones("a", "b"))).Accepted).To(BeTrue())
		Expect(tree.Apply(3, set("desk", 2, "tenant/desk", contract.Values{Priority: pointer(9)})).Accepted).To(BeTrue())
	})

	It("binds every descendant when a place rule is narrowed", func() {
		Expect(tree.Apply(4, set("narrow", 3, "", zones("b", "c"))).Findings).To(BeEmpty())
		desk, err := tree.Resolve("tenant/desk")
		Expect(err).NotTo(HaveOccurred())
		Expect(desk.Placement).To(Equal(zone.Placement("b")))
		Expect(desk.Revision).To(Equal(contract.Revision(4)))
		Expect(desk.Priority).To(Equal(9))
	})

	It("lets exactly one of two racing operators win and names it to the other", func() {
		first := tree.Apply(4, set("first", 3, "tenant/desk", contract.Values{Priority: pointer(1)}))
		second := tree.Apply(5, set("second", 3, "tenant", contract.Values{Priority: pointer(2)}))
		Expect(first.Accepted).To(BeTrue())
		Expect(second.Accepted).To(BeFalse())
		Expect(second.Winner).To(Equal("first"))
		Expect(second.Findings[0].Place).To(Equal("edits[0].path"))
	})
})
