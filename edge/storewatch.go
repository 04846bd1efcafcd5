package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/recordstore"
)

// A follower of a large fleet has no other reads of the store that would show whether the
// store can be reached. It therefore long-polls the partition with its own record, to which
// little is written: an answer, or the end of the connection, shows it.
const (
	// ownerWatchWait is the long-poll time of a node that may have to take a partition
	// over, and watchWait that of the others.
	ownerWatchWait = 700 * time.Millisecond
	watchWait      = 8 * time.Second
	// watchPause is the minimum time between two such reads of the other nodes.
	watchPause = time.Second
	// relayTrustPeriod is how long after a reader's last answer a waiting read still counts
	// as contact with the store: a completely isolated node gets an answer from neither.
	relayTrustPeriod = 2 * time.Second
)

// watchNeighbours follows the partition with this node's record for a while, to check that
// the store can be reached. Nodes that read other streams need no such check.
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
			// The node's role has changed, and with it the long-poll time.
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

// tailUntil reads the tail of a stream until the context ends or the store answers again
// after an outage, even if the store's client waits longer. A nil regained channel disables
// the latter.
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

// applyNeighbours applies new records of the partition.
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

// mayOwnPartition reports whether this node may have to take a partition over.
func (n *Node) mayOwnPartition() bool {
	roles := n.roles.Load()
	return roles != nil && roles.MayOwnPartition
}

// reachesStore reports whether the store answered recently, or a read of it is still
// waiting and a reader answered recently.
func (n *Node) reachesStore() bool {
	now := time.Now()
	if n.store.reached(now) {
		return true
	}
	sinceReader := now.Sub(n.started) - time.Duration(n.readerAnsweredAt.Load())
	return n.store.pending(now) && sinceReader < relayTrustPeriod
}
