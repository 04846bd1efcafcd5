package edge

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// TestPagesWithAccountsDoNotWait checks that pages with accounts do not wait for other
// takeovers' pages of stored turns.
func TestPagesWithAccountsDoNotWait(t *testing.T) {
	g := NewWithT(t)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	slots := newTakeovers()
	acquire := func(accounts bool) func() {
		release, err := slots.acquireSlot(context.Background(), accounts)
		g.Expect(err).NotTo(HaveOccurred())
		return release
	}
	var releases []func()
	for range takeoverPages {
		releases = append(releases, acquire(false))
	}
	for range takeoverAccountPages {
		releases = append(releases, acquire(true))
	}
	for _, accounts := range []bool{false, true} {
		_, err := slots.acquireSlot(over, accounts)
		g.Expect(err).To(MatchError(context.Canceled), "all places are taken")
	}
	for _, release := range releases {
		release()
	}
	for range takeoverPages {
		acquire(false)
	}
	_, err := slots.acquireSlot(over, false)
	g.Expect(err).To(MatchError(context.Canceled), "kept turns have the places that are theirs")
}
