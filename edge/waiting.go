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
	// queueMaximumRequests bounds the queued requests. It exceeds the number that a node
	// starts within the longest wait.
	queueMaximumRequests = 256
	// queueMemoryShare is the part of the node's memory that queued requests may take, and
	// queueDefaultBytes their limit if the memory is not limited.
	queueMemoryShare  = 1. / 32
	queueDefaultBytes = 16 << 20
	// queuedRequestOverhead is the memory that a queued request takes besides its body and
	// its chain.
	queuedRequestOverhead = 16 << 10
	// queuePollInterval is the time between two checks for capacity while requests are
	// queued. It is short compared with a turn, since each check starts at most one
	// request.
	queuePollInterval = 5 * time.Millisecond
)

// waitQueue holds the requests that wait at this node for capacity at the replicas. It is
// safe for concurrent use.
type waitQueue struct {
	mutex sync.Mutex
	queue *dispatch.Queue
	// requests are the queued requests by their id in the queue.
	requests map[uint64]*queuedRequest
	lastID   uint64
	// polling is set while a goroutine serves the queue.
	polling bool
}

// queuedRequest is a queued request with the channel that receives its verdict.
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

// awaitCapacity holds a new program's turn until the replicas have capacity for it. If it
// returns false, the request has been answered without running.
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

// reasonFull tells callers why their program does not start.
const reasonFull = "the replicas are full, and programs under way go first"

// enqueue decides on a turn, and queues it if the verdict is to wait. The returned channel
// then receives the final verdict; otherwise it is nil.
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

// resolve ends the wait of a request that has left the queue. The caller must hold the
// mutex.
func (w *waitQueue) resolve(id uint64, verdict dispatch.Verdict) {
	if queued := w.requests[id]; queued != nil {
		delete(w.requests, id)
		queued.verdict <- verdict
	}
}

// awaitVerdict waits for the verdict on a queued request.
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

// pollQueue starts queued requests as capacity becomes available, until the queue is empty.
func (n *Node) pollQueue(ctx context.Context) {
	for wait.For(ctx, queuePollInterval) {
		if !n.serveQueue(time.Now()) {
			return
		}
	}
}

// serveQueue ends the waits that have expired, and starts the first request if there is
// capacity. It reports whether the queue still holds a request.
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

// utilisationFor returns the utilisation of the replicas that may serve a queued request.
func (n *Node) utilisationFor(id uint64) *dispatch.Utilisation {
	utilisation := n.replicas.utilisation(n.selectionRequest(n.waitQueue.requests[id].request))
	return &utilisation
}

// applyVerdict logs the verdict, and answers a turn that does not run.
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

// utilisation returns the utilisation of the replicas that may serve a request.
func (r *replicas) utilisation(request *replica.Request) dispatch.Utilisation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Utilisation(time.Now(), request)
}
