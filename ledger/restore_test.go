package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("Restoring while the ledger serves", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	kept := func(id, input string) ledger.StoredTurn {
		return ledger.StoredTurn{ID: id, Program: "p", Input: []byte(input), Output: []byte("!"), Retain: time.Minute}
	}
	// logOf returns the records of a ledger that stores a turn.
	logOf := func(config ledger.Config, turn ledger.StoredTurn) []ledger.Record {
		previous := ledger.New(config)
		previous.StoreTurn(now, turn)
		return previous.Ready()
	}

	It("tells where the accounts end", func() {
		Expect(ledger.SortsAfterAccounts("account/zzz")).To(BeFalse())
		Expect(ledger.SortsAfterAccounts("open")).To(BeFalse())
		Expect(ledger.SortsAfterAccounts("part/a/0")).To(BeTrue())
		Expect(ledger.SortsAfterAccounts("turn/a")).To(BeTrue())
	})

	It("does not overwrite a turn that was stored again", func() {
		l := ledger.New(ledger.DefaultConfig())
		l.StoreTurn(now, kept("t", "new"))
		for _, record := range logOf(ledger.DefaultConfig(), kept("t", "old")) {
			Expect(l.Restore(now, record)).To(Succeed())
		}
		chain, found := l.Chain("t")
		Expect(found).To(BeTrue())
		Expect(string(chain)).To(Equal("new!"))
	})

	It("does not remove the parts of a turn that was stored again", func() {
		config := ledger.DefaultConfig()
		config.RecordBytes = 40
		long := "a body that takes more than one record, since a record holds little here"
		l := ledger.New(config)
		l.StoreTurn(now, kept("t", long))
		for _, record := range logOf(config, kept("t", long)) {
			Expect(l.Restore(now, record)).To(Succeed())
		}
		l.FinishRestore()
		for _, record := range l.Ready() {
			Expect(record.Value).NotTo(BeEmpty(), record.Key)
		}
	})

	It("holds a chain only with all turns before it", func() {
		previous := ledger.New(ledger.DefaultConfig())
		previous.StoreTurn(now, kept("a", "1"))
		next := kept("b", "2")
		next.Previous = "a"
		previous.StoreTurn(now, next)
		records := previous.Ready()
		l := ledger.New(ledger.DefaultConfig())
		Expect(l.Restore(now, records[1])).To(Succeed())
		Expect(l.HoldsChain("b")).To(BeFalse())
		Expect(l.Restore(now, records[0])).To(Succeed())
		Expect(l.HoldsChain("b")).To(BeTrue())
	})
})
