package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// The load of these tests: that of one partition out of partitionCount, by programs that
// start with a large input and continue with small ones.
const (
	partitionCount  = 24
	turnsPerSecond  = 300.0 / partitionCount
	firstInputBytes = 9500
	laterInputBytes = 1200
	outputBytes     = 1400
	turnsPerProgram = 5
	// storeLimitBytes is the capacity of the store, and trimIntervalBytes how much is
	// appended to a partition between two trims.
	storeLimitBytes   = 400 << 20
	trimIntervalBytes = 2 << 20
)

// storeModel counts the bytes that a store holds of a partition: the newest record of
// each key, and replaced records until the next trim.
type storeModel struct {
	newest                     map[string]int
	bytes, replaced, sinceTrim int
}

func (m *storeModel) append(records []ledger.Record) {
	for _, record := range records {
		size := len(record.Key) + len(record.Value)
		m.sinceTrim += size
		m.replaced += m.newest[record.Key]
		m.bytes -= m.newest[record.Key]
		delete(m.newest, record.Key)
		if len(record.Value) == 0 {
			m.replaced += size
			continue
		}
		m.newest[record.Key] = size
		m.bytes += size
	}
	if m.sinceTrim >= trimIntervalBytes {
		m.sinceTrim, m.replaced = 0, 0
	}
}

var _ = Describe("The space that a ledger takes", func() {
	It("stays under half of the store in an hour of load", func() {
		random := rand.New(rand.NewPCG(41, 1))
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		body := make([]byte, firstInputBytes)
		l := ledger.New(ledger.DefaultConfig())
		store := &storeModel{newest: map[string]int{}}
		maxBytes, turns := 0, 0
		for end := now.Add(time.Hour); now.Before(end); now = now.Add(time.Second) {
			for range int(turnsPerSecond + random.Float64()) {
				turns++
				kept := ledger.StoredTurn{
					ID: fmt.Sprintf("turn-%d", turns), Program: fmt.Sprintf("program-%d", turns/turnsPerProgram),
					Input: body, Output: body[:outputBytes], Retain: time.Minute,
				}
				if turns%turnsPerProgram != 0 {
					kept.Previous, kept.Input = fmt.Sprintf("turn-%d", turns-1), body[:laterInputBytes]
				}
				l.Admit(now, ledger.Turn{ID: kept.ID, Program: kept.Program, MaxTokens: 500, Budget: 4000, Timeout: time.Second, Retain: time.Minute})
				l.Settle(now, ledger.Settlement{Turn: kept.ID, Program: kept.Program, Tokens: 100})
				l.StoreTurn(now, kept)
			}
			l.Tick(now)
			for records := l.Ready(); records != nil; records = l.Ready() {
				store.append(records)
				l.BatchCommitted()
			}
			maxBytes = max(maxBytes, store.bytes+store.replaced)
		}
		AddReportEntry("bytes in the store at most, of all partitions", maxBytes*partitionCount)
		Expect(maxBytes * partitionCount).To(BeNumerically("<", storeLimitBytes/2))
		Expect(l.Size()).To(BeNumerically("~", store.bytes, store.bytes/10))
	})

	It("is a quarter smaller than with bodies in base64", func() {
		l := ledger.New(ledger.DefaultConfig())
		l.StoreTurn(time.Unix(0, 0), ledger.StoredTurn{ID: "t", Program: "p", Input: make([]byte, firstInputBytes), Output: make([]byte, outputBytes), Retain: time.Minute})
		records := l.Ready()
		Expect(len(records[0].Value)).To(BeNumerically("<", firstInputBytes+outputBytes+300))
	})
})

var _ = Describe("A stored turn's record", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

	It("is decoded as former versions encoded it", func() {
		l := ledger.New(ledger.DefaultConfig())
		former := ledger.Record{Key: "turn/t", Value: []byte(`{"program":"p","base":"YmFzZQ==","input":"aW4=","output":"b3V0","retain_ms":60000}`)}
		Expect(l.Restore(now, former)).To(Succeed())
		chain, found := l.Chain("t")
		Expect(found).To(BeTrue())
		Expect(string(chain)).To(Equal("baseinout"))
	})

	It("is decoded as this version encodes it, and rejected if truncated", func() {
		previous := ledger.New(ledger.DefaultConfig())
		previous.StoreTurn(now, ledger.StoredTurn{
			ID: "t", Program: "p", Previous: "gone", Base: []byte("base"), Input: []byte("in"), Output: []byte("out"), Retain: time.Minute,
		})
		record := previous.Ready()[0]
		l := ledger.New(ledger.DefaultConfig())
		Expect(l.Restore(now, record)).To(Succeed())
		chain, _ := l.Chain("t")
		Expect(string(chain)).To(Equal("baseinout"))
		for length := 1; length < len(record.Value); length++ {
			cut := ledger.Record{Key: "turn/cut", Value: record.Value[:length]}
			Expect(ledger.New(ledger.DefaultConfig()).Restore(now, cut)).NotTo(Succeed())
		}
	})

	It("expires when due, also after a takeover, and not before the turns that continue it", func() {
		previous := ledger.New(ledger.DefaultConfig())
		previous.StoreTurn(now, ledger.StoredTurn{ID: "a", Program: "p", Input: []byte("1"), Retain: time.Minute})
		previous.StoreTurn(now.Add(40*time.Second), ledger.StoredTurn{ID: "b", Program: "p", Previous: "a", Input: []byte("2"), Retain: time.Minute})
		previous.StoreTurn(now, ledger.StoredTurn{ID: "alone", Program: "p", Input: []byte("3"), Retain: time.Minute})
		l := ledger.New(ledger.DefaultConfig())
		taken := now.Add(50 * time.Second)
		for _, record := range previous.Ready() {
			Expect(l.Restore(taken, record)).To(Succeed())
		}
		l.FinishRestore()
		l.Tick(now.Add(80 * time.Second))
		Expect(l.HoldsTurn("alone")).To(BeFalse())
		Expect(l.HoldsChain("b")).To(BeTrue())
		l.Tick(now.Add(120 * time.Second))
		Expect(l.HoldsTurn("a")).To(BeFalse())
	})
})
