package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestChains keeps chains for a while, and within bounds.
func TestChains(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	kept := newChains(true)
	kept.put(start, "a", []byte("chain"))
	chain, found := kept.get(start.Add(chainsFor), "a")
	g.Expect(found).To(BeTrue())
	g.Expect(string(chain)).To(Equal("chain"))
	_, found = kept.get(start.Add(chainsFor+1), "a")
	g.Expect(found).To(BeFalse())
	_, found = kept.get(start, "")
	g.Expect(found).To(BeFalse())

	for index := range 100 {
		kept.put(start, fmt.Sprint(index), make([]byte, chainsBytes/10))
	}
	g.Expect(kept.bytes).To(BeNumerically("<=", chainsBytes))
	g.Expect(kept.byID).To(HaveLen(len(kept.order)))
	_, found = kept.get(start, "99")
	g.Expect(found).To(BeTrue())
	_, found = kept.get(start, "0")
	g.Expect(found).To(BeFalse())
	kept.put(start.Add(2*chainsFor), "late", []byte("x"))
	g.Expect(kept.byID).To(HaveLen(1))
	kept.put(start, "large", make([]byte, chainsBytes+1))
	_, found = kept.get(start, "large")
	g.Expect(found).To(BeFalse())
}

// TestChainsSwitchedOff keeps nothing where the mechanism is switched off.
func TestChainsSwitchedOff(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	kept := newChains(false)
	kept.put(start, "a", []byte("chain"))
	_, found := kept.get(start, "a")
	g.Expect(found).To(BeFalse())
}
