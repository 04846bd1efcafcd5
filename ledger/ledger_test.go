package ledger_test

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// start is the beginning of virtual time.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// storedLog holds the newest record of each key, as the store does.
type storedLog map[string][]byte

// store appends all batches that the ledger has ready.
func (s storedLog) store(from *ledger.Ledger) {
	for batch := from.Ready(); batch != nil; batch = from.Ready() {
		s.put(batch)
		from.BatchCommitted()
	}
}

// put appends one batch.
func (s storedLog) put(batch []ledger.Record) {
	for _, record := range batch {
		if len(record.Value) == 0 {
			delete(s, record.Key)
			continue
		}
		s[record.Key] = record.Value
	}
}

// restore returns the ledger of a new owner.
func (s storedLog) restore(now time.Time) *ledger.Ledger {
	return s.restoreWith(now, ledger.DefaultConfig())
}

func (s storedLog) restoreWith(now time.Time, config ledger.Config) *ledger.Ledger {
	restored := ledger.New(config)
	for _, key := range slices.Sorted(maps.Keys(s)) {
		Expect(restored.Restore(now, ledger.Record{Key: key, Value: s[key]})).To(Succeed())
	}
	restored.FinishRestore()
	return restored
}

// turnRequest returns a request for a turn of at most 100 tokens.
func turnRequest(id string, budget int) ledger.Turn {
	return ledger.Turn{ID: id, Program: "p", Session: "s", MaxTokens: 100, Budget: budget, Timeout: time.Second, Retain: time.Minute}
}

var _ = Describe("A budget", func() {
	It("grants turns while it holds one more at its maximum, and no longer", func() {
		l := ledger.New(ledger.DefaultConfig())
		used := 0
		for index := range 3 {
			id := strconv.Itoa(index)
			Expect(l.Admit(start, turnRequest(id, 300)).Verdict).To(Equal(ledger.VerdictGranted))
			l.Settle(start, ledger.Settlement{Turn: id, Program: "p", Tokens: 90})
			used += 90
		}
		Expect(l.Admit(start, turnRequest("last", 300)).Verdict).To(Equal(ledger.VerdictExhausted))
		Expect(used).To(BeNumerically("<=", 300))
	})

	It("answers busy and not exhausted while open turns hold the rest", func() {
		l := ledger.New(ledger.DefaultConfig())
		Expect(l.Admit(start, turnRequest("a", 150)).Verdict).To(Equal(ledger.VerdictGranted))
		Expect(l.Admit(start, turnRequest("b", 150)).Verdict).To(Equal(ledger.VerdictBusy))
		l.Settle(start, ledger.Settlement{Turn: "a", Program: "p", Tokens: 20})
		Expect(l.Admit(start, turnRequest("b", 150)).Verdict).To(Equal(ledger.VerdictGranted))
	})

	It("distinguishes a program without a served turn from one that has been served", func() {
		l := ledger.New(ledger.DefaultConfig())
		Expect(l.Admit(start, turnRequest("a", 300)).NewProgram).To(BeTrue())
		l.Settle(start, ledger.Settlement{Turn: "a", Program: "p"})
		Expect(l.Admit(start, turnRequest("b", 300)).NewProgram).To(BeTrue())
		Expect(l.Admit(start, turnRequest("c", 300)).NewProgram).To(BeFalse())
		l.Settle(start, ledger.Settlement{Turn: "b", Program: "p", Session: "s", Tokens: 10, Replica: "r"})
		Expect(l.Admit(start, turnRequest("d", 300)).NewProgram).To(BeFalse())
	})

	It("grants the same turn once, however often it is requested", func() {
		l := ledger.New(ledger.DefaultConfig())
		for range 3 {
			Expect(l.Admit(start, turnRequest("a", 150)).Verdict).To(Equal(ledger.VerdictGranted))
		}
		l.Settle(start, ledger.Settlement{Turn: "a", Program: "p", Tokens: 30})
		Expect(l.Admit(start, turnRequest("b", 150)).SettledTokens).To(Equal(30))
	})

	It("never lets a program use more than the budget and one turn, whenever its owner fails", func() {
		const budget = 1000
		for lossInterval := 1; lossInterval < 6; lossInterval++ {
			stored := storedLog{}
			l := ledger.New(ledger.DefaultConfig())
			used := 0
			for index := range 40 {
				if index%lossInterval == 0 {
					l = stored.restore(start)
				}
				id := strconv.Itoa(index)
				admission := l.Admit(start, turnRequest(id, budget))
				if admission.Verdict != ledger.VerdictGranted {
					continue
				}
				// A turn that waits for the log may run, but none of its tokens may reach
				// the client before the log has the mark.
				if admission.Position > l.Durable() {
					if index%lossInterval == lossInterval-1 {
						l = stored.restore(start)
						continue
					}
					stored.store(l)
				}
				used += 100
				l.Settle(start, ledger.Settlement{Turn: id, Program: "p", Tokens: 100})
			}
			Expect(used).To(BeNumerically("<=", budget+100))
		}
	})

	It("lets a program that uses a quarter of it finish although its owner fails once", func() {
		const turns, most = 8, 100
		for lostBefore := range turns {
			stored := storedLog{}
			l := ledger.New(ledger.DefaultConfig())
			for index := range turns {
				if index == lostBefore {
					l = stored.restore(start)
				}
				id := strconv.Itoa(index)
				Expect(l.Admit(start, turnRequest(id, turns*most)).Verdict).To(Equal(ledger.VerdictGranted))
				stored.store(l)
				l.Settle(start, ledger.Settlement{Turn: id, Program: "p", Tokens: most / 4})
			}
		}
	})

	It("counts every turn in the log before its tokens may be handed out", func() {
		l := ledger.New(ledger.DefaultConfig())
		Expect(l.Admit(start, turnRequest("a", 300)).Position).To(BeNumerically(">", l.Durable()))
	})

	It("is remembered by a new owner for the retention time of its route", func() {
		stored := storedLog{}
		l := ledger.New(ledger.DefaultConfig())
		Expect(l.Admit(start, turnRequest("a", 100)).Verdict).To(Equal(ledger.VerdictGranted))
		stored.store(l)
		l = stored.restore(start.Add(time.Second))
		for second := range 55 {
			l.Tick(start.Add(time.Duration(second) * time.Second))
			stored.store(l)
		}
		l = stored.restore(start.Add(55 * time.Second))
		Expect(l.Admit(start.Add(55*time.Second), turnRequest("b", 100)).Verdict).To(Equal(ledger.VerdictBusy))
		Expect(l.Admit(start.Add(63*time.Second), turnRequest("b", 100)).Verdict).To(Equal(ledger.VerdictExhausted))
	})

	It("is removed with its record once the retention time is over", func() {
		stored := storedLog{}
		l := ledger.New(ledger.DefaultConfig())
		l.Admit(start, turnRequest("a", 100))
		stored.store(l)
		Expect(stored).NotTo(BeEmpty())
		for second := range 200 {
			l.Tick(start.Add(time.Duration(second) * time.Second))
			stored.store(l)
		}
		Expect(stored).To(BeEmpty())
	})

	It("counts a turn that was never settled at its maximum", func() {
		l := ledger.New(ledger.DefaultConfig())
		l.Admit(start, turnRequest("a", 150))
		late := start.Add(10 * time.Second)
		admission := l.Admit(late, turnRequest("b", 150))
		Expect(admission.Verdict).To(Equal(ledger.VerdictExhausted))
		Expect(admission.SettledTokens).To(Equal(100))
	})
})

var _ = Describe("A stored turn", func() {
	keep := func(l *ledger.Ledger, now time.Time, id, previous string) {
		l.StoreTurn(now, ledger.StoredTurn{
			ID: id, Program: "p", Previous: previous, Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + ";"), Retain: time.Minute,
		})
	}

	It("yields its chain, oldest first, also to a new owner", func() {
		stored := storedLog{}
		l := ledger.New(ledger.DefaultConfig())
		keep(l, start, "a", "")
		keep(l, start, "b", "a")
		stored.store(l)
		for _, owner := range []*ledger.Ledger{l, stored.restore(start)} {
			chain, found := owner.Chain("b")
			Expect(found).To(BeTrue())
			Expect(string(chain)).To(Equal("in-a;out-a;in-b;out-b;"))
			_, found = owner.Chain("c")
			Expect(found).To(BeFalse())
		}
	})

	It("larger than a record is stored in parts, restored whole, and removed with all of them", func() {
		stored := storedLog{}
		l := ledger.New(ledger.DefaultConfig())
		large := bytes.Repeat([]byte("0123456789"), 60_000)
		l.StoreTurn(start, ledger.StoredTurn{ID: "large", Program: "p", Input: large, Output: []byte("out"), Retain: time.Minute})
		stored.store(l)
		for _, value := range stored {
			Expect(len(value)).To(BeNumerically("<=", ledger.DefaultConfig().RecordBytes))
		}
		l = stored.restore(start)
		chain, found := l.Chain("large")
		Expect(found).To(BeTrue())
		Expect(bytes.Equal(chain, append(slices.Clone(large), "out"...))).To(BeTrue())
		for second := range 100 {
			l.Tick(start.Add(time.Duration(second) * time.Second))
			stored.store(l)
		}
		Expect(stored).To(BeEmpty())
	})

	It("whose parts a previous owner did not finish writing leaves nothing behind", func() {
		stored := storedLog{"part/lost/0": []byte("x"), "part/lost/1": []byte("y")}
		l := stored.restore(start)
		_, found := l.Chain("lost")
		Expect(found).To(BeFalse())
		stored.store(l)
		Expect(stored).To(BeEmpty())
	})

	It("includes the chain that another partition stores", func() {
		l := ledger.New(ledger.DefaultConfig())
		l.StoreTurn(start, ledger.StoredTurn{ID: "b", Previous: "elsewhere", Base: []byte("base;"), Input: []byte("in;"), Output: []byte("out;"), Retain: time.Minute})
		chain, found := l.Chain("b")
		Expect(found).To(BeTrue())
		Expect(string(chain)).To(Equal("base;in;out;"))
	})

	It("keeps the turns that it continues, and all expire in the end", func() {
		stored := storedLog{}
		l := ledger.New(ledger.DefaultConfig())
		keep(l, start, "a", "")
		later := start.Add(50 * time.Second)
		keep(l, later, "b", "a")
		for second := range 108 {
			l.Tick(start.Add(time.Duration(second) * time.Second))
			stored.store(l)
		}
		_, found := l.Chain("b")
		Expect(found).To(BeTrue())
		for second := range 60 {
			l.Tick(start.Add(time.Duration(108+second) * time.Second))
			stored.store(l)
		}
		Expect(stored).To(BeEmpty())
	})
})

var _ = Describe("A position", func() {
	It("is durable only when every record up to it is in the log", func() {
		config := ledger.DefaultConfig()
		config.BatchRecords = 2
		l := ledger.New(config)
		positions := make([]uint64, 5)
		for index := range positions {
			positions[index] = l.StoreTurn(start, ledger.StoredTurn{ID: strconv.Itoa(index), Input: []byte("x"), Retain: time.Minute})
		}
		for round := range 3 {
			Expect(l.Ready()).NotTo(BeEmpty())
			Expect(l.Durable()).To(BeNumerically("<", positions[min(4, round*2+1)]))
			l.BatchCommitted()
		}
		Expect(l.Durable()).To(Equal(positions[4]))
	})
})
