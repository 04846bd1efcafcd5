package ledger_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("The replica that served a session", func() {
	It("is returned with the session tokens it has cached, as of the last turn", func() {
		l := ledger.New(ledger.DefaultConfig())
		l.Admit(start, turnRequest("a", 1000))
		l.Settle(start, ledger.Settlement{Turn: "a", Program: "p", Session: "s", Tokens: 10, Replica: "r", CachedTokens: 2000})
		admission := l.Admit(start, turnRequest("b", 1000))
		Expect(admission.Replica).To(Equal("r"))
		Expect(admission.CachedTokens).To(Equal(2000))
		l.Settle(start, ledger.Settlement{Turn: "b", Program: "p", Session: "s", Tokens: 10, Replica: "q", CachedTokens: 2500})
		admission = l.Admit(start, turnRequest("c", 1000))
		Expect(admission.Replica).To(Equal("q"))
		Expect(admission.CachedTokens).To(Equal(2500))
	})
})
