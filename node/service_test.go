package node

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/zone"
)

var _ = Describe("A node that has no settings yet", func() {
	It("asks callers to come back, and refuses no token for good", func() {
		started := &Node{}
		tree := contract.NewTree()
		started.tree.Store(tree)
		_, refusal := started.Authenticate("token")
		Expect(refusal.Code).To(Equal(api.CodeSettingsStale))
		Expect(refusal.Retry).To(BeTrue())
		_, refusal = started.ProgramID("demo", "key")
		Expect(refusal.Code).To(Equal(api.CodeSettingsStale))
		Expect(refusal.Retry).To(BeTrue())

		tree.Apply(1, contract.Change{ID: "first", Actor: "test", Edits: []contract.Edit{
			{Path: contract.Root, Values: contract.Values{Zones: []zone.Name{"north"}}},
			{Path: "demo", Values: contract.Values{CallerTokens: []string{contract.HashToken("token")}}},
		}})
		scope, refusal := started.Authenticate("token")
		Expect(refusal).To(BeNil())
		Expect(scope).To(Equal(contract.Path("demo")))
		_, refusal = started.Authenticate("another")
		Expect(refusal.Code).To(Equal(api.CodeUnauthorized))
		Expect(refusal.Retry).To(BeFalse())
	})
})
