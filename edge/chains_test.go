package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestChains checks that chains are cached for a limited time and within the size limit.
func TestChains(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cached := newChains(true)
	cached.put(start, "a", []byte("chain"))
	chain, found := cached.get(start.Add(chainsFor), "a")
	g.Expect(found).To(BeTrue())
	g.Expect(string(chain)).To(Equal("chain"))
	_, found = cached.get(start.Add(chainsFor+1), "a")
	g.Expect(found).To(BeFalse())
	_, found = cached.get(start, "")
	g.Expect(found).To(BeFalse())

	for index := range 100 {
		cached.put(start, fmt.Sprint(index), make([]byte, chainsBytes/10))
	}
	g.Expect(cached.bytes).To(BeNumerically("<=", chainsBytes))
	g.Expect(cached.byID).To(HaveLen(len(cached.order)))
	_, found = cached.get(start, "99")
	g.Expect(found).To(BeTrue())
	_, found = cached.get(start, "0")
	g.Expect(found).To(BeFalse())
	cached.put(start.Add(2*chainsFor), "late", []byte("x"))
	g.Expect(cached.byID).To(HaveLen(1))
	cached.put(start, "large", make([]byte, chainsBytes+1))
	_, found = cached.get(start, "large")
	g.Expect(found).To(BeFalse())
}

// TestChainsSwitchedOff checks that nothing is cached if the mechanism is switched off.
func TestChainsSwitchedOff(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cached := newChains(false)
	cached.put(start, "a", []byte("chain"))
	_, found := cached.get(start, "a")
	g.Expect(found).To(BeFalse())
}
