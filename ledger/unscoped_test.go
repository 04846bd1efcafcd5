package ledger_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("An account that was opened before ids had a scope", func() {
	scoped := func(id string) ledger.Turn {
		asked := turnRequest(id, 300)
		asked.Program, asked.Unscoped = "acme\x1fp", "p"
		return asked
	}

	It("counts to the program that it may be of, and calls no budget spent", func() {
		books := ledger.New(ledger.DefaultConfig())
		books.Admit(start, turnRequest("a", 300))
		books.Settle(start, ledger.Settlement{Turn: "a", Program: "p", Tokens: 90})
		books.Admit(start, turnRequest("under way", 300))
		Expect(books.Admit(start, scoped("b")).Verdict).To(Equal(ledger.VerdictGranted))
		Expect(books.Admit(start, scoped("c")).Verdict).To(Equal(ledger.VerdictBusy))
		other := scoped("d")
		other.Program, other.Unscoped = "acme\x1fq", "q"
		Expect(books.Admit(start, other).Verdict).To(Equal(ledger.VerdictGranted))
	})

	It("counts so at a new owner too, and no program uses more than its budget", func() {
		stored := log{}
		books := ledger.New(ledger.DefaultConfig())
		books.Admit(start, turnRequest("a", 300))
		stored.store(books)
		books = stored.restore(start)
		used := 100
		for index := range 5 {
			id := strconv.Itoa(index)
			if books.Admit(start, scoped(id)).Verdict == ledger.VerdictGranted {
				books.Settle(start, ledger.Settlement{Turn: id, Program: "acme\x1fp", Tokens: 100})
				used += 100
			}
		}
		Expect(used).To(BeNumerically("<=", 300))
	})
})
