package ledger_test

import (
	"encoding/json"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// The budget of a small program, and the most of each of its turns: it holds one turn,
// and then the rest of it.
const (
	smallBudget = 900
	smallMost   = 552
)

// smallTurn is a turn of a small program whose turns are kept.
func smallTurn(id string) ledger.Turn {
	return ledger.Turn{
		ID: id, Program: "p", Session: "s", Most: smallMost, Budget: smallBudget, Within: time.Second, Retain: time.Minute, Keeps: true,
	}
}

// endOf is the end of a turn that used so many tokens.
func endOf(id string, admission ledger.Admission, tokens int) ledger.Settlement {
	return ledger.Settlement{Turn: id, Program: "p", Session: "s", Grant: admission.Grant, Tokens: tokens}
}

// keepTurn has an owner settle and keep a turn, and the log take it.
func keepTurn(stored log, books *ledger.Ledger, end ledger.Settlement) {
	books.Settle(start, end)
	books.Keep(start, ledger.KeptTurn{ID: end.Turn, Program: "p", Input: []byte("x"), Retain: time.Minute})
	stored.store(books)
}

var _ = Describe("A small budget whose turns are kept", func() {
	It("lets its program end whose owner is lost before each of its turns", func() {
		stored := log{}
		for index := range 10 {
			books := stored.open(start)
			id := strconv.Itoa(index)
			admission := books.Admit(start, smallTurn(id))
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d: %+v", index, admission)
			stored.store(books)
			keepTurn(stored, books, endOf(id, admission, 30))
		}
	})

	It("lets it end whose owner is lost once, twice and thrice with a turn under way, which ends at the next", func() {
		for losses := 1; losses <= 3; losses++ {
			stored := log{}
			books := stored.serving(start)
			for index := range 8 {
				id := strconv.Itoa(index)
				admission := books.Admit(start, smallTurn(id))
				Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d of %d losses: %+v", index, losses, admission)
				if admission.Position > 0 {
					stored.store(books)
				}
				if index >= 2 && index < 2+losses {
					books = stored.open(start)
				}
				keepTurn(stored, books, endOf(id, admission, 40))
			}
		}
	})

	It("lets it end whose turns end unkept, or ran nowhere, at owners that are lost right after", func() {
		for losses := 1; losses <= 3; losses++ {
			for _, tokens := range []int{0, 40} {
				stored := log{}
				books := stored.serving(start)
				for index := range 6 {
					id := strconv.Itoa(index)
					admission := books.Admit(start, smallTurn(id))
					Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d of %d losses: %+v", index, losses, admission)
					stored.store(books)
					if index > 0 && index <= losses {
						books.Settle(start, endOf(id, admission, tokens))
						stored.store(books)
						books = stored.open(start)
						continue
					}
					keepTurn(stored, books, endOf(id, admission, 40))
				}
			}
		}
	})

	It("needs one append a turn, that of the kept turn, and one for the first", func() {
		stored := log{}
		books := stored.serving(start)
		appends := 0
		store := func() {
			for books.Ready() != nil {
				appends++
				books.Stored()
			}
		}
		for index := range 8 {
			id := strconv.Itoa(index)
			admission := books.Admit(start, smallTurn(id))
			Expect(admission.Position == 0).To(BeTrue())
			store()
			books.Settle(start, endOf(id, admission, 40))
			books.Keep(start, ledger.KeptTurn{ID: id, Program: "p", Input: []byte("x"), Retain: time.Minute})
			store()
		}
		Expect(appends).To(Equal(1 + 8))
	})

	It("counts a turn that the lost owner granted without a record once, however often its end is told", func() {
		stored := log{}
		books := stored.serving(start)
		first := books.Admit(start, smallTurn("a"))
		stored.store(books)
		keepTurn(stored, books, endOf("a", first, 100))
		slot := books.Admit(start, smallTurn("b"))
		Expect(slot.Position).To(BeZero())
		books = stored.open(start)
		Expect(books.Admit(start, smallTurn("b2")).Open).To(Equal(smallMost))
		books.Settle(start, endOf("b2", ledger.Admission{}, 0))
		for range 3 {
			books.Settle(start, endOf("a", first, 100))
			books.Settle(start, endOf("b", slot, 70))
			admission := books.Admit(start, smallTurn("c"))
			Expect(admission.Settled).To(Equal(170))
			Expect(admission.Open).To(BeZero())
			books.Settle(start, endOf("c", admission, 0))
		}
	})

	It("has a turn come back while one may still end, and says that it is spent only then", func() {
		stored := log{}
		books := stored.serving(start)
		first := books.Admit(start, smallTurn("a"))
		stored.store(books)
		keepTurn(stored, books, endOf("a", first, 348))
		slot := books.Admit(start, smallTurn("b"))
		books = stored.open(start)
		Expect(books.Admit(start, smallTurn("c")).Verdict).To(Equal(ledger.VerdictBusy))
		late := start.Add(8 * time.Second)
		Expect(books.Admit(late, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted))
		books.Settle(late, endOf("b", slot, 1))
		Expect(books.Admit(late, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted), "349 of 900 are used")

		books = stored.open(start)
		books.Settle(start.Add(8*time.Second), endOf("b", slot, 0))
		Expect(books.Admit(late, smallTurn("c")).Verdict).To(Equal(ledger.VerdictExhausted), "the number may be another turn's by now")
	})

	It("corrects the count by the end of a turn that is told late", func() {
		books := ledger.New(unrecordedConfig())
		admission := books.Admit(start, smallTurn("a"))
		late := start.Add(4 * time.Second)
		Expect(books.Admit(late, smallTurn("b")).Verdict).To(Equal(ledger.VerdictExhausted))
		books.Settle(late, endOf("a", admission, 20))
		granted := books.Admit(late, smallTurn("b"))
		Expect(granted.Verdict).To(Equal(ledger.VerdictGranted))
		Expect(granted.Settled).To(Equal(20))
	})

	It("knows the end of each turn that the log keeps, though the owner is lost between two records", func() {
		stored := log{}
		config := unrecordedConfig()
		config.BatchRecords = 1
		books := ledger.New(config)
		admission := books.Admit(start, smallTurn("a"))
		stored.store(books)
		books.Settle(start, endOf("a", admission, 30))
		books.Keep(start, ledger.KeptTurn{ID: "a", Program: "p", Input: []byte("x"), Retain: time.Minute})
		for batch := books.Ready(); batch != nil; batch = books.Ready() {
			stored.put(batch)
			books.Stored()
			owner := stored.restoreWith(start, config)
			if owner.Holds("a") {
				Expect(owner.Admit(start, smallTurn("b")).Settled).To(Equal(30))
			}
		}
	})

	It("needs no write for a turn that follows one which was refused before the log had its record", func() {
		stored := log{}
		books := stored.serving(start)
		books.Keep(start, ledger.KeptTurn{ID: "other", Program: "other", Input: []byte("x"), Retain: time.Minute})
		Expect(books.Ready()).NotTo(BeEmpty())
		refused := books.Admit(start, smallTurn("refused"))
		books.Settle(start, endOf("refused", refused, 0))
		books.Stored()
		stored.store(books)
		Expect(books.Admit(start, smallTurn("a")).Position).To(BeZero())
		Expect(books.Ready()).To(BeEmpty())
	})

	It("numbers the grants of an owner that the log lost apart from those of the next", func() {
		stored := log{}
		lost := stored.serving(start).Admit(start, smallTurn("a"))
		next := stored.open(start.Add(time.Millisecond)).Admit(start.Add(time.Millisecond), smallTurn("b"))
		Expect(next.Grant).To(BeNumerically(">", lost.Grant))
	})

	It("is not eaten by what is assumed of programs that the log does not know", func() {
		stored := log{}
		stored.serving(start)
		for range 3 {
			books := stored.open(start)
			admission := books.Admit(start, smallTurn("a"))
			Expect(admission.Settled).To(BeZero())
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted))
			books.Settle(start, endOf("a", admission, 100))
			Expect(books.Admit(start, smallTurn("b")).Verdict).To(Equal(ledger.VerdictGranted))
		}
	})
})

var _ = Describe("A small budget whose turns are not kept", func() {
	unkept := func(id string) ledger.Turn {
		asked := smallTurn(id)
		asked.Keeps = false
		return asked
	}

	It("lets its program end whose owner is lost before each of its turns", func() {
		stored := log{}
		for index := range 10 {
			books := stored.open(start)
			id := strconv.Itoa(index)
			admission := books.Admit(start, unkept(id))
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d: %+v", index, admission)
			stored.store(books)
			books.Settle(start, endOf(id, admission, 30))
			stored.store(books)
		}
	})

	It("lets it end whose turn under way ends at the next owner", func() {
		stored := log{}
		books := stored.serving(start)
		for index := range 6 {
			id := strconv.Itoa(index)
			admission := books.Admit(start, unkept(id))
			Expect(admission.Verdict).To(Equal(ledger.VerdictGranted), "turn %d: %+v", index, admission)
			stored.store(books)
			books = stored.open(start)
			books.Settle(start, endOf(id, admission, 50))
		}
	})
})

var _ = Describe("The record of an account", func() {
	// formerValue is what owners of the former format read of it.
	type formerValue struct {
		Mark     int   `json:"mark"`
		Assumed  int   `json:"assumed"`
		RetainMS int64 `json:"retain_ms"`
	}

	It("tells owners of the former format no less than what may be used", func() {
		stored := log{}
		books := stored.serving(start)
		used := 0
		for index := range 5 {
			id := strconv.Itoa(index)
			admission := books.Admit(start, smallTurn(id))
			stored.store(books)
			var read formerValue
			Expect(json.Unmarshal(stored["account/p"], &read)).To(Succeed())
			Expect(read.Mark).To(BeNumerically(">=", used+smallMost))
			Expect(read.RetainMS).To(Equal(time.Minute.Milliseconds()))
			keepTurn(stored, books, endOf(id, admission, 60))
			used += 60
		}
	})

	It("of the former format counts as used", func() {
		stored := log{"account/p": []byte(`{"mark":300,"retain_ms":60000}`)}
		admission := stored.open(start).Admit(start, turnRequest("a", 600))
		Expect(admission.Settled).To(Equal(300))
		Expect(admission.Open).To(BeZero())
	})
})
