package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestComeBackElsewhere checks that refused clients retry once new connections lead to
// other nodes, and not later.
func TestComeBackElsewhere(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retryElsewhere(0)).To(Equal(retryAfterOutage))
	g.Expect(retryElsewhere(diversionDelay - 500*time.Millisecond)).To(Equal(500 * time.Millisecond))
	g.Expect(retryElsewhere(time.Minute)).To(Equal(retrySoon))
}

// TestIsolatedNodeIsNotReady checks that a node is not ready while it is isolated.
func TestIsolatedNodeIsNotReady(t *testing.T) {
	g := NewWithT(t)
	node := datagramNode(g)
	defer node.Kill()
	now := time.Now()
	node.setIsolated(now, true)
	g.Expect(node.isolatedSince.Load()).NotTo(BeNil())
	g.Expect(node.ready()).To(BeFalse())
	node.setIsolated(now.Add(time.Second), true)
	g.Expect(*node.isolatedSince.Load()).To(Equal(now), "counts from when it began")
	node.setIsolated(now.Add(2*time.Second), false)
	g.Expect(node.isolatedSince.Load()).To(BeNil())
}
