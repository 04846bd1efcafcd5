package edge

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// TestPagesWithAccountsDoNotWait for the pages of kept turns that other takeovers read.
func TestPagesWithAccountsDoNotWait(t *testing.T) {
	g := NewWithT(t)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	places := newTakeovers()
	take := func(accounts bool) func() {
		free, err := places.acquireSlot(context.Background(), accounts)
		g.Expect(err).NotTo(HaveOccurred())
		return free
	}
	var taken []func()
	for range takeoverPages {
		taken = append(taken, take(false))
	}
	for range takeoverAccountPages {
		taken = append(taken, take(true))
	}
	for _, accounts := range []bool{false, true} {
		_, err := places.acquireSlot(over, accounts)
		g.Expect(err).To(MatchError(context.Canceled), "all places are taken")
	}
	for _, free := range taken {
		free()
	}
	for range takeoverPages {
		take(false)
	}
	_, err := places.acquireSlot(over, false)
	g.Expect(err).To(MatchError(context.Canceled), "kept turns have the places that are theirs")
}
