package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/recordstore"
)

// A follower reads nothing of the store that tells it whether it still reaches it. It
// waits at the partition with its own record instead, where hardly anything is written:
// an answer, or the end of the connection, tells.
const (
	// heirWait is how long a node waits there that may have to take a partition over, and
	// watchWait how long the others do.
	ownerWatchWait = 700 * time.Millisecond
	watchWait      = 8 * time.Second
	// watchPause is the least time between two such reads of the others.
	watchPause = time.Second
	// relayTrust is how long after the last answer of a reader a read that still waits
	// counts as contact with the store: a node that is cut off from all hears neither.
	relayTrustPeriod = 2 * time.Second
)

// watchNeighbours follows the partition with this node's record for a while, and notes
// whether the store is reached. Nodes that read other streams learn that from these.
func (n *Node) watchNeighbours(ctx context.Context, near *neighbours, span time.Duration) {
	until := time.Now().Add(span)
	stream := recordstore.Stream{Name: recordstore.StreamNodes, Partition: n.nodePartition()}
	backoff := n.backoffOf(appendMinimumBackoff, joinMaximumBackoff)
	for ctx.Err() == nil && time.Now().Before(until) {
		if n.role() != roleFollower || !near.read {
			wait.For(ctx, roleCheckInterval)
			continue
		}
		tail, err := n.watchTail(ctx, stream, near.next)
		switch {
		case errors.Is(err, context.Canceled):
			// The node's role has changed, and with it how long it waits.
		case errors.Is(err, recordstore.ErrGap):
			near.read = false
			return
		case err != nil:
			wait.For(ctx, backoff.Next())
		default:
			backoff.Reset()
			n.applyNeighbours(near, tail)
			wait.For(ctx, n.watchPause())
		}
	}
}

// watchTail waits for a record of the partition.
func (n *Node) watchTail(ctx context.Context, stream recordstore.Stream, next uint64) (recordstore.Tail, error) {
	timeout := watchWait
	if n.mayOwnPartition() {
		timeout = ownerWatchWait
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout+tailSlack)
	defer cancel()
	n.cancelWatch.Store(&cancel)
	n.store.setPending(time.Now().Add(timeout + tailSlack))
	tail, err := n.tailUntil(callCtx, stream, next, timeout, nil)
	n.cancelWatch.Store(nil)
	if errors.Is(err, context.Canceled) {
		return tail, err
	}
	if err != nil {
		n.store.setPending(time.Time{})
	}
	n.recordStoreCall(err)
	return tail, err
}

// tailUntil reads a stream's tail until the context ends, or the store is regained, though
// the store's client may wait for its answer longer. A nil channel is never regained.
func (n *Node) tailUntil(ctx context.Context, stream recordstore.Stream, next uint64, timeout time.Duration,
	regained <-chan struct{}) (recordstore.Tail, error) {
	type result struct {
		tail recordstore.Tail
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		tail, err := n.adapter.Store.Tail(ctx, stream, next, timeout)
		answered <- result{tail: tail, err: err}
	}()
	select {
	case read := <-answered:
		return read.tail, read.err
	case <-regained:
		return recordstore.Tail{}, errStoreRegained
	case <-ctx.Done():
		return recordstore.Tail{}, ctx.Err()
	}
}

// takeNeighbours takes the records over that were written to the partition.
func (n *Node) applyNeighbours(near *neighbours, tail recordstore.Tail) {
	near.next = tail.Next
	if nodes := n.decodeNodes(tail.Records); len(nodes) > 0 {
		near.update(nodes)
		n.control.post(coordinator.NodesDiscovered{Nodes: nodes})
	}
}

func (n *Node) watchPause() time.Duration {
	if n.mayOwnPartition() {
		return configurationPause
	}
	return watchPause
}

// heir reports whether this node may have to take a partition over.
func (n *Node) mayOwnPartition() bool {
	roles := n.roles.Load()
	return roles != nil && roles.MayOwnPartition
}

// reachesStore reports whether the store answered lately, or a read of it still waits
// on a node that hears others.
func (n *Node) reachesStore() bool {
	now := time.Now()
	if n.store.reached(now) {
		return true
	}
	sinceReader := now.Sub(n.started) - time.Duration(n.readerAnsweredAt.Load())
	return n.store.pending(now) && sinceReader < relayTrustPeriod
}
