package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
)

// TestSpreadRetries checks that callers that are refused at the same moment get different
// retry delays, or equal ones if the mechanism is switched off.
func TestSpreadRetries(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(SpreadRetries)} {
		node := &Node{settings: settings, random: rand.New(rand.NewPCG(7, 8))}
		delays := map[time.Duration]bool{}
		for range 10 {
			delays[node.chooseRetryAfter(&dispatch.Refusal{Cause: dispatch.CauseStoreUnavailable, Left: time.Minute})] = true
		}
		g.Expect(len(delays)).To(Equal(map[bool]int{true: 10, false: 1}[settings.uses(SpreadRetries)]))
	}
}
