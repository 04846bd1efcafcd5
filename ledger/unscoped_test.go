package ledger_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("An account from before program ids were scoped by tenant", func() {
	scoped := func(id string) ledger.Turn {
		request := turnRequest(id, 300)
		request.Program, request.Unscoped = "acme\x1fp", "p"
		return request
	}

	It("counts towards the program that it may belong to, without exhausting its budget", func() {
		l := ledger.New(ledger.DefaultConfig())
		l.Admit(start, turnRequest("a", 300))
		l.Settle(start, ledger.Settlement{Turn: "a", Program: "p", Tokens: 90})
		l.Admit(start, turnRequest("under way", 300))
		Expect(l.Admit(start, scoped("b")).Verdict).To(Equal(ledger.VerdictGranted))
		Expect(l.Admit(start, scoped("c")).Verdict).To(Equal(ledger.VerdictBusy))
		other := scoped("d")
		other.Program, other.Unscoped = "acme\x1fq", "q"
		Expect(l.Admit(start, other).Verdict).To(Equal(ledger.VerdictGranted))
	})

	It("counts at a new owner too, and no program uses more than its budget", func() {
		stored := storedLog{}
		l := ledger.New(ledger.DefaultConfig())
		l.Admit(start, turnRequest("a", 300))
		stored.store(l)
		l = stored.restore(start)
		used := 100
		for index := range 5 {
			id := strconv.Itoa(index)
			if l.Admit(start, scoped(id)).Verdict == ledger.VerdictGranted {
				l.Settle(start, ledger.Settlement{Turn: id, Program: "acme\x1fp", Tokens: 100})
				used += 100
			}
		}
		Expect(used).To(BeNumerically("<=", 300))
	})
})
