package edge

import (
	"context"
	"sync"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/replica"
)

const (
	// waitingRequests bounds the requests that wait here for room: more than a node is
	// given places for in the longest wait.
	waitingRequests = 256
	// waitingShare is the part of the node's memory that they may take, and
	// waitingBytes what they may where that has no bound.
	waitingShare = 1. / 32
	waitingBytes = 16 << 20
	// waitingOverhead is what a request that waits holds beside its body and its chain.
	waitingOverhead = 16 << 10
	// waitingStep is how often room is looked for while requests wait: a small part of
	// a turn, and one request goes on in each.
	waitingStep = 5 * time.Millisecond
)

// waiting holds the requests that wait at this node for room. It is safe for concurrent
// use.
type waiting struct {
	mutex sync.Mutex
	queue *dispatch.Queue
	// held are the requests of the queue.
	held map[uint64]*waitingRequest
	next uint64
	// pumped says that room is looked for.
	pumped bool
}

// waitingRequest is a request with where its verdict goes.
type waitingRequest struct {
	request *requestState
	verdict chan dispatch.Verdict
}

func newWaiting(settings *Settings) *waiting {
	limits := dispatch.QueueLimits{Requests: waitingRequests, Bytes: waitingBytes}
	if settings.MemoryBytes > 0 {
		limits.Bytes = int(float64(settings.MemoryBytes) * waitingShare)
	}
	return &waiting{queue: dispatch.NewQueue(limits), held: make(map[uint64]*waitingRequest)}
}

// awaitRoom has a turn of an engine wait until there is room for it. If it returns false,
// the request was answered: it has not run.
func (n *Node) awaitRoom(ctx context.Context, r *requestState, held int) bool {
	if !n.settings.uses(WaitForRoom) {
		if r.admission.NewProgram && n.overloaded(r) {
			n.turnAway(r, dispatch.Refusal{Cause: dispatch.CauseFull}, reasonFull)
			return false
		}
		return true
	}
	if !r.admission.NewProgram || !n.settings.uses(RefuseWhenFull) {
		return true
	}
	now := time.Now()
	one := &dispatch.Waiting{
		Priority: r.priority(), SchedulingState: *r.standing(now), Since: now, Bytes: waitingOverhead + len(r.exchange.Body) + held,
	}
	if r.tenant != nil {
		one.Tenant = r.tenant.Name
	}
	admission, verdict := n.joinWaiting(now, r, one)
	if verdict != nil {
		admission.Verdict = n.awaitVerdict(ctx, one.ID, verdict)
	}
	r.waited = time.Since(now)
	return n.noteVerdict(r, &admission)
}

// reasonFull tells callers why their program does not begin.
const reasonFull = "the replicas are full, and programs under way go first"

// joinWaiting decides on a turn, and has it wait if that is the verdict; what comes of it
// is sent to the returned channel, which is nil otherwise.
func (n *Node) joinWaiting(now time.Time, r *requestState, one *dispatch.Waiting) (dispatch.Admission, chan dispatch.Verdict) {
	room := n.replicas.room(n.choiceOf(r))
	room.CompletionRate = n.returns.pace(now)
	w := n.waiting
	w.mutex.Lock()
	defer w.mutex.Unlock()
	room.Ahead = w.queue.Ahead(now, one)
	admission := dispatch.Admit(&room, &one.SchedulingState, max(r.deadline.Sub(now), 0))
	if admission.Verdict != dispatch.VerdictWait {
		return admission, nil
	}
	w.next++
	one.ID, one.Until = w.next, now.Add(admission.Bound)
	verdict := make(chan dispatch.Verdict, 1)
	w.held[one.ID] = &waitingRequest{request: r, verdict: verdict}
	for _, displaced := range w.queue.Join(now, one) {
		w.tell(displaced.ID, dispatch.VerdictRefuse)
	}
	if !w.pumped {
		w.pumped = true
		n.run(n.pumpWaiting)
	}
	return admission, verdict
}

// tell ends the wait of a request that has left the queue. The mutex is held.
func (w *waiting) tell(id uint64, verdict dispatch.Verdict) {
	if one := w.held[id]; one != nil {
		delete(w.held, id)
		one.verdict <- verdict
	}
}

// awaitVerdict waits for what comes of a request that waits.
func (n *Node) awaitVerdict(ctx context.Context, id uint64, verdict chan dispatch.Verdict) dispatch.Verdict {
	select {
	case told := <-verdict:
		return told
	case <-ctx.Done():
		w := n.waiting
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.queue.Leave(id)
		delete(w.held, id)
		return dispatch.VerdictRefuse
	}
}

// pumpWaiting lets requests go on as room comes, until none waits.
func (n *Node) pumpWaiting(ctx context.Context) {
	for wait.For(ctx, waitingStep) {
		if !n.stepWaiting(time.Now()) {
			return
		}
	}
}

// stepWaiting ends the waits that are over, and lets the first request go on if there is
// room. It reports whether any request still waits.
func (n *Node) stepWaiting(now time.Time) bool {
	w := n.waiting
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, one := range w.held {
		if one.request.exchange.Cancel.Cause() != nil {
			w.queue.Leave(id)
			w.tell(id, dispatch.VerdictRefuse)
		}
	}
	for _, over := range w.queue.Expire(now) {
		w.tell(over.ID, dispatch.AfterWait(n.roomOf(over.ID)))
	}
	if first := w.queue.First(now); first != nil && n.roomOf(first.ID).AcceptsNew() {
		w.queue.Leave(first.ID)
		w.tell(first.ID, dispatch.VerdictRun)
	}
	n.metrics.waiting(w.queue.Len(), w.queue.Oldest(now))
	w.pumped = w.queue.Len() > 0
	return w.pumped
}

// roomOf returns the room for a request that waits.
func (n *Node) roomOf(id uint64) *dispatch.Utilisation {
	room := n.replicas.room(n.choiceOf(n.waiting.held[id].request))
	return &room
}

// noteVerdict writes the verdict, and answers a turn that does not run.
func (n *Node) noteVerdict(r *requestState, admission *dispatch.Admission) bool {
	n.metrics.admitted(admission.Verdict.String(), r.waited)
	if admission.Verdict == dispatch.VerdictRun && admission.Bound == 0 {
		return true
	}
	n.logger.Info().Str("request", r.id).Str("verdict", admission.Verdict.String()).Dur("waited", r.waited).
		Dur("expected", admission.Expected).Dur("bound", admission.Bound).Str("tier", r.standing(time.Now()).Tier().String()).
		Msg("waiting: decided")
	switch {
	case admission.Verdict == dispatch.VerdictRun:
		return true
	case r.exchange.Cancel.Cause() != nil:
		r.giveUp("the client has left while its turn waited")
	default:
		n.turnAway(r, dispatch.Refusal{Cause: dispatch.CauseFull, EndsIn: max(admission.Expected-r.waited, 0)}, reasonFull)
	}
	return false
}

// room returns how full the replicas are for a request.
func (r *replicas) room(request *replica.Request) dispatch.Utilisation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Utilisation(time.Now(), request)
}
