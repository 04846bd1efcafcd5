package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/recordstore"
)

// silentStore answers no read of a tail, even if the caller's context ends.
type silentStore struct {
	recordstore.Store
	waits chan time.Duration
	done  chan struct{}
}

func (s *silentStore) Tail(_ context.Context, _ recordstore.Stream, _ uint64, wait time.Duration) (recordstore.Tail, error) {
	s.waits <- wait
	<-s.done
	return recordstore.Tail{}, nil
}

// TestNewStandbyReadsAtOnce checks that a node that newly may have to take a partition over
// cancels its long read, during which the store counts as reached, and reads again with a
// short long-poll time.
func TestNewStandbyReadsAtOnce(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	store := &silentStore{waits: make(chan time.Duration, 2), done: make(chan struct{})}
	defer close(store.done)
	node.adapter.Store = store
	ended := make(chan error, 1)
	watch := func() {
		_, err := node.watchTail(node.ctx, recordstore.Stream{Name: recordstore.StreamNodes}, 0)
		ended <- err
	}
	go watch()
	g.Expect(<-store.waits).To(Equal(watchWait))
	node.control.setRoles(coordinator.Roles{MayOwnPartition: true})
	g.Expect(<-ended).To(MatchError(context.Canceled))
	go watch()
	g.Expect(<-store.waits).To(Equal(ownerWatchWait))
}
