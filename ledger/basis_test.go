package ledger_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("The basis of a verdict on an exhausted budget", func() {
	DescribeTable("is the most certain count that leaves no budget for the turn",
		func(admission ledger.Admission, want ledger.Basis) {
			Expect(admission.Basis(50, 400)).To(Equal(want))
		},
		Entry("used", ledger.Admission{SettledTokens: 500, AssumedTokens: 133}, ledger.BasisUsed),
		Entry("presumed", ledger.Admission{SettledTokens: 430, PresumedTokens: 150}, ledger.BasisPresumed),
		Entry("marked", ledger.Admission{SettledTokens: 423, MarkedTokens: 183, PresumedTokens: 50}, ledger.BasisMarked),
		Entry("assumed", ledger.Admission{SettledTokens: 373, AssumedTokens: 133}, ledger.BasisAssumed),
	)

	It("shows the previous owner's mark, and the tokens assumed to be used without a record", func() {
		stored := storedLog{}
		former := stored.serving(start)
		former.Admit(start, turnRequest("a", 600))
		stored.store(former)
		l := stored.open(start)
		marked := l.Admit(start, turnRequest("b", 600))
		Expect(marked.MarkedTokens).To(Equal(marked.SettledTokens))
		Expect(marked.MarkedTokens).To(BeNumerically(">", 100))
		unknown := turnRequest("c", 600)
		unknown.Program = "unknown"
		assumed := l.Admit(start, unknown)
		Expect(assumed.AssumedTokens).To(Equal(200))
		Expect(assumed.SettledTokens).To(Equal(200))
		Expect(assumed.PresumedTokens).To(BeZero())
	})
})
