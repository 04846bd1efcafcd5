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

// queue holds the calls that wait for a back end. Two rules order them:
// tenants share each pool of back ends by start-time fair queueing, weighted
// by their urgency, and within a tenant the program with the least attained
// service goes first, with aging and the deadline.
type queue struct {
	calls map[program.CallRef]*heldCall
	// expiry orders every held call by when it is refused.
	expiry callHeap
	pools  []*pool
	byName map[poolName]*pool
	// rotation rotates which pool is served first.
	rotation int
	// order numbers the calls, to break ties by arrival.
	order uint64
}

type poolName struct {
	kind api.CallKind
	name string
}

// pool is the calls that need the same model or tool.
type pool struct {
	poolName
	// virtualTime is the virtual time of fair queueing: the start tag of the call
	// that was sent last.
	virtualTime float64
	flows       map[string]*share
	subqueues   map[subqueueKey]*subqueue
	// active are the lines that hold calls, in the order in which they began
	// to; empty ones are taken out by the next search.
	active []*subqueue
}

type subqueueKey struct {
	tenant    string
	placement zone.Placement
	unstarted bool
}

// share is one tenant's part of a pool.
type share struct {
	tenant string
	weight float64
	// virtualTime is the tenant's service so far over its weight, in seconds. It
	// never lags behind the pool's while the tenant has nothing held: unused
	// shares are not saved up.
	virtualTime float64
	heldCalls   int
	// starts is the pace of the tenant's programs that wait to start.
	starts startEstimator
	// usage is what the tenant holds, in all pools.
	usage *tenantUsage
	// lastRetryAt is the last retry time that a refusal promised.
	lastRetryAt time.Time
}

// subqueue is one tenant's held calls of one placement. Calls of programs that
// have not started stand in a line of their own: they all need new room, so
// that the first one speaks for those behind it.
type subqueue struct {
	subqueueKey
	share *share
	calls callHeap
	// capacity is the slots of the back ends that the placement permits, as
	// of a revision of the view.
	capacity int
	revision uint64
	blocked  bool
	active   bool
}

// heldCall is one call that waits.
type heldCall struct {
	request  Request
	pool     *pool
	subqueue *subqueue
	// effectiveArrival orders the calls of a line, the earliest first.
	effectiveArrival time.Time
	order            uint64
	// expires is when the call is refused at the latest.
	expires time.Time
	// expectedService is the predicted service.
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

// poolFor returns the pool that serves a request.
func (q *queue) poolFor(request *Request) *pool {
	name := poolName{request.Kind, request.Model}
	if request.Kind == api.CallTool {
		name.name = request.Tool
	}
	known := q.byName[name]
	if known == nil {
		known = &pool{poolName: name, flows: map[string]*share{}, subqueues: map[subqueueKey]*subqueue{}}
		q.byName[name] = known
		q.pools = append(q.pools, known)
	}
	return known
}

// subqueueFor returns the line of a request's tenant and placement.
func (p *pool) subqueueFor(request *Request, usage *tenantUsage) *subqueue {
	key := subqueueKey{request.Tenant, request.Placement, isUnstarted(request)}
	if known := p.subqueues[key]; known != nil {
		return known
	}
	tenantShare := p.flows[request.Tenant]
	if tenantShare == nil {
		tenantShare = &share{tenant: request.Tenant, usage: usage}
		p.flows[request.Tenant] = tenantShare
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

// push holds a call.
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

// remove takes a call out, wherever it stands, because it is sent or not.
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

// skip takes the head off the line, for a moment.
func (l *subqueue) skip(call *heldCall) { heap.Remove(&l.calls, call.subqueueIndex) }

// restore undoes setAside.
func (l *subqueue) restore(call *heldCall) { heap.Push(&l.calls, call) }

// blockSaturated marks the lines that found every back end saturated: those of the
// placement, or only the tenant's, if others may use more slots than it.
func (p *pool) blockSaturated(full *subqueue, onlyTenant bool) {
	for _, each := range p.active {
		if each.placement == full.placement && (!onlyTenant || each.share == full.share) {
			each.blocked = true
		}
	}
}

// heldCount counts the calls that the pool holds.
func (p *pool) heldCount() int {
	total := 0
	for _, each := range p.active {
		total += each.calls.Len()
	}
	return total
}

// charge charges a tenant for a call that was sent.
func (p *pool) charge(call *heldCall) {
	tenantShare := call.subqueue.share
	p.virtualTime = max(p.virtualTime, tenantShare.virtualTime)
	tenantShare.virtualTime += call.expectedService.Seconds() / tenantShare.weight
}

// resetRound takes the empty lines off the active ones, and clears the marks of the
// last round.
func (p *pool) resetRound() {
	p.active = slices.DeleteFunc(p.active, func(l *subqueue) bool {
		l.blocked = false
		l.active = l.calls.Len() > 0
		return !l.active
	})
}

// next returns the line whose head is to be tried: of the tenants with the
// least weighted service, the one whose head is placed earliest.
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

func (l *subqueue) before(other *subqueue) bool {
	if order := cmp.Compare(l.share.virtualTime, other.share.virtualTime); order != 0 {
		return order < 0
	}
	return arrivesEarlier(l.calls.items[0], other.calls.items[0])
}

// effectiveArrivalOf is a call's place among its tenant's: the arrival of its
// program, later by the attained service, and later by a part of the time that
// its caller has. Both are bounded, so that no call is overtaken forever.
func effectiveArrivalOf(request *Request, order OrderConfig) time.Time {
	attained := time.Duration(request.Attained) * order.AttainedPerToken
	arrival := request.Arrived.Add(min(attained, order.AttainedMaximum))
	if request.Deadline.IsZero() {
		return arrival
	}
	timeLimit := request.Deadline.Sub(request.Arrived)
	return arrival.Add(time.Duration(order.DeadlineShare * float64(timeLimit)))
}

// callsAhead counts the calls of the line that are placed before a call.
func (l *subqueue) callsAhead(call *heldCall) int {
	count := 0
	for _, other := range l.calls.items {
		if arrivesEarlier(other, call) {
			count++
		}
	}
	return count
}

// callHeap is a heap of held calls that knows each call's position.
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
