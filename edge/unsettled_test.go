package edge

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// TestClaimsOfUnsettledTurns checks that a node claims a turn from its admission on, with
// its tokens once it has ended, and only in the turn's partition.
func TestClaimsOfUnsettledTurns(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	unsettled := newUnsettledTurns()
	unsettled.put(3, ledger.Claim{Turn: "a", Program: "p"})
	unsettled.put(3, ledger.Claim{Turn: "a", Program: "p", Grant: 7})
	unsettled.put(4, ledger.Claim{Turn: "b", Program: "q"})
	g.Expect(unsettled.claims(now, 3)).To(ConsistOf(ledger.Claim{Turn: "a", Program: "p", Grant: 7}))
	unsettled.end(now, 3, &ledger.Settlement{Turn: "a", Program: "p", Grant: 7, Tokens: 40})
	unsettled.remove(4, "b")
	unsettled.remove(5, "a")
	g.Expect(unsettled.claims(now, 3)).To(ConsistOf(ledger.Claim{Turn: "a", Program: "p", Grant: 7, Ended: true, Tokens: 40}))
	g.Expect(unsettled.claims(now.Add(endedTurnLifetime+time.Second), 3)).To(BeEmpty())
	g.Expect(unsettled.claims(now, 4)).To(BeEmpty())
}

// TestEndedTurnsAreBounded checks that a partition's ended turns take a bounded space.
func TestEndedTurnsAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	unsettled := newUnsettledTurns()
	for number := range 2 * maxEndedTurns {
		unsettled.end(now, 3, &ledger.Settlement{Turn: strconv.Itoa(number)})
	}
	g.Expect(unsettled.claims(now, 3)).To(HaveLen(maxEndedTurns))
}
