package edge

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
)

// Timeouts of the calls to owners.
const (
	// ownerLookupTimeout is how long a turn waits until its partition has an owner.
	ownerLookupTimeout = 900 * time.Millisecond
	// ownerCallTimeout bounds one call that is answered from memory.
	ownerCallTimeout = 400 * time.Millisecond
	// ownerRetryPause is the pause before the owner is looked up again.
	ownerRetryPause = 30 * time.Millisecond
	// settleTimeout bounds the attempts to report a settlement.
	settleTimeout = ledger.LateSettlementWindow
	// maxSettlePause is the longest pause between two attempts; the first is retrySoon.
	maxSettlePause = 500 * time.Millisecond
)

// errNoOwner means that no owner of the partition was found in time.
var errNoOwner = errors.New("the program's partition has no owner at present")

// grant is the owner's permission to run a turn.
type grant struct {
	epoch ownership.Epoch
	chain []byte
	// recorded yields nil once the turn's tokens are durably counted; recorded itself is
	// nil if there is nothing to wait for.
	recorded <-chan error
	// stalled is set if the log accepted no records of the partition when the turn was
	// admitted.
	stalled bool
}

// serveTurn serves a request whose answer is a stream of events.
func (n *Node) serveTurn(r *requestState, table *routing.Table) {
	ctx, cancel := context.WithDeadline(n.ctx, r.deadline)
	defer cancel()
	if since := n.isolatedSince.Load(); since != nil && r.needsOwner() {
		lasted := time.Since(*since)
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseIsolated, Lasted: lasted, EndsIn: retryElsewhere(lasted)},
			"this node reaches neither the store nor most of the zones")
		return
	}
	if !n.fixOrigin(ctx, r, table) {
		return
	}
	n.beginCharge(ctx, r)
	granted, admitted := n.admitTurn(ctx, r)
	if !admitted {
		return
	}
	if !n.endCharge(ctx, r) {
		if r.needsOwner() {
			n.settle(r)
		}
		return
	}
	if r.resumesStream() {
		// The program is under way, even if none of its turns has ended yet.
		r.admission.NewProgram = false
	}
	n.scheduling.turnBegan(time.Now(), r)
	if r.admission.NewProgram && n.overShare(r) {
		n.settle(r)
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseFull}, "the replicas are full, and the tenant has more than its share of them")
		return
	}
	if !n.awaitCapacity(ctx, r, len(granted.chain)) {
		n.settle(r)
		return
	}
	run := &turnRun{node: n, request: r, table: table, grant: granted}
	run.perform(ctx)
}

// needsOwner reports whether the turn involves the owner of its program's partition.
func (r *requestState) needsOwner() bool {
	return r.program != "" && (r.budget > 0 || r.route.Retain)
}

// admitTurn requests admission of the turn from the owner. If it returns false, the request
// has been answered.
func (n *Node) admitTurn(ctx context.Context, r *requestState) (grant, bool) {
	if !r.needsOwner() {
		return grant{}, true
	}
	previous := ""
	if r.route.Retain {
		previous = r.previousID()
	}
	admit := &coordinator.AdmitRequest{Turn: n.turnOf(r), Previous: previous, Begin: r.beginWithAdmission()}
	var granted grant
	granted.chain, admit.HasChain = n.chains.get(time.Now(), previous)
	n.unsettled.put(r.partition, claimOf(r))
	reply, err := n.requestAdmission(ctx, r, admit)
	if err == nil && reply.Status == coordinator.ReplyAbsent {
		chain, status := n.findChain(ctx, r)
		if status != coordinator.ReplyDone {
			n.unsettled.remove(r.partition, r.turnID())
			n.answerNoChain(r, status)
			return grant{}, false
		}
		granted.chain = chain
		admit.HasChain = true
		reply, err = n.requestAdmission(ctx, r, admit)
	}
	if err != nil {
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseNoOwner, Lasted: time.Since(r.exchange.Arrived)}, err.Error())
		return grant{}, false
	}
	if !admit.HasChain {
		granted.chain = reply.Chain
	}
	granted, admitted := n.applyAdmission(ctx, r, reply, granted)
	if !admitted {
		n.unsettled.remove(r.partition, r.turnID())
		return grant{}, false
	}
	n.unsettled.put(r.partition, claimOf(r))
	return granted, true
}

// requestAdmission requests admission from the owner. An owner whose reply was lost may
// have granted the turn, or may grant it once a takeover is over. It is therefore sent a
// settlement, so that the grant does not hold a part of the program's budget.
func (n *Node) requestAdmission(ctx context.Context, r *requestState, admit *coordinator.AdmitRequest) (coordinator.Reply, error) {
	reply, err := n.callOwner(ctx, r, r.partition, coordinator.Request{Admit: admit}, ownerLookupTimeout)
	if err != nil {
		n.settle(r)
	}
	return reply, err
}

// turnOf describes the turn to the ledger.
func (n *Node) turnOf(r *requestState) ledger.Turn {
	return ledger.Turn{
		ID: r.turnID(), Program: r.programID(), Unscoped: r.scope.Unscoped(r.program), Session: r.session,
		MaxTokens: r.maxTokens, Budget: r.budget, Timeout: max(0, r.timeLeft()), Retain: r.route.RetainFor, StoreOnSuccess: r.route.Retain,
		Resumes: r.resumedTurnID(), Received: r.receivedTokens, Node: string(n.self.ID), Process: n.self.Incarnation,
	}
}

// applyAdmission converts the owner's reply into a grant, or answers the request.
func (n *Node) applyAdmission(ctx context.Context, r *requestState, reply coordinator.Reply, granted grant) (grant, bool) {
	if reply.Status != coordinator.ReplyDone || reply.Admission == nil {
		n.answerUnadmitted(r, reply.Status)
		return grant{}, false
	}
	r.admission = *reply.Admission
	switch r.admission.Verdict {
	case ledger.VerdictExhausted:
		n.metrics.budgetExhausted(r.admission.Basis(r.maxTokens, r.budget))
		r.fail(fasthttp.StatusPaymentRequired, "the program's token budget is spent", 0)
		return grant{}, false
	case ledger.VerdictBusy:
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseBudgetHeld, EndsIn: r.admission.BusyFor}, "other turns of the program hold the rest of its budget")
		return grant{}, false
	}
	granted.epoch, granted.stalled = reply.Epoch, reply.Stalled
	r.preferred = replica.ID(r.admission.Replica)
	r.preferredCached = r.admission.CachedTokens
	if r.admission.Position > 0 {
		granted.recorded = n.awaitRecorded(ctx, r, reply.Epoch, r.admission.Position)
	}
	return granted, true
}

// answerUnadmitted answers a turn that the owner of its partition did not admit.
func (n *Node) answerUnadmitted(r *requestState, status coordinator.ReplyStatus) {
	switch status {
	case coordinator.ReplyFull:
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseStoreFull}, "the store is full and takes no record of the turn")
	case coordinator.ReplyStalled:
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseStoreUnavailable}, "the program's partition answered "+string(status))
	default:
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseNoOwner}, "the program's partition answered "+string(status))
	}
}

// answerNoChain answers a turn whose previous turn was not found. It answers "no such turn"
// only if the absence is certain.
func (n *Node) answerNoChain(r *requestState, status coordinator.ReplyStatus) {
	if status == coordinator.ReplyAbsent {
		r.fail(fasthttp.StatusNotFound, "no such previous turn", 0)
		return
	}
	n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseUnproven}, "whether the previous turn is kept is not certain at present")
}

// callOwner calls the owner of a partition, and looks the owner up again until the timeout.
func (n *Node) callOwner(ctx context.Context, r *requestState, partition int, request coordinator.Request, timeout time.Duration) (coordinator.Reply, error) {
	until := time.Now().Add(timeout)
	for {
		reply, err := n.callOwnerOnce(ctx, r, partition, request)
		if err == nil && reply.Status != coordinator.ReplyNotOwner {
			return reply, nil
		}
		if errors.Is(err, errOwnerOutsideZones) {
			return coordinator.Reply{}, err
		}
		if ctx.Err() != nil || r.exchange.Cancel.Cause() != nil || time.Now().Add(ownerRetryPause).After(until) {
			return coordinator.Reply{}, errNoOwner
		}
		wait.For(ctx, ownerRetryPause)
	}
}

// callOwnerOnce calls the node that owns the partition according to this node's view.
func (n *Node) callOwnerOnce(ctx context.Context, r *requestState, partition int, request coordinator.Request) (coordinator.Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout(request))
	defer cancel()
	owner, err := n.control.owner(callCtx, partition)
	if err != nil {
		return coordinator.Reply{}, err
	}
	if !n.mayCallOwner(r, owner, &request) {
		n.metrics.constraintRefused(constraintOwner)
		return coordinator.Reply{}, errOwnerOutsideZones
	}
	r.owner = string(owner.ID)
	if owner.ID == n.self.ID {
		return n.control.call(callCtx, partition, request)
	}
	reply, err := n.peers.call(callCtx, owner, partition, request)
	if err == nil && reply.Status == coordinator.ReplyNotOwner && (reply.Owner != nil || !request.ConcernsStream()) {
		n.reportNotOwner(owner.ID, partition, reply)
	}
	return reply, err
}

// reportNotOwner reports to the core that a node does not serve a partition, or which node
// does.
func (n *Node) reportNotOwner(called machine.ID, partition int, reply coordinator.Reply) {
	n.metrics.ownerMissed()
	entry := n.logger.Info().Int("partition", partition).Str("asked", string(called))
	if reply.Owner != nil && reply.Owner.Partition == partition {
		entry.Str("owner", string(reply.Owner.Node)).Uint64("epoch", uint64(reply.Owner.Epoch)).Msg("ledger: asked a former owner")
		n.control.post(coordinator.OwnerReported{Owner: *reply.Owner})
		return
	}
	entry.Msg("ledger: asked a node that is not the owner")
	n.control.post(coordinator.OwnershipDenied{Partition: partition, Node: called})
}

// callTimeout returns the timeout of a call. Calls that wait for the log get more time.
func callTimeout(request coordinator.Request) time.Duration {
	if request.Await != nil || request.Keep != nil {
		return peerRequestTimeout
	}
	if request.Find != nil {
		return 2 * ownerCallTimeout
	}
	return ownerCallTimeout
}

// findChain searches all partitions for the previous turn. The turn is certainly absent
// only if every owner has replied that it does not hold it, and has a complete view of the
// turns that it stores.
func (n *Node) findChain(ctx context.Context, r *requestState) ([]byte, coordinator.ReplyStatus) {
	find := &coordinator.FindRequest{Turn: r.previousID(), Unscoped: r.unscopedPreviousID()}
	answers := make(chan coordinator.Reply, n.settings.Partitions)
	for partition := range n.settings.Partitions {
		go func() {
			// Each search records the owner in a state of its own.
			search := &requestState{exchange: r.exchange}
			reply, err := n.callOwner(ctx, search, partition, coordinator.Request{Find: find}, ownerLookupTimeout)
			if err != nil {
				reply.Status = coordinator.ReplyLost
			}
			answers <- reply
		}()
	}
	status := coordinator.ReplyAbsent
	for range n.settings.Partitions {
		reply := <-answers
		if reply.Status == coordinator.ReplyDone {
			return reply.Chain, coordinator.ReplyDone
		}
		if !find.ProvesAbsent(&reply) {
			status = coordinator.ReplyLost
		}
	}
	return nil, status
}

// errNotCounted means that the turn's tokens could not be counted durably.
var errNotCounted = errors.New("the tokens of the turn could not be recorded")

// awaitRecorded returns a channel that yields nil once the position is durable. It waits
// concurrently with the run. If the owner fails meanwhile, the new owner counts the turn.
func (n *Node) awaitRecorded(ctx context.Context, r *requestState, epoch ownership.Epoch, position uint64) <-chan error {
	done := make(chan error, 1)
	turn, begin := n.turnOf(r), r.beginWithAdmission()
	partition := r.partition
	search := &requestState{exchange: r.exchange}
	go func() {
		for ctx.Err() == nil {
			await := &coordinator.AwaitRequest{Epoch: epoch, Position: position}
			reply, err := n.callWhileOwner(ctx, search, partition, coordinator.Request{Await: await})
			if err == nil && reply.Status == coordinator.ReplyDone {
				done <- nil
				return
			}
			wait.For(ctx, ownerRetryPause)
			admit := &coordinator.AdmitRequest{Turn: turn, Begin: begin}
			reply, err = n.callOwner(ctx, search, partition, coordinator.Request{Admit: admit}, ownerLookupTimeout)
			if err != nil || reply.Admission == nil {
				continue
			}
			if reply.Admission.Verdict != ledger.VerdictGranted {
				break
			}
			if reply.Admission.Position == 0 {
				done <- nil
				return
			}
			epoch, position = reply.Epoch, reply.Admission.Position
		}
		done <- errNotCounted
	}()
	return done
}

// settle reports the end of a turn to the owner, on a goroutine of its own.
func (n *Node) settle(r *requestState) {
	settlement := n.settlementOf(r)
	search := &requestState{exchange: r.exchange}
	partition := r.partition
	n.unsettled.end(time.Now(), partition, settlement)
	n.run(func(ctx context.Context) {
		settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		for pause := retrySoon; settleCtx.Err() == nil; pause = min(2*pause, maxSettlePause) {
			reply, err := n.callOwnerOnce(settleCtx, search, partition, coordinator.Request{Settle: settlement})
			if err == nil && reply.Status == coordinator.ReplyDone {
				return
			}
			wait.For(settleCtx, pause)
		}
	})
}

func (n *Node) settlementOf(r *requestState) *ledger.Settlement {
	settlement := &ledger.Settlement{Turn: r.turnID(), Program: r.programID(), Session: r.session, Grant: r.admission.Grant, Tokens: r.tokens}
	if r.status == fasthttp.StatusOK {
		settlement.Replica = string(r.choice.Entry.ID)
		if n.settings.uses(ReportCachedTokens) {
			settlement.CachedTokens = replica.Tokens(r.prompt) + r.tokens
		}
	}
	return settlement
}
