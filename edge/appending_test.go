package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/recordstore"
)

// lateStore answers only the first append, once there is a second one.
type lateStore struct {
	recordstore.Store
	calls  atomic.Int32
	second chan struct{}
}

func (s *lateStore) Append(ctx context.Context, _ recordstore.Stream, _ recordstore.Writer, _ []recordstore.Record) error {
	if s.calls.Add(1) == 1 {
		select {
		case <-s.second:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if s.calls.Load() == 2 {
		close(s.second)
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestLateAppend checks that the answer to an append counts even if it arrives after the
// append was sent again.
func TestLateAppend(t *testing.T) {
	g := NewWithT(t)
	appendTo := func(settings Settings, attempts int) error {
		store := &lateStore{second: make(chan struct{})}
		node, err := New(settings, Adapter{Store: store}, quietLogger)
		g.Expect(err).NotTo(HaveOccurred())
		defer node.Kill()
		return node.appendRecords(node.ctx, 0, 7, 1, []ledger.Record{{Key: "k", Value: []byte("v")}}, attempts)
	}
	g.Expect(appendTo(Settings{Node: "n", Zone: "z", Partitions: 1}, 3)).To(Succeed())
	g.Expect(appendTo(without(AwaitLateAppends), 3)).NotTo(Succeed())
}

// TestAppendWaitsOnAfterOutage checks that an append that was sent while the store was
// unresponsive is sent again as soon as the store has answered any other call.
func TestAppendWaitsOnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node := keyNode(g, Settings{}, false)
		defer node.Kill()
		store := &countingStore{}
		node.adapter.Store = store
		node.run(func(ctx context.Context) {
			_ = node.appendRecords(ctx, 0, 7, 1, []ledger.Record{{Key: "k", Value: []byte("v")}}, 0)
		})
		time.Sleep(10 * appendTimeout)
		sent := store.appends.Load()
		node.recordStoreCall(nil)
		synctest.Wait()
		g.Expect(store.appends.Load()).To(Equal(sent+1), "no time has passed")
		node.recordStoreCall(nil)
		synctest.Wait()
		g.Expect(store.appends.Load()).To(Equal(sent+1), "the store was not lost between")
	})
}

// countingStore counts appends and answers none.
type countingStore struct {
	recordstore.Store
	appends atomic.Int32
}

func (s *countingStore) Append(ctx context.Context, _ recordstore.Stream, _ recordstore.Writer, _ []recordstore.Record) error {
	s.appends.Add(1)
	<-ctx.Done()
	return ctx.Err()
}
