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
	// asideAfter is how long a whole turn waits to be kept in its program's partition
	// until others are asked as well: longer than an append takes while the store works,
	// and short against what callers have left.
	otherPartitionDelay = 500 * time.Millisecond
	// asidePatience bounds one question for that, and asideTries how many partitions are
	// asked: the store may be away from all, which each question costs a body.
	otherPartitionTimeout = 600 * time.Millisecond
	otherPartitionTries   = 3
	// stalledPause is the wait before an owner is asked again whose log took no records.
	stalledPause = 100 * time.Millisecond
	// ownerLook is the time between two looks whether the owner that is waited for is
	// still the one.
	ownerPollInterval = 200 * time.Millisecond
)

// errOwnerChanged says that another node owns the partition than the one that was asked.
var errOwnerChanged = errors.New("another node owns the partition by now")

// keep has the turn kept by the owner of the program's partition, whoever it is by now,
// or beside that by the owner of another one, if the log takes no records of the former.
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

// search is a state to ask owners with beside the handling of the request.
func (t *turnRun) searchState() *requestState {
	r := t.request
	return &requestState{exchange: r.exchange, route: r.route, constraint: r.constraint}
}

// keepAtHome has the owner of the program's partition keep the turn. The chain goes along
// only where the owner does not hold the previous turn.
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

// keepAside has the owners of other partitions keep the turn, one after the other, once it
// has waited for long. Whoever looks for a turn that its program's partition does not hold
// asks all partitions. What the program used is settled with its own owner.
func (t *turnRun) storeInOtherPartition(ctx context.Context, search *requestState, keepRequest coordinator.KeepRequest) (stored bool) {
	n, partitions := t.node, t.node.settings.Partitions
	if !n.settings.uses(KeepAside) || !wait.For(ctx, otherPartitionDelay) {
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

// asidePartition returns the partition that a try of keeping a turn aside asks: never the
// program's own one, and others for each turn.
func otherPartition(home int, turn string, try, partitions int) int {
	others := uint64(partitions - 1)
	step := (xxhash.Sum64String(turn) + uint64(try)) % others
	return (home + 1 + int(step)) % partitions
}

// askWithin is askOnce with an end of its own.
func (n *Node) callOwnerWithin(ctx context.Context, r *requestState, partition int, request coordinator.Request, timeout time.Duration) (coordinator.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.callOwnerOnce(ctx, r, partition, request)
}

// askWhileOwner is askOnce for questions that wait for the log. It ends once another node
// is known to own the partition: the one that was asked may be lost or cut off, and would
// be waited for in vain.
func (n *Node) callWhileOwner(ctx context.Context, r *requestState, partition int, request coordinator.Request) (coordinator.Reply, error) {
	if !n.settings.uses(FollowOwner) {
		return n.callOwnerOnce(ctx, r, partition, request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	asked, err := n.control.owner(ctx, partition)
	if err != nil {
		return coordinator.Reply{}, err
	}
	go n.watchOwner(ctx, partition, asked.ID, cancel)
	return n.callOwnerOnce(ctx, r, partition, request)
}

// watchOwner looks now and again who owns a partition until the context ends, and ends it
// once that is another node.
func (n *Node) watchOwner(ctx context.Context, partition int, asked machine.ID, end context.CancelCauseFunc) {
	for wait.For(ctx, ownerPollInterval) {
		owner, err := n.control.owner(ctx, partition)
		if err == nil && owner.ID != asked {
			end(errOwnerChanged)
			return
		}
	}
}
