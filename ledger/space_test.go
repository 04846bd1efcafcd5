package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// The load of these tests: one of some partitions, of programs that begin with a long
// turn and go on with short ones.
const (
	spacePartitions = 24
	turnsPerSecond  = 300.0 / spacePartitions
	firstInput      = 9500
	laterInput      = 1200
	outputBytes     = 1400
	turnsPerProgram = 5
	// storeLimit is what the store keeps in all, and trimEvery how much is appended to
	// a partition before it is trimmed.
	storeLimit = 400 << 20
	trimEvery  = 2 << 20
)

// keptLog is what a store keeps of a partition's records: the newest of each key, and
// what they replaced until it is trimmed.
type keptLog struct {
	newest                  map[string]int
	bytes, replaced, untold int
}

func (k *keptLog) append(records []ledger.Record) {
	for _, record := range records {
		size := len(record.Key) + len(record.Value)
		k.untold += size
		k.replaced += k.newest[record.Key]
		k.bytes -= k.newest[record.Key]
		delete(k.newest, record.Key)
		if len(record.Value) == 0 {
			k.replaced += size
			continue
		}
		k.newest[record.Key] = size
		k.bytes += size
	}
	if k.untold >= trimEvery {
		k.untold, k.replaced = 0, 0
	}
}

var _ = Describe("The space that a ledger takes", func() {
	It("stays under half of the store in an hour of load", func() {
		random := rand.New(rand.NewPCG(41, 1))
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		body := make([]byte, firstInput)
		one := ledger.New(ledger.DefaultConfig())
		held := &keptLog{newest: map[string]int{}}
		most, turns := 0, 0
		for end := now.Add(time.Hour); now.Before(end); now = now.Add(time.Second) {
			for range int(turnsPerSecond + random.Float64()) {
				turns++
				kept := ledger.KeptTurn{
					ID: fmt.Sprintf("turn-%d", turns), Program: fmt.Sprintf("program-%d", turns/turnsPerProgram),
					Input: body, Output: body[:outputBytes], Retain: time.Minute,
				}
				if turns%turnsPerProgram != 0 {
					kept.Previous, kept.Input = fmt.Sprintf("turn-%d", turns-1), body[:laterInput]
				}
				one.Admit(now, ledger.Turn{ID: kept.ID, Program: kept.Program, Most: 500, Budget: 4000, Within: time.Second, Retain: time.Minute})
				one.Settle(now, ledger.Settlement{Turn: kept.ID, Program: kept.Program, Tokens: 100})
				one.Keep(now, kept)
			}
			one.Tick(now)
			for records := one.Ready(); records != nil; records = one.Ready() {
				held.append(records)
				one.Stored()
			}
			most = max(most, held.bytes+held.replaced)
		}
		AddReportEntry("bytes in the store at most, of all partitions", most*spacePartitions)
		Expect(most * spacePartitions).To(BeNumerically("<", storeLimit/2))
		Expect(one.Size()).To(BeNumerically("~", held.bytes, held.bytes/10))
	})

	It("is a quarter less than with bodies in base64", func() {
		one := ledger.New(ledger.DefaultConfig())
		one.Keep(time.Unix(0, 0), ledger.KeptTurn{ID: "t", Program: "p", Input: make([]byte, firstInput), Output: make([]byte, outputBytes), Retain: time.Minute})
		records := one.Ready()
		Expect(len(records[0].Value)).To(BeNumerically("<", firstInput+outputBytes+300))
	})
})

var _ = Describe("A kept turn's record", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

	It("is read as former versions wrote it", func() {
		one := ledger.New(ledger.DefaultConfig())
		former := ledger.Record{Key: "turn/t", Value: []byte(`{"program":"p","base":"YmFzZQ==","input":"aW4=","output":"b3V0","retain_ms":60000}`)}
		Expect(one.Restore(now, former)).To(Succeed())
		chain, found := one.Chain("t")
		Expect(found).To(BeTrue())
		Expect(string(chain)).To(Equal("baseinout"))
	})

	It("is read as this version writes it, and refused where it is cut", func() {
		before := ledger.New(ledger.DefaultConfig())
		before.Keep(now, ledger.KeptTurn{
			ID: "t", Program: "p", Previous: "gone", Base: []byte("base"), Input: []byte("in"), Output: []byte("out"), Retain: time.Minute,
		})
		record := before.Ready()[0]
		one := ledger.New(ledger.DefaultConfig())
		Expect(one.Restore(now, record)).To(Succeed())
		chain, _ := one.Chain("t")
		Expect(string(chain)).To(Equal("baseinout"))
		for length := 1; length < len(record.Value); length++ {
			cut := ledger.Record{Key: "turn/cut", Value: record.Value[:length]}
			Expect(ledger.New(ledger.DefaultConfig()).Restore(now, cut)).NotTo(Succeed())
		}
	})

	It("lets a turn go when it is due, also after a takeover, and keeps its chain as long", func() {
		before := ledger.New(ledger.DefaultConfig())
		before.Keep(now, ledger.KeptTurn{ID: "a", Program: "p", Input: []byte("1"), Retain: time.Minute})
		before.Keep(now.Add(40*time.Second), ledger.KeptTurn{ID: "b", Program: "p", Previous: "a", Input: []byte("2"), Retain: time.Minute})
		before.Keep(now, ledger.KeptTurn{ID: "alone", Program: "p", Input: []byte("3"), Retain: time.Minute})
		one := ledger.New(ledger.DefaultConfig())
		taken := now.Add(50 * time.Second)
		for _, record := range before.Ready() {
			Expect(one.Restore(taken, record)).To(Succeed())
		}
		one.Restored()
		one.Tick(now.Add(80 * time.Second))
		Expect(one.Holds("alone")).To(BeFalse())
		Expect(one.HoldsChain("b")).To(BeTrue())
		one.Tick(now.Add(120 * time.Second))
		Expect(one.Holds("a")).To(BeFalse())
	})
})
