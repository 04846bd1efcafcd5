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
	queueMaximumRequests = 256
	// waitingShare is the part of the node's memory that they may take, and
	// waitingBytes what they may where that has no bound.
	queueMemoryShare  = 1. / 32
	queueDefaultBytes = 16 << 20
	// waitingOverhead is what a request that waits holds beside its body and its chain.
	queuedRequestOverhead = 16 << 10
	// waitingStep is how often room is looked for while requests wait: a small part of
	// a turn, and one request goes on in each.
	queuePollInterval = 5 * time.Millisecond
)

// waiting holds the requests that wait at this node for room. It is safe for concurrent
// use.
type waitQueue struct {
	mutex sync.Mutex
	queue *dispatch.Queue
	// held are the requests of the queue.
	requests map[uint64]*queuedRequest
	lastID   uint64
	// pumped says that room is looked for.
	polling bool
}

// waitingRequest is a request with where its verdict goes.
type queuedRequest struct {
	request *requestState
	verdict chan dispatch.Verdict
}

func newWaitQueue(settings *Settings) *waitQueue {
	limits := dispatch.QueueLimits{Requests: queueMaximumRequests, Bytes: queueDefaultBytes}
	if settings.MemoryBytes > 0 {
		limits.Bytes = int(float64(settings.MemoryBytes) * queueMemoryShare)
	}
	return &waitQueue{queue: dispatch.NewQueue(limits), requests: make(map[uint64]*queuedRequest)}
}

// awaitRoom has a turn of an engine wait until there is room for it. If it returns false,
// the request was answered: it has not run.
func (n *Node) awaitCapacity(ctx context.Context, r *requestState, chainBytes int) bool {
	if !n.settings.uses(QueueNewPrograms) {
		if r.admission.NewProgram && n.overloaded(r) {
			n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseFull}, reasonFull)
			return false
		}
		return true
	}
	if !r.admission.NewProgram || !n.settings.uses(RefuseWhenFull) {
		return true
	}
	now := time.Now()
	entry := &dispatch.Waiting{
		Priority: r.priority(), SchedulingState: *r.schedulingState(now), Since: now, Bytes: queuedRequestOverhead + len(r.exchange.Body) + chainBytes,
	}
	if r.tenant != nil {
		entry.Tenant = r.tenant.Name
	}
	admission, verdict := n.enqueue(now, r, entry)
	if verdict != nil {
		admission.Verdict = n.awaitVerdict(ctx, entry.ID, verdict)
	}
	r.queuedFor = time.Since(now)
	return n.applyVerdict(r, &admission)
}

// reasonFull tells callers why their program does not begin.
const reasonFull = "the replicas are full, and programs under way go first"

// joinWaiting decides on a turn, and has it wait if that is the verdict; what comes of it
// is sent to the returned channel, which is nil otherwise.
func (n *Node) enqueue(now time.Time, r *requestState, entry *dispatch.Waiting) (dispatch.Admission, chan dispatch.Verdict) {
	utilisation := n.replicas.utilisation(n.selectionRequest(r))
	utilisation.CompletionRate = n.refusals.serviceRate(now)
	w := n.waitQueue
	w.mutex.Lock()
	defer w.mutex.Unlock()
	utilisation.Ahead = w.queue.Ahead(now, entry)
	admission := dispatch.Admit(&utilisation, &entry.SchedulingState, max(r.deadline.Sub(now), 0))
	if admission.Verdict != dispatch.VerdictWait {
		return admission, nil
	}
	w.lastID++
	entry.ID, entry.Until = w.lastID, now.Add(admission.Bound)
	verdict := make(chan dispatch.Verdict, 1)
	w.requests[entry.ID] = &queuedRequest{request: r, verdict: verdict}
	for _, displaced := range w.queue.Join(now, entry) {
		w.resolve(displaced.ID, dispatch.VerdictRefuse)
	}
	if !w.polling {
		w.polling = true
		n.run(n.pollQueue)
	}
	return admission, verdict
}

// tell ends the wait of a request that has left the queue. The mutex is held.
func (w *waitQueue) resolve(id uint64, verdict dispatch.Verdict) {
	if queued := w.requests[id]; queued != nil {
		delete(w.requests, id)
		queued.verdict <- verdict
	}
}

// awaitVerdict waits for what comes of a request that waits.
func (n *Node) awaitVerdict(ctx context.Context, id uint64, verdict chan dispatch.Verdict) dispatch.Verdict {
	select {
	case decided := <-verdict:
		return decided
	case <-ctx.Done():
		w := n.waitQueue
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.queue.Leave(id)
		delete(w.requests, id)
		return dispatch.VerdictRefuse
	}
}

// pumpWaiting lets requests go on as room comes, until none waits.
func (n *Node) pollQueue(ctx context.Context) {
	for wait.For(ctx, queuePollInterval) {
		if !n.serveQueue(time.Now()) {
			return
		}
	}
}

// stepWaiting ends the waits that are over, and lets the first request go on if there is
// room. It reports whether any request still waits.
func (n *Node) serveQueue(now time.Time) bool {
	w := n.waitQueue
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, queued := range w.requests {
		if queued.request.exchange.Cancel.Cause() != nil {
			w.queue.Leave(id)
			w.resolve(id, dispatch.VerdictRefuse)
		}
	}
	for _, expired := range w.queue.Expire(now) {
		w.resolve(expired.ID, dispatch.AfterWait(n.utilisationFor(expired.ID)))
	}
	if first := w.queue.First(now); first != nil && n.utilisationFor(first.ID).AcceptsNew() {
		w.queue.Leave(first.ID)
		w.resolve(first.ID, dispatch.VerdictRun)
	}
	n.metrics.waitQueue(w.queue.Len(), w.queue.Oldest(now))
	w.polling = w.queue.Len() > 0
	return w.polling
}

// roomOf returns the room for a request that waits.
func (n *Node) utilisationFor(id uint64) *dispatch.Utilisation {
	utilisation := n.replicas.utilisation(n.selectionRequest(n.waitQueue.requests[id].request))
	return &utilisation
}

// noteVerdict writes the verdict, and answers a turn that does not run.
func (n *Node) applyVerdict(r *requestState, admission *dispatch.Admission) bool {
	n.metrics.admitted(admission.Verdict.String(), r.queuedFor)
	if admission.Verdict == dispatch.VerdictRun && admission.Bound == 0 {
		return true
	}
	n.logger.Info().Str("request", r.id).Str("verdict", admission.Verdict.String()).Dur("waited", r.queuedFor).
		Dur("expected", admission.Expected).Dur("bound", admission.Bound).Str("tier", r.schedulingState(time.Now()).Tier().String()).
		Msg("waiting: decided")
	switch {
	case admission.Verdict == dispatch.VerdictRun:
		return true
	case r.exchange.Cancel.Cause() != nil:
		r.abort("the client has left while its turn waited")
	default:
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseFull, EndsIn: max(admission.Expected-r.queuedFor, 0)}, reasonFull)
	}
	return false
}

// room returns how full the replicas are for a request.
func (r *replicas) utilisation(request *replica.Request) dispatch.Utilisation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Utilisation(time.Now(), request)
}
