package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/recordstore"
)

// silentStore answers no read of a tail, whatever becomes of the caller.
type silentStore struct {
	recordstore.Store
	asked chan time.Duration
	over  chan struct{}
}

func (s *silentStore) Tail(_ context.Context, _ recordstore.Stream, _ uint64, wait time.Duration) (recordstore.Tail, error) {
	s.asked <- wait
	<-s.over
	return recordstore.Tail{}, nil
}

// TestNewHeirLooksAtOnce has a node that may have to take a partition over from now on end
// the long read by which it trusted in the store, and look again for a short time.
func TestNewHeirLooksAtOnce(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	store := &silentStore{asked: make(chan time.Duration, 2), over: make(chan struct{})}
	defer close(store.over)
	node.adapter.Store = store
	ended := make(chan error, 1)
	look := func() {
		_, err := node.watchTail(node.ctx, recordstore.Stream{Name: recordstore.StreamNodes}, 0)
		ended <- err
	}
	go look()
	g.Expect(<-store.asked).To(Equal(watchWait))
	node.control.setRoles(coordinator.Roles{MayOwnPartition: true})
	g.Expect(<-ended).To(MatchError(context.Canceled))
	go look()
	g.Expect(<-store.asked).To(Equal(ownerWatchWait))
}
