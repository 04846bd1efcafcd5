package edge

import (
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// TestClaimsOfUnsettledTurns checks that a node claims a turn from its admission to its
// settlement, and only in the turn's partition.
func TestClaimsOfUnsettledTurns(t *testing.T) {
	g := NewWithT(t)
	unsettled := newUnsettledTurns()
	unsettled.put(3, ledger.Claim{Turn: "a", Program: "p"})
	unsettled.put(3, ledger.Claim{Turn: "a", Program: "p", Grant: 7})
	unsettled.put(4, ledger.Claim{Turn: "b", Program: "q"})
	g.Expect(unsettled.claims(3)).To(ConsistOf(ledger.Claim{Turn: "a", Program: "p", Grant: 7}))
	unsettled.remove(3, "a")
	unsettled.remove(5, "a")
	g.Expect(unsettled.claims(3)).To(BeEmpty())
	g.Expect(unsettled.claims(4)).To(HaveLen(1))
}
