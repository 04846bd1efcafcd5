package contract_test

import (
	"encoding/json"
	"strings"
	"time"

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

// newTenantTree returns a tree at revision 3: a root with three zones, the
// branch tenant with two of them, and tenant/desk.
func newTenantTree() *contract.Tree {
	tree := contract.NewTree()
	Expect(tree.Apply(1, set("root", 0, "", contract.Values{Zones: []zone.Name{"a", "b", "c"}, Models: []string{"m"}})).Accepted).To(BeTrue())
	Expect(tree.Apply(2, set("tenant", 1, "tenant", zones("a", "b"))).Accepted).To(BeTrue())
	Expect(tree.Apply(3, set("desk", 2, "tenant/desk", contract.Values{Priority: pointer(9)})).Accepted).To(BeTrue())
	return tree
}

// inheritedValues returns the number of inheritable values.
func inheritedValues() int {
	descriptions, err := contract.Descriptions()
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, description := range descriptions {
		if description.Inherited {
			count++
		}
	}
	return count
}

func placementOf(tree *contract.Tree, path contract.Path) zone.Placement {
	resolved, err := tree.Resolve(path)
	Expect(err).NotTo(HaveOccurred())
	return resolved.Placement
}

var _ = Describe("Tree", func() {
	var tree *contract.Tree

	BeforeEach(func() { tree = newTenantTree() })

	It("binds every descendant when a place rule is narrowed, and never widens a branch's own rule", func() {
		Expect(tree.Apply(4, set("narrow", 3, "", zones("b", "c"))).Findings).To(BeEmpty())
		desk, err := tree.Resolve("tenant/desk")
		Expect(err).NotTo(HaveOccurred())
		Expect(desk.Placement).To(Equal(zone.Placement("b")))
		Expect(desk.Revision).To(Equal(contract.Revision(4)))
		Expect(desk.Priority).To(Equal(9))

		Expect(tree.Apply(5, set("widen", 4, "", zones("a", "b", "c", "d"))).Findings).To(BeEmpty())
		Expect(placementOf(tree, "tenant/desk")).To(Equal(zone.Placement("a_b")))
		Expect(tree.Placements()).To(Equal([]zone.Placement{"a_b", "a_b_c", "a_b_c_d", "b", "b_c"}))
	})

	It("leaves a branch without any zone rather than refuse to tighten a rule above it", func() {
		Expect(tree.Apply(4, set("close", 3, "", zones("c"))).Accepted).To(BeTrue())
		Expect(placementOf(tree, "tenant/desk")).To(BeEmpty())
		Expect(placementOf(tree, "")).To(Equal(zone.Placement("c")))
	})

	It("keeps a back end drained below the branch that drains it, whatever a branch adds", func() {
		Expect(tree.Apply(4, set("drain", 3, "", contract.Values{DrainedBackends: []string{"engine-2"}})).Accepted).To(BeTrue())
		Expect(tree.Apply(5, set("more", 4, "tenant", contract.Values{DrainedBackends: []string{"engine-1"}})).Accepted).To(BeTrue())
		desk, err := tree.Resolve("tenant/desk")
		Expect(err).NotTo(HaveOccurred())
		Expect(desk.DrainedBackends).To(Equal([]string{"engine-1", "engine-2"}))
	})

	It("lets exactly one of two racing operators win and names it to the other", func() {
		first := tree.Apply(4, set("first", 3, "tenant/desk", contract.Values{Priority: pointer(1)}))
		second := tree.Apply(5, set("second", 3, "tenant", contract.Values{Priority: pointer(2)}))
		Expect(first.Accepted).To(BeTrue())
		Expect(second.Accepted).To(BeFalse())
		Expect(second.Winner).To(Equal("first"))
		Expect(second.Findings).To(ConsistOf(HaveField("Place", "edits[0].path")))
		Expect(second.Findings[0].Message).To(ContainSubstring(`"first" by "first-operator" edited "tenant/desk" at revision 4`))
		Expect(tree.Revision()).To(Equal(contract.Revision(4)))

		sibling := tree.Apply(6, set("sibling", 3, "other", contract.Values{}))
		Expect(sibling.Accepted).To(BeTrue(), "a branch elsewhere in the tree does not clash")
	})

	It("counts a change that stands on the stream twice once", func() {
		change := set("again", 3, "tenant/desk", contract.Values{Priority: pointer(1)})
		first := tree.Apply(4, change)
		Expect(tree.Apply(5, set("later", 4, "tenant/desk", contract.Values{Priority: pointer(7)})).Accepted).To(BeTrue())
		Expect(tree.Apply(6, change)).To(Equal(first))
		Expect(tree.Apply(4, change)).To(Equal(first), "a revision that was folded before")
		resolved, _ := tree.Resolve("tenant/desk")
		Expect(resolved.Priority).To(Equal(7))
		Expect(tree.Revision()).To(Equal(contract.Revision(5)))
		Expect(tree.Position()).To(Equal(uint64(6)))
	})

	It("refuses bytes that are no change, with a finding, and folds on", func() {
		for index, data := range []string{`{"id":`, `{"id":"x","edits":[{"path":"p","values":{"zone":["a"]}}]}`, `{"id":"x"} trailing`, `null extra`} {
			verdict := tree.ApplyBytes(contract.Revision(4+index), []byte(data))
			Expect(verdict.Accepted).To(BeFalse())
			Expect(verdict.Findings).To(ConsistOf(HaveField("Message", HavePrefix("not a change: "))))
		}
		Expect(tree.Apply(8, set("good", 3, "tenant/desk", contract.Values{Priority: pointer(1)})).Accepted).To(BeTrue())
	})

	It("distinguishes an empty list from one that is not set in an encoded change", func() {
		data, err := json.Marshal(set("none", 3, "tenant/desk", contract.Values{Models: []string{}, CallTimeout: pointer(90 * time.Second)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"values":{"models":[],"call_timeout":"1m30s"}`))
		Expect(tree.ApplyBytes(4, data).Accepted).To(BeTrue())
		desk, _ := tree.Resolve("tenant/desk")
		Expect(desk.Models).To(BeEmpty())
		Expect(desk.CallTimeout).To(Equal(90 * time.Second))
		tenant, _ := tree.Resolve("tenant")
		Expect(tenant.Models).To(ConsistOf("m"))
	})

	It("names the deepest known branch above an unknown one", func() {
		_, err := tree.Resolve("tenant/desk/night/extra")
		Expect(err).To(MatchError(&contract.UnknownBranchError{Path: "tenant/desk/night/extra", Deepest: "tenant/desk"}))
	})

	It("ties each token to one branch and takes it away with the branch", func() {
		caller, operator := contract.HashToken("caller"), contract.HashToken("operator")
		Expect(tree.Apply(4, set("tokens", 3, "tenant/desk", contract.Values{
			CallerTokens: []string{caller}, OperatorTokens: []string{operator},
		})).Accepted).To(BeTrue())
		path, known := tree.Caller(caller)
		Expect(known).To(BeTrue())
		Expect(path).To(Equal(contract.Path("tenant/desk")))
		_, known = tree.Caller(operator)
		Expect(known).To(BeFalse(), "an operator's token is no caller's")

		theft := tree.Apply(5, set("theft", 4, "other", contract.Values{CallerTokens: []string{caller}}))
		Expect(theft.Findings).To(ConsistOf(HaveField("Place", "edits[0].values.caller_tokens[0]")))

		Expect(tree.Apply(6, contract.Change{ID: "remove", Based: 4, Edits: []contract.Edit{{Path: "tenant/desk", Remove: true}}}).Accepted).To(BeTrue())
		_, known = tree.Operator(operator)
		Expect(known).To(BeFalse())
	})

	It("explains which branch each value comes from", func() {
		Expect(tree.Apply(4, set("narrow", 3, "", zones("b", "c"))).Accepted).To(BeTrue())
		explanations, err := tree.Explain("tenant/desk")
		Expect(err).NotTo(HaveOccurred())
		Expect(explanations).To(HaveLen(inheritedValues()))
		Expect(explanations).To(ContainElements(
			contract.Explanation{Name: "zones", Value: json.RawMessage(`["b"]`), From: "tenant", Revision: 2, NarrowedBy: []contract.Path{""}},
			contract.Explanation{Name: "priority", Value: json.RawMessage(`9`), From: "tenant/desk", Revision: 3},
			contract.Explanation{Name: "models", Value: json.RawMessage(`["m"]`), From: "", Revision: 1},
			contract.Explanation{Name: "call_timeout", Value: json.RawMessage(`"1m0s"`), Default: true},
		))
	})

	It("shows a change's effect before it is sent, and its history and diff after", func() {
		narrow := contract.Change{ID: "narrow", Based: 3, Actor: "jo", Edits: []contract.Edit{
			{Path: "tenant", Values: zones("a")}, {Path: "tenant/desk", Unset: []string{"priority"}},
		}}
		effects, total, findings := tree.Preview(narrow, 0)
		Expect(findings).To(BeEmpty())
		Expect(total).To(Equal(2))
		Expect(effects[1].Path).To(Equal(contract.Path("tenant/desk")))
		Expect(effects[1].Differences).To(Equal([]contract.Difference{
			{Name: "zones", Before: json.RawMessage(`["a","b"]`), After: json.RawMessage(`["a"]`), From: "tenant"},
			{Name: "priority", Before: json.RawMessage(`9`), After: json.RawMessage(`5`)},
		}))
		Expect(tree.Position()).To(Equal(uint64(3)), "a preview changes nothing")

		Expect(tree.Apply(4, narrow).Accepted).To(BeTrue())
		differences, err := tree.Diff("tenant/desk", 3, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(differences).To(Equal(effects[1].Differences))
		created, err := tree.Diff("tenant/desk", 2, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(HaveLen(inheritedValues()))
		Expect(created[0].Before).To(BeNil())

		history := tree.History("tenant/desk", 2)
		Expect(history).To(HaveLen(2))
		Expect(history[0]).To(Equal(contract.HistoryEntry{Revision: 4, ChangeID: "narrow", Actor: "jo", Edits: narrow.Edits}))
		Expect(history[1].ChangeID).To(Equal("desk"))
		_, err = tree.Diff("tenant", 3, 5)
		Expect(err).To(MatchError(&contract.RevisionError{Revision: 5, Oldest: 0, Newest: 4}))
	})

	It("retains a bounded part of the stream and refuses changes based on an earlier revision", func() {
		tree := contract.NewTreeWithWindow(4)
		Expect(tree.Apply(1, set("first", 0, "", zones("a"))).Accepted).To(BeTrue())
		Expect(tree.Apply(2, set("branch", 1, "branch", contract.Values{})).Accepted).To(BeTrue())
		Expect(tree.Apply(3, contract.Change{ID: "gone", Based: 2, Edits: []contract.Edit{{Path: "branch", Remove: true}}}).Accepted).To(BeTrue())
		for revision := contract.Revision(4); revision < 20; revision++ {
			tree.Apply(revision, contract.Change{ID: strings.Repeat("x", int(revision))})
		}
		late := tree.Apply(20, set("branch", 1, "branch", contract.Values{}))
		Expect(late.Accepted).To(BeFalse())
		Expect(late.Findings).To(ContainElement(HaveField("Place", "based")))
		Expect(tree.Apply(21, set("fresh", 3, "branch", contract.Values{})).Accepted).To(BeTrue(), "nothing was accepted after revision 3")
		records, changes, touched := tree.RetainedCounts()
		Expect([]int{records, changes, touched}).To(Equal([]int{4, 4, 2}))
	})
})

var _ = DescribeTable("a change is refused, with the place of each finding,",
	func(edits []contract.Edit, places ...string) {
		tree := newTenantTree()
		findings := tree.Check(contract.Change{ID: "change", Based: 3, Edits: edits})
		found := make([]string, len(findings))
		for index, finding := range findings {
			found[index] = finding.Place
		}
		Expect(found).To(ConsistOf(places))
		Expect(tree.Position()).To(Equal(uint64(3)), "a check changes nothing")
	},
	Entry("for zones that the parent does not permit", []contract.Edit{{Path: "tenant/desk", Values: zones("a", "c")}}, "edits[0].values.zones[1]"),
	Entry("for an empty list of zones", []contract.Edit{{Path: "tenant", Values: zones()}, {Path: "new", Values: contract.Values{Zones: []zone.Name{}}}}, "edits[1].values.zones"),
	Entry("for numbers out of range", []contract.Edit{{Path: "tenant", Values: contract.Values{
		Priority: pointer(10), BudgetTokens: pointer(int64(0)), Attempts: pointer(21), CallTimeout: pointer(time.Millisecond),
	}}}, "edits[0].values.priority", "edits[0].values.budget_tokens", "edits[0].values.attempts", "edits[0].values.call_timeout"),
	Entry("for a name that is no setting", []contract.Edit{{Path: "tenant", Unset: []string{"zone"}}}, "edits[0].unset[0]"),
	Entry("for a value that is set and unset", []contract.Edit{{Path: "tenant", Unset: []string{"priority"}, Values: contract.Values{Priority: pointer(1)}}}, "edits[0].values.priority"),
	Entry("for a token that is not hashed", []contract.Edit{{Path: "tenant", Values: contract.Values{CallerTokens: []string{"secret"}}}}, "edits[0].values.caller_tokens[0]"),
	Entry("for a removed branch with branches below it", []contract.Edit{{Path: "tenant", Remove: true}}, "edits[0].remove"),
	Entry("for removing the root", []contract.Edit{{Path: "", Remove: true}}, "edits[0].remove"),
	Entry("for a branch without a parent", []contract.Edit{{Path: "absent/desk"}}, "edits[0].path"),
	Entry("for a path that is no path", []contract.Edit{{Path: "Tenant"}, {Path: "a//b"}, {Path: "/a"}, {Path: "a/b/c/d/e/f/g/h/i"}},
		"edits[0].path", "edits[1].path", "edits[2].path", "edits[3].path"),
	Entry("for several faults at once", []contract.Edit{
		{Path: "tenant", Values: contract.Values{Models: []string{"", "m", "m"}}}, {Path: "new", Values: zones("d")},
	}, "edits[0].values.models[0]", "edits[0].values.models[2]", "edits[1].values.zones[0]"),
	Entry("for having no edits", []contract.Edit{}, "edits"),
)

var _ = It("accepts the removal of a branch whose branches below are removed first", func() {
	tree := newTenantTree()
	Expect(tree.Check(contract.Change{ID: "all", Based: 3, Edits: []contract.Edit{
		{Path: "tenant/desk", Remove: true}, {Path: "tenant", Remove: true},
	}})).To(BeEmpty())
})
