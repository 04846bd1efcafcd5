package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("The final state of a previous owner", func() {
	var stored storedLog
	// owner returns the ledger of a new owner whose budgets under 700 tokens are small.
	owner := func(id string) *ledger.Ledger {
		config := unrecordedConfig()
		config.UnrecordedMinBudget = 700
		l := stored.restoreWith(start, config)
		l.ConfirmOwnership(start)
		l.Identify(id)
		l.Open(start)
		return l
	}
	turnOf := func(program, id string) ledger.Turn {
		turn := turnRequest(id, 400)
		turn.Program = program
		return turn
	}
	settle := func(l *ledger.Ledger, program, id string, tokens int) {
		l.Settle(start, ledger.Settlement{Turn: id, Program: program, Tokens: tokens})
	}

	BeforeEach(func() { stored = storedLog{} })

	It("replaces what its mark allowed by what was used, and by its open turns", func() {
		former := owner("1")
		former.Admit(start, turnOf("p", "a"))
		stored.store(former)
		settle(former, "p", "a", 20)
		former.Admit(start, turnOf("p", "b"))
		l := owner("2")
		Expect(l.Admit(start, turnOf("p", "c")).SettledTokens).To(BeNumerically(">=", 120), "the mark")
		settle(l, "p", "c", 30)
		Expect(l.Reconcile(start, former.FormerState(start))).To(Equal(1))
		admission := l.Admit(start, turnOf("p", "d"))
		Expect(admission.SettledTokens).To(Equal(20 + 30))
		Expect(admission.OpenTokens).To(Equal(100))
		Expect(admission.Position).To(BeNumerically(">", l.Durable()), "no record of this owner covers it")
	})

	It("counts turns that were settled here before it came", func() {
		former := owner("1")
		former.Admit(start, turnOf("p", "a"))
		stored.store(former)
		l := owner("2")
		settle(l, "p", "a", 20)
		l.Reconcile(start, former.FormerState(start))
		admission := l.Admit(start, turnOf("p", "b"))
		Expect(admission.SettledTokens).To(Equal(20))
		Expect(admission.OpenTokens).To(BeZero())
	})

	It("does not list turns again that were admitted and settled here", func() {
		former := owner("1")
		former.Admit(start, turnOf("p", "a"))
		stored.store(former)
		former.Admit(start, turnOf("p", "b"))
		l := owner("2")
		l.Admit(start, turnOf("p", "b"))
		settle(l, "p", "b", 30)
		l.Reconcile(start, former.FormerState(start))
		admission := l.Admit(start, turnOf("p", "c"))
		Expect(admission.SettledTokens).To(Equal(30))
		Expect(admission.OpenTokens).To(Equal(100), "turn a")
	})

	It("does not count a turn twice that was not settled in time there, and settled here", func() {
		former := owner("1")
		former.Admit(start, turnOf("p", "a"))
		stored.store(former)
		l := owner("2")
		settle(l, "p", "a", 20)
		late := start.Add(9 * time.Second)
		Expect(former.Admit(late, turnOf("p", "b")).PresumedTokens).To(Equal(100))
		settle(former, "p", "b", 0)
		l.Reconcile(late, former.FormerState(late))
		Expect(l.Admit(late, turnOf("p", "c")).SettledTokens).To(Equal(20))
	})

	It("counts each turn once if only some of them were settled here before it came", func() {
		former := owner("1")
		kept := turnOf("p", "a")
		kept.StoreOnSuccess = true
		former.Admit(start, kept)
		stored.store(former)
		slot := turnOf("p", "b")
		slot.StoreOnSuccess = true
		granted := former.Admit(start, slot)
		settle(former, "p", "a", 40)
		l := owner("2")
		l.Settle(start, ledger.Settlement{Turn: "b", Program: "p", Grant: granted.Grant, Tokens: 30})
		l.Reconcile(start, former.FormerState(start))
		admission := l.Admit(start, turnOf("p", "c"))
		Expect(admission.SettledTokens).To(Equal(40 + 30))
		Expect(admission.OpenTokens).To(BeZero())
	})

	It("is waited for before a budget is said to be exhausted", func() {
		former := owner("1")
		for _, id := range []string{"a", "b", "c"} {
			former.Admit(start, turnOf("p", id))
			stored.store(former)
			settle(former, "p", id, 60)
		}
		l := owner("2")
		for _, id := range []string{"d", "e"} {
			Expect(l.Admit(start, turnOf("p", id)).Verdict).To(Equal(ledger.VerdictGranted))
			settle(l, "p", id, 60)
		}
		busy := l.Admit(start.Add(time.Second), turnOf("p", "f"))
		Expect(busy.Verdict).To(Equal(ledger.VerdictBusy))
		Expect(busy.BusyFor).To(Equal(4 * time.Second))
		Expect(l.Admit(start.Add(6*time.Second), turnOf("p", "f")).Verdict).To(Equal(ledger.VerdictExhausted))
		l.Reconcile(start, former.FormerState(start))
		Expect(l.Admit(start, turnOf("p", "f")).Verdict).To(Equal(ledger.VerdictGranted))
	})

	It("is not waited for once it has come, also if it holds nothing of the program", func() {
		former := owner("1")
		for _, id := range []string{"a", "b", "c"} {
			former.Admit(start, turnOf("p", id))
			stored.store(former)
			settle(former, "p", id, 60)
		}
		l := owner("2")
		for _, id := range []string{"d", "e"} {
			l.Admit(start, turnOf("p", id))
			settle(l, "p", id, 60)
		}
		Expect(l.Admit(start, turnOf("p", "f")).Verdict).To(Equal(ledger.VerdictBusy))
		Expect(l.Reconcile(start, ledger.FormerState{ConfirmedAgo: time.Second})).To(BeZero())
		Expect(l.Admit(start, turnOf("p", "f")).Verdict).To(Equal(ledger.VerdictExhausted))
	})

	It("frees slots that were not used", func() {
		former := owner("1")
		kept := turnOf("p", "a")
		kept.StoreOnSuccess = true
		former.Admit(start, kept)
		stored.store(former)
		settle(former, "p", "a", 40)
		former.StoreTurn(start, ledger.StoredTurn{ID: "a", Program: "p", Input: []byte("x"), Retain: time.Minute})
		stored.store(former)
		l := owner("2")
		Expect(l.HasInherited()).To(BeTrue())
		Expect(l.LapseUnclaimed(start, nil)).To(Equal(1))
		Expect(l.Reconcile(start, former.FormerState(start))).To(Equal(1))
		Expect(l.Admit(start, turnOf("p", "b")).SettledTokens).To(Equal(40))
	})

	It("leaves programs that started later their extra turn", func() {
		former := owner("1")
		former.Admit(start, turnOf("other", "x"))
		stored.store(former)
		former.Admit(start, turnOf("unrecorded", "u"))
		settle(former, "unrecorded", "u", 70)
		l := owner("2")
		Expect(l.Admit(start, turnOf("later", "a")).SettledTokens).To(BeZero())
		l.Reconcile(start, former.FormerState(start))
		Expect(l.Admit(start, turnOf("unrecorded", "v")).SettledTokens).To(Equal(70))
		stored.store(l)
		Expect(string(stored["account/later"])).To(ContainSubstring("assumed"))
		Expect(string(stored["account/unrecorded"])).NotTo(ContainSubstring("assumed"))
		l.Admit(start, turnOf("new", "b"))
		stored.store(l)
		Expect(string(stored["account/new"])).NotTo(ContainSubstring("assumed"))
		Expect(string(stored["open"])).To(Equal("3:2"))
	})

	It("is ignored once another owner has written the program's record", func() {
		former := owner("1")
		former.Admit(start, turnOf("p", "a"))
		stored.store(former)
		second := owner("2")
		second.Admit(start, turnOf("p", "b"))
		stored.store(second)
		l := owner("3")
		Expect(l.Reconcile(start, former.FormerState(start))).To(BeZero())
	})

	It("tells nothing of programs without a record if it is older than the return window may be", func() {
		former := owner("1")
		former.Admit(start, turnOf("other", "x"))
		stored.store(former)
		l := owner("2")
		l.Reconcile(start, former.FormerState(start.Add(20*time.Second)))
		l.Admit(start, turnOf("new", "b"))
		stored.store(l)
		Expect(string(stored["account/new"])).To(ContainSubstring("assumed"))
	})

	It("is needed only where the log allows more than was used", func() {
		former := owner("1")
		former.Admit(start, turnOf("p", "a"))
		settle(former, "p", "a", 20)
		former.Close(start)
		stored.store(former)
		Expect(former.FormerState(start).Accounts).To(BeEmpty())
	})
})
