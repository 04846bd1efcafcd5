package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/zone"
)

// queue contains the held calls. Tenants share each pool of back ends by
// start-time fair queueing, weighted by priority. Within a tenant the program
// with the least attained service goes first, adjusted by aging and the
// deadline.
type queue struct {
	calls map[program.CallRef]*heldCall
	// expiry orders all held calls by their hold deadline.
	expiry callHeap
	pools  []*pool
	byName map[poolName]*pool
	// rotation is incremented by each run of Ready, to rotate which pool is
	// served first.
	rotation int
	// order is the number of calls enqueued so far. Each call gets its value as
	// a sequence number, which breaks ties in the heaps.
	order uint64
}

type poolName struct {
	kind api.CallKind
	name string
}

// pool contains the held calls that need the same model or tool.
type pool struct {
	poolName
	// virtualTime is the virtual time of start-time fair queueing: the largest
	// start tag of the calls placed so far.
	virtualTime float64
	shares      map[string]*share
	subqueues   map[subqueueKey]*subqueue
	// active lists the subqueues that contain calls, in the order in which they
	// became non-empty. resetRound removes empty ones.
	active []*subqueue
}

type subqueueKey struct {
	tenant    string
	placement zone.Placement
	unstarted bool
}

// share is the fair-queueing state of one tenant in a pool.
type share struct {
	tenant string
	weight float64
	// virtualTime is the tenant's expected service so far divided by its
	// weight, in seconds. When a tenant without held calls enqueues one, it is
	// raised to at least the pool's virtual time, so that idle tenants do not
	// accumulate credit.
	virtualTime float64
	heldCalls   int
	// starts estimates how often the tenant's waiting programs start.
	starts startEstimator
	// usage is the tenant's resource usage, over all pools.
	usage *tenantUsage
	// lastRetryAt is the retry time given in the tenant's last refusal.
	lastRetryAt time.Time
}

// subqueue contains one tenant's held calls with the same placement. Calls of
// unstarted programs have a subqueue of their own: all of them need new cache
// space, so if the first one cannot be placed the others are not tried.
type subqueue struct {
	subqueueKey
	share *share
	calls callHeap
	// capacity is the number of slots of the feasible back ends, computed at
	// this revision of the view.
	capacity int
	revision uint64
	blocked  bool
	active   bool
}

// heldCall is a call in the queue.
type heldCall struct {
	request  Request
	pool     *pool
	subqueue *subqueue
	// effectiveArrival orders the calls of a subqueue, the earliest first.
	effectiveArrival time.Time
	order            uint64
	// expires is the hold deadline, after which the call is refused.
	expires time.Time
	// expectedService is the predicted time in a back end. subqueueIndex and
	// expiryIndex are the call's positions in the two heaps; -1 if it is not in
	// the heap.
	expectedService time.Duration
	subqueueIndex   int
	expiryIndex     int
}

func newQueue() *queue {
	return &queue{
		calls:  map[program.CallRef]*heldCall{},
		byName: map[poolName]*pool{},
		expiry: callHeap{less: expiresEarlier, index: expiryIndexOf},
	}
}

// poolFor returns the pool of the request's model or tool, and creates it if
// needed.
func (q *queue) poolFor(request *Request) *pool {
	name := poolName{request.Kind, request.Model}
	if request.Kind == api.CallTool {
		name.name = request.Tool
	}
	known := q.byName[name]
	if known == nil {
		known = &pool{poolName: name, shares: map[string]*share{}, subqueues: map[subqueueKey]*subqueue{}}
		q.byName[name] = known
		q.pools = append(q.pools, known)
	}
	return known
}

// subqueueFor returns the subqueue for a request, and creates it if needed.
func (p *pool) subqueueFor(request *Request, usage *tenantUsage) *subqueue {
	key := subqueueKey{request.Tenant, request.Placement, isUnstarted(request)}
	if known := p.subqueues[key]; known != nil {
		return known
	}
	tenantShare := p.shares[request.Tenant]
	if tenantShare == nil {
		tenantShare = &share{tenant: request.Tenant, usage: usage}
		p.shares[request.Tenant] = tenantShare
	}
	tenantShare.weight = float64(1 + max(request.Priority, 0))
	added := &subqueue{
		subqueueKey: key,
		share:       tenantShare,
		calls:       callHeap{less: arrivesEarlier, index: subqueueIndexOf},
	}
	p.subqueues[key] = added
	return added
}

// push adds a call to the queue.
func (q *queue) push(now time.Time, call *heldCall) {
	q.order++
	call.order = q.order
	q.calls[call.request.Call] = call
	tenantShare := call.subqueue.share
	if tenantShare.heldCalls == 0 {
		tenantShare.virtualTime = max(tenantShare.virtualTime, call.pool.virtualTime)
	}
	tenantShare.heldCalls++
	if isUnstarted(&call.request) {
		tenantShare.starts.addWaiting(now)
	}
	heap.Push(&call.subqueue.calls, call)
	heap.Push(&q.expiry, call)
	if !call.subqueue.active {
		call.subqueue.active = true
		call.pool.active = append(call.pool.active, call.subqueue)
	}
}

// remove removes a call from the queue; sent reports whether it was placed.
func (q *queue) remove(now time.Time, call *heldCall, sent bool) {
	delete(q.calls, call.request.Call)
	tenantShare := call.subqueue.share
	tenantShare.heldCalls--
	if isUnstarted(&call.request) {
		tenantShare.starts.removeWaiting(now, sent, now.After(call.request.Enqueued))
	}
	if call.subqueueIndex >= 0 {
		heap.Remove(&call.subqueue.calls, call.subqueueIndex)
	}
	heap.Remove(&q.expiry, call.expiryIndex)
}

// skip removes the head of the subqueue for the rest of the round, until
// restore adds it again.
func (sub *subqueue) skip(call *heldCall) { heap.Remove(&sub.calls, call.subqueueIndex) }

// restore adds a call that skip removed.
func (sub *subqueue) restore(call *heldCall) { heap.Push(&sub.calls, call) }

// blockSaturated blocks the subqueues with the placement for which every
// feasible back end is saturated. If onlyTenant is set, the tenant may use fewer
// slots than the others and only its own subqueues are blocked.
func (p *pool) blockSaturated(full *subqueue, onlyTenant bool) {
	for _, each := range p.active {
		if each.placement == full.placement && (!onlyTenant || each.share == full.share) {
			each.blocked = true
		}
	}
}

// heldCount returns the number of calls in the pool.
func (p *pool) heldCount() int {
	total := 0
	for _, each := range p.active {
		total += each.calls.Len()
	}
	return total
}

// charge adds the cost of a placed call to its tenant's virtual time.
func (p *pool) charge(call *heldCall) {
	tenantShare := call.subqueue.share
	p.virtualTime = max(p.virtualTime, tenantShare.virtualTime)
	tenantShare.virtualTime += call.expectedService.Seconds() / tenantShare.weight
}

// resetRound removes the empty subqueues from the active ones, and unblocks the
// others.
func (p *pool) resetRound() {
	p.active = slices.DeleteFunc(p.active, func(sub *subqueue) bool {
		sub.blocked = false
		sub.active = sub.calls.Len() > 0
		return !sub.active
	})
}

// next returns the subqueue whose head should be tried next, or nil. Among the
// unblocked ones it has the lowest virtual time, then the earliest head.
func (p *pool) next() *subqueue {
	var best *subqueue
	for _, candidate := range p.active {
		if candidate.blocked || candidate.calls.Len() == 0 {
			continue
		}
		if best == nil || candidate.before(best) {
			best = candidate
		}
	}
	return best
}

func (sub *subqueue) before(other *subqueue) bool {
	if order := cmp.Compare(sub.share.virtualTime, other.share.virtualTime); order != 0 {
		return order < 0
	}
	return arrivesEarlier(sub.calls.items[0], other.calls.items[0])
}

// effectiveArrivalOf returns the time by which a call is ordered among those of
// its tenant: the arrival of its program, plus a time for the attained service,
// plus a share of the time until the deadline. Both are bounded, so that no
// call starves.
func effectiveArrivalOf(request *Request, order OrderConfig) time.Time {
	attained := time.Duration(request.AttainedTokens) * order.AttainedPerToken
	arrival := request.Arrived.Add(min(attained, order.AttainedMaximum))
	if request.Deadline.IsZero() {
		return arrival
	}
	timeLimit := request.Deadline.Sub(request.Arrived)
	return arrival.Add(time.Duration(order.DeadlineShare * float64(timeLimit)))
}

// callsAhead returns the number of calls in the subqueue that are ordered before
// a call.
func (sub *subqueue) callsAhead(call *heldCall) int {
	count := 0
	for _, other := range sub.calls.items {
		if arrivesEarlier(other, call) {
			count++
		}
	}
	return count
}

// callHeap is a heap of held calls that stores in each call its position, so
// that calls can be removed from the middle.
type callHeap struct {
	items []*heldCall
	less  func(a, b *heldCall) bool
	index func(*heldCall) *int
}

func arrivesEarlier(a, b *heldCall) bool {
	if order := a.effectiveArrival.Compare(b.effectiveArrival); order != 0 {
		return order < 0
	}
	return a.order < b.order
}

func expiresEarlier(a, b *heldCall) bool {
	if order := a.expires.Compare(b.expires); order != 0 {
		return order < 0
	}
	return a.order < b.order
}

func subqueueIndexOf(call *heldCall) *int { return &call.subqueueIndex }
func expiryIndexOf(call *heldCall) *int   { return &call.expiryIndex }

// Len implements heap.Interface.
func (h *callHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *callHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *callHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *callHeap) Push(item any) {
	call := item.(*heldCall)
	*h.index(call) = len(h.items)
	h.items = append(h.items, call)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := len(h.items) - 1
	call := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.index(call) = -1
	return call
}
