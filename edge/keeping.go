package edge

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
)

const (
	// otherPartitionDelay is how long a complete turn waits to be stored in its program's
	// partition before other partitions are tried. It is longer than an append takes while
	// the store works, and short compared with the time that callers have left.
	otherPartitionDelay = 500 * time.Millisecond
	// otherPartitionTimeout bounds one such call, and otherPartitionTries the number of
	// partitions: if the store is unavailable to all of them, each call transfers the body
	// in vain.
	otherPartitionTimeout = 600 * time.Millisecond
	otherPartitionTries   = 3
	// stalledPause is the pause before another call to an owner whose log accepted no
	// records.
	stalledPause = 100 * time.Millisecond
	// ownerPollInterval is the time between two checks whether the node that was called
	// still owns the partition.
	ownerPollInterval = 200 * time.Millisecond
)

// errOwnerChanged means that the partition now belongs to another node than the one that
// was called.
var errOwnerChanged = errors.New("another node now owns the partition")

// store has the turn stored by the current owner of the program's partition. If that takes
// long, it also tries the owners of other partitions, in case the log of the program's own
// partition accepts no records.
func (t *turnRun) store(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settlement := *t.node.settlementOf(t.request)
	atOwner, atOther := make(chan bool, 1), make(chan bool, 1)
	keepRequest := coordinator.KeepRequest{Turn: t.storedTurn(), Settlement: settlement, RefuseWhenStalled: t.holdsOutput()}
	go func() { atOwner <- t.storeAtOwner(ctx, t.searchState(), keepRequest) }()
	go func() { atOther <- t.storeInOtherPartition(ctx, t.searchState(), keepRequest) }()
	var stored bool
	select {
	case stored = <-atOwner:
		t.stored = stored
	case stored = <-atOther:
		if !stored {
			stored = <-atOwner
			t.stored = stored
		}
	}
	if !stored {
		return &notStoredError{}
	}
	t.node.cacheChain(t.request, t.chain())
	return nil
}

// searchState returns a separate state for calls to owners, which may run concurrently.
func (t *turnRun) searchState() *requestState {
	r := t.request
	return &requestState{exchange: r.exchange, route: r.route, constraint: r.constraint}
}

// storeAtOwner has the owner of the program's partition store the turn. The chain is sent
// only if the owner does not hold the previous turn.
func (t *turnRun) storeAtOwner(ctx context.Context, search *requestState, keepRequest coordinator.KeepRequest) (stored bool) {
	for ctx.Err() == nil && search.exchange.Cancel.Cause() == nil {
		reply, err := t.node.callWhileOwner(ctx, search, t.request.partition, coordinator.Request{Keep: &keepRequest})
		switch {
		case err == nil && reply.Status == coordinator.ReplyDone:
			return true
		case err == nil && reply.Status == coordinator.ReplyAbsent:
			keepRequest.Turn.Base, keepRequest.HasBase = t.grant.chain, true
		case err == nil && reply.Status == coordinator.ReplyStalled:
			wait.For(ctx, stalledPause)
		default:
			wait.For(ctx, ownerRetryPause)
		}
	}
	return false
}

// storeInOtherPartition has the owners of other partitions store the turn, one after the
// other, once storing it has taken otherPartitionDelay. A node that does not find a turn in
// its program's partition searches all partitions. The tokens that the program
// used are settled with its own owner.
func (t *turnRun) storeInOtherPartition(ctx context.Context, search *requestState, keepRequest coordinator.KeepRequest) (stored bool) {
	n, partitions := t.node, t.node.settings.Partitions
	if !n.settings.uses(StoreInOtherPartition) || !wait.For(ctx, otherPartitionDelay) {
		return false
	}
	keepRequest.Turn.Base, keepRequest.HasBase, keepRequest.RefuseWhenStalled = t.grant.chain, true, true
	for try := range min(otherPartitionTries, partitions-1) {
		if ctx.Err() != nil || search.exchange.Cancel.Cause() != nil || !n.reachesStore() {
			return false
		}
		partition := otherPartition(t.request.partition, keepRequest.Turn.ID, try, partitions)
		reply, err := n.callOwnerWithin(ctx, search, partition, coordinator.Request{Keep: &keepRequest}, otherPartitionTimeout)
		if err == nil && reply.Status == coordinator.ReplyDone {
			n.metrics.storedInOtherPartition()
			n.logger.Info().Str("request", t.request.id).Int("partition", t.request.partition).Int("kept", partition).
				Msg("ledger: turn kept in another partition")
			return true
		}
	}
	return false
}

// otherPartition returns the partition for one try: never the program's own, and different
// ones for each turn.
func otherPartition(own int, turn string, try, partitions int) int {
	others := uint64(partitions - 1)
	step := (xxhash.Sum64String(turn) + uint64(try)) % others
	return (own + 1 + int(step)) % partitions
}

// callOwnerWithin is callOwnerOnce with a timeout.
func (n *Node) callOwnerWithin(ctx context.Context, r *requestState, partition int, request coordinator.Request, timeout time.Duration) (coordinator.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.callOwnerOnce(ctx, r, partition, request)
}

// callWhileOwner is callOwnerOnce for calls that wait for the log. It ends once another
// node is known to own the partition: the one that was called may have failed or be
// partitioned off, and would not answer.
func (n *Node) callWhileOwner(ctx context.Context, r *requestState, partition int, request coordinator.Request) (coordinator.Reply, error) {
	if !n.settings.uses(FollowOwner) {
		return n.callOwnerOnce(ctx, r, partition, request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	called, err := n.control.owner(ctx, partition)
	if err != nil {
		return coordinator.Reply{}, err
	}
	go n.watchOwner(ctx, partition, called.ID, cancel)
	return n.callOwnerOnce(ctx, r, partition, request)
}

// watchOwner polls the owner of a partition, and ends the context once that is another
// node.
func (n *Node) watchOwner(ctx context.Context, partition int, called machine.ID, cancel context.CancelCauseFunc) {
	for wait.For(ctx, ownerPollInterval) {
		owner, err := n.control.owner(ctx, partition)
		if err == nil && owner.ID != called {
			cancel(errOwnerChanged)
			return
		}
	}
}
