package ledger_test

import (
	"encoding/json"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// The budget of a small program and the maximum of each of its turns, in tokens: it holds
// one turn at its maximum and not a second one.
const (
	smallBudget    = 900
	smallMaxTokens = 552
)

// smallTurn returns a turn of a small program whose turns are stored.
func smallTurn(id string) ledger.Turn {
	return ledger.Turn{
		ID: id, Program: "p", Session: "s", MaxTokens: smallMaxTokens, Budget: smallBudget, Timeout: time.Second, Retain: time.Minute, StoreOnSuccess: true,
	}
}

// settlementOf returns the settlement of a turn that used the given number of tokens.
func settlementOf(id string, admission ledger.Admission, tokens int) ledger.Settlement {
	return ledger.Settlement{Turn: id, Program: "p", Session: "s", Grant: admission.Grant, Tokens: tokens}
}

// storeTurn settles and stores a turn at an owner, and appends its records to the log.
func storeTurn(stored storedLog, l *ledger.Ledger, settlement ledger.Settlement) {
	l.Settle(start, settlement)
	l.StoreTurn(start, ledger.StoredTurn{ID: settlement.Turn, Program: "p", Input: []byte("x"), Retain: time.Minute})
	stored.store(l)
}

var _ = Describe("A small budget with stored turns", func() {
	It("lets its program finish although its owner fails before each of its turns", func() {
		stored := storedLog{}
		for index := range 10 {
			l := stored.open(start)
			id := strconv.Itoa(index)
			admission := l.Admit(start, smallTurn(id))
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d: %+v", index, admission)
			stored.store(l)
			storeTurn(stored, l, settlementOf(id, admission, 30))
		}
	})

	It("lets its program finish although up to three owners fail with an open turn that is settled at the next owner", func() {
		for losses := 1; losses <= 3; losses++ {
			stored := storedLog{}
			l := stored.serving(start)
			for index := range 8 {
				id := strconv.Itoa(index)
				admission := l.Admit(start, smallTurn(id))
				Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d of %d losses: %+v", index, losses, admission)
				if admission.Position > 0 {
					stored.store(l)
				}
				if index >= 2 && index < 2+losses {
					l = stored.open(start)
				}
				storeTurn(stored, l, settlementOf(id, admission, 40))
			}
		}
	})

	It("lets its program finish although up to three owners fail right after a turn that was not stored or did not run", func() {
		for losses := 1; losses <= 3; losses++ {
			for _, tokens := range []int{0, 40} {
				stored := storedLog{}
				l := stored.serving(start)
				for index := range 6 {
					id := strconv.Itoa(index)
					admission := l.Admit(start, smallTurn(id))
					Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d of %d losses: %+v", index, losses, admission)
					stored.store(l)
					if index > 0 && index <= losses {
						l.Settle(start, settlementOf(id, admission, tokens))
						stored.store(l)
						l = stored.open(start)
						continue
					}
					storeTurn(stored, l, settlementOf(id, admission, 40))
				}
			}
		}
	})

	It("needs one append for each stored turn and one more for the first turn", func() {
		stored := storedLog{}
		l := stored.serving(start)
		appends := 0
		store := func() {
			for l.Ready() != nil {
				appends++
				l.BatchCommitted()
			}
		}
		for index := range 8 {
			id := strconv.Itoa(index)
			admission := l.Admit(start, smallTurn(id))
			Expect(admission.Position == 0).To(BeTrue())
			store()
			l.Settle(start, settlementOf(id, admission, 40))
			l.StoreTurn(start, ledger.StoredTurn{ID: id, Program: "p", Input: []byte("x"), Retain: time.Minute})
			store()
		}
		Expect(appends).To(Equal(1 + 8))
	})

	It("counts a turn that the failed owner granted without a record once, however often it is settled", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, smallTurn("a"))
		stored.store(l)
		storeTurn(stored, l, settlementOf("a", first, 100))
		slot := l.Admit(start, smallTurn("b"))
		Expect(slot.Position).To(BeZero())
		l = stored.open(start)
		Expect(l.Admit(start, smallTurn("b2")).OpenTokens).To(Equal(smallMaxTokens))
		l.Settle(start, settlementOf("b2", ledger.Admission{}, 0))
		for range 3 {
			l.Settle(start, settlementOf("a", first, 100))
			l.Settle(start, settlementOf("b", slot, 70))
			admission := l.Admit(start, smallTurn("c"))
			Expect(admission.SettledTokens).To(Equal(170))
			Expect(admission.OpenTokens).To(BeZero())
			l.Settle(start, settlementOf("c", admission, 0))
		}
	})

	It("counts a turn once that the failed owner granted without a record and that is admitted again", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, smallTurn("a"))
		stored.store(l)
		storeTurn(stored, l, settlementOf("a", first, 100))
		slot := l.Admit(start, smallTurn("b"))
		Expect(slot.Position).To(BeZero())
		l = stored.open(start)
		Expect(l.Admit(start, smallTurn("b")).Verdict).To(Equal(ledger.VerdictGranted))
		l.Settle(start, settlementOf("b", slot, 70))
		admission := l.Admit(start, smallTurn("c"))
		Expect(admission.SettledTokens).To(Equal(170))
		Expect(admission.OpenTokens).To(BeZero())
	})

	It("answers busy while another turn may still be settled, and exhausted only afterwards", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, smallTurn("a"))
		stored.store(l)
		storeTurn(stored, l, settlementOf("a", first, 348))
		slot := l.Admit(start, smallTurn("b"))
		l = stored.open(start)
		Expect(l.Admit(start, smallTurn("c")).Verdict).To(Equal(ledger.VerdictBusy))
		late := start.Add(8 * time.Second)
		Expect(l.Admit(late, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted))
		l.Settle(late, settlementOf("b", slot, 1))
		Expect(l.Admit(late, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted), "349 of 900 are used")

		l = stored.open(start)
		l.Settle(start.Add(8*time.Second), settlementOf("b", slot, 0))
		Expect(l.Admit(late, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted), "the number may be another turn's by now")
	})

	It("corrects the count by a late settlement", func() {
		l := ledger.New(unrecordedConfig())
		// The second turn is the one beyond the budget, since the first may have used less.
		admission := l.Admit(start, smallTurn("a"))
		late := start.Add(4 * time.Second)
		beyond := l.Admit(late, smallTurn("b"))
		Expect(beyond.Verdict).To(Equal(ledger.VerdictGranted))
		later := late.Add(4 * time.Second)
		Expect(l.Admit(later, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted))
		l.Settle(later, settlementOf("a", admission, 20))
		l.Settle(later, settlementOf("b", beyond, 0))
		granted := l.Admit(later, smallTurn("c"))
		Expect(granted.Verdict).To(Equal(ledger.VerdictGranted))
		Expect(granted.SettledTokens).To(Equal(20))
	})

	It("gets no second turn beyond the budget", func() {
		l := ledger.New(unrecordedConfig())
		at := start
		for _, verdict := range []ledger.Verdict{ledger.VerdictGranted, ledger.VerdictGranted, ledger.VerdictExhausted} {
			Expect(l.Admit(at, smallTurn(at.String())).Verdict).To(Equal(verdict))
			at = at.Add(4 * time.Second)
		}
	})

	It("knows the use of each turn in the log although the owner fails between two records", func() {
		stored := storedLog{}
		config := unrecordedConfig()
		config.BatchRecords = 1
		l := ledger.New(config)
		admission := l.Admit(start, smallTurn("a"))
		stored.store(l)
		l.Settle(start, settlementOf("a", admission, 30))
		l.StoreTurn(start, ledger.StoredTurn{ID: "a", Program: "p", Input: []byte("x"), Retain: time.Minute})
		for batch := l.Ready(); batch != nil; batch = l.Ready() {
			stored.put(batch)
			l.BatchCommitted()
			owner := stored.restoreWith(start, config)
			if owner.HoldsTurn("a") {
				Expect(owner.Admit(start, smallTurn("b")).SettledTokens).To(Equal(30))
			}
		}
	})

	It("needs no write for a turn after one that did not run and whose record was not yet in the log", func() {
		stored := storedLog{}
		l := stored.serving(start)
		l.StoreTurn(start, ledger.StoredTurn{ID: "other", Program: "other", Input: []byte("x"), Retain: time.Minute})
		Expect(l.Ready()).NotTo(BeEmpty())
		refused := l.Admit(start, smallTurn("refused"))
		l.Settle(start, settlementOf("refused", refused, 0))
		l.BatchCommitted()
		stored.store(l)
		Expect(l.Admit(start, smallTurn("a")).Position).To(BeZero())
		Expect(l.Ready()).To(BeEmpty())
	})

	It("numbers grants differently from those of an owner whose records were lost", func() {
		stored := storedLog{}
		lost := stored.serving(start).Admit(start, smallTurn("a"))
		next := stored.open(start.Add(time.Millisecond)).Admit(start.Add(time.Millisecond), smallTurn("b"))
		Expect(next.Grant).To(BeNumerically(">", lost.Grant))
	})

	It("is not used up by what is assumed for programs without a record", func() {
		stored := storedLog{}
		stored.serving(start)
		for range 3 {
			l := stored.open(start)
			admission := l.Admit(start, smallTurn("a"))
			Expect(admission.SettledTokens).To(BeZero())
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted))
			l.Settle(start, settlementOf("a", admission, 100))
			Expect(l.Admit(start, smallTurn("b")).Verdict).To(Equal(ledger.VerdictGranted))
		}
	})
})

var _ = Describe("A small budget whose turns are not stored", func() {
	unstored := func(id string) ledger.Turn {
		request := smallTurn(id)
		request.StoreOnSuccess = false
		return request
	}

	It("lets its program finish although its owner fails before each of its turns", func() {
		stored := storedLog{}
		for index := range 10 {
			l := stored.open(start)
			id := strconv.Itoa(index)
			admission := l.Admit(start, unstored(id))
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d: %+v", index, admission)
			stored.store(l)
			l.Settle(start, settlementOf(id, admission, 30))
			stored.store(l)
		}
	})

	It("lets its program finish although each turn is settled at the next owner", func() {
		stored := storedLog{}
		l := stored.serving(start)
		for index := range 6 {
			id := strconv.Itoa(index)
			admission := l.Admit(start, unstored(id))
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d: %+v", index, admission)
			stored.store(l)
			l = stored.open(start)
			l.Settle(start, settlementOf(id, admission, 50))
		}
	})
})

var _ = Describe("The record of an account", func() {
	// formerValue is the part of the record that owners of the former format read.
	type formerValue struct {
		Mark     int   `json:"mark"`
		Assumed  int   `json:"assumed"`
		RetainMS int64 `json:"retain_ms"`
	}

	It("gives owners that read the former format no less than what may be used", func() {
		stored := storedLog{}
		l := stored.serving(start)
		used := 0
		for index := range 5 {
			id := strconv.Itoa(index)
			admission := l.Admit(start, smallTurn(id))
			stored.store(l)
			var read formerValue
			Expect(json.Unmarshal(stored["account/p"], &read)).To(Succeed())
			Expect(read.Mark).To(BeNumerically(">=", used+smallMaxTokens))
			Expect(read.RetainMS).To(Equal(time.Minute.Milliseconds()))
			storeTurn(stored, l, settlementOf(id, admission, 60))
			used += 60
		}
	})

	It("of the former format counts as used", func() {
		stored := storedLog{"account/p": []byte(`{"mark":300,"retain_ms":60000}`)}
		admission := stored.open(start).Admit(start, turnRequest("a", 600))
		Expect(admission.SettledTokens).To(Equal(300))
		Expect(admission.OpenTokens).To(BeZero())
	})
})
