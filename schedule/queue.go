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
	// turn rotates which pool is served first.
	turn int
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
	// virtual is the virtual time of fair queueing: the start tag of the call
	// that was sent last.
	virtual float64
	shares  map[string]*share
	lines   map[lineKey]*line
	// active are the lines that hold calls, in the order in which they began
	// to; empty ones are taken out by the next search.
	active []*line
}

type lineKey struct {
	tenant    string
	placement zone.Placement
	unstarted bool
}

// share is one tenant's part of a pool.
type share struct {
	tenant string
	weight float64
	// virtual is the tenant's service so far over its weight, in seconds. It
	// never lags behind the pool's while the tenant has nothing held: unused
	// shares are not saved up.
	virtual float64
	held    int
	// starts is the pace of the tenant's programs that wait to start.
	starts pace
	// use is what the tenant holds, in all pools.
	use *tenantUse
	// nextRetry is the last retry time that a refusal promised.
	nextRetry time.Time
}

// line is one tenant's held calls of one placement. Calls of programs that
// have not started stand in a line of their own: they all need new room, so
// that the first one speaks for those behind it.
type line struct {
	lineKey
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
	request Request
	pool    *pool
	line    *line
	// place orders the calls of a line, the earliest first.
	place time.Time
	order uint64
	// expires is when the call is refused at the latest.
	expires time.Time
	// cost is the predicted service.
	cost     time.Duration
	inLine   int
	inExpiry int
}

func newQueue() *queue {
	return &queue{
		calls:  map[program.CallRef]*heldCall{},
		byName: map[poolName]*pool{},
		expiry: callHeap{earlier: expiresEarlier, position: expiryPosition},
	}
}

// poolOf returns the pool that serves a request.
func (q *queue) poolOf(request *Request) *pool {
	name := poolName{request.Kind, request.Model}
	if request.Kind == api.CallTool {
		name.name = request.Tool
	}
	known := q.byName[name]
	if known == nil {
		known = &pool{poolName: name, shares: map[string]*share{}, lines: map[lineKey]*line{}}
		q.byName[name] = known
		q.pools = append(q.pools, known)
	}
	return known
}

// lineOf returns the line of a request's tenant and placement.
func (p *pool) lineOf(request *Request, use *tenantUse) *line {
	key := lineKey{request.Tenant, request.Placement, unstarted(request)}
	if known := p.lines[key]; known != nil {
		return known
	}
	owner := p.shares[request.Tenant]
	if owner == nil {
		owner = &share{tenant: request.Tenant, use: use}
		p.shares[request.Tenant] = owner
	}
	owner.weight = float64(1 + max(request.Priority, 0))
	added := &line{
		lineKey: key,
		share:   owner,
		calls:   callHeap{earlier: placedEarlier, position: linePosition},
	}
	p.lines[key] = added
	return added
}

// push holds a call.
func (q *queue) push(now time.Time, call *heldCall) {
	q.order++
	call.order = q.order
	q.calls[call.request.Call] = call
	owner := call.line.share
	if owner.held == 0 {
		owner.virtual = max(owner.virtual, call.pool.virtual)
	}
	owner.held++
	if unstarted(&call.request) {
		owner.starts.enter(now)
	}
	heap.Push(&call.line.calls, call)
	heap.Push(&q.expiry, call)
	if !call.line.active {
		call.line.active = true
		call.pool.active = append(call.pool.active, call.line)
	}
}

// remove takes a call out, wherever it stands, because it is sent or not.
func (q *queue) remove(now time.Time, call *heldCall, sent bool) {
	delete(q.calls, call.request.Call)
	owner := call.line.share
	owner.held--
	if unstarted(&call.request) {
		owner.starts.leave(now, sent, now.After(call.request.Enqueued))
	}
	if call.inLine >= 0 {
		heap.Remove(&call.line.calls, call.inLine)
	}
	heap.Remove(&q.expiry, call.inExpiry)
}

// setAside takes the head off the line, for a moment.
func (l *line) setAside(call *heldCall) { heap.Remove(&l.calls, call.inLine) }

// putBack undoes setAside.
func (l *line) putBack(call *heldCall) { heap.Push(&l.calls, call) }

// block marks the lines that found every back end saturated: those of the
// placement, or only the tenant's, if others may use more slots than it.
func (p *pool) block(full *line, onlyTenant bool) {
	for _, each := range p.active {
		if each.placement == full.placement && (!onlyTenant || each.share == full.share) {
			each.blocked = true
		}
	}
}

// held counts the calls that the pool holds.
func (p *pool) held() int {
	total := 0
	for _, each := range p.active {
		total += each.calls.Len()
	}
	return total
}

// served charges a tenant for a call that was sent.
func (p *pool) served(call *heldCall) {
	owner := call.line.share
	p.virtual = max(p.virtual, owner.virtual)
	owner.virtual += call.cost.Seconds() / owner.weight
}

// trim takes the empty lines off the active ones, and clears the marks of the
// last round.
func (p *pool) trim() {
	p.active = slices.DeleteFunc(p.active, func(l *line) bool {
		l.blocked = false
		l.active = l.calls.Len() > 0
		return !l.active
	})
}

// next returns the line whose head is to be tried: of the tenants with the
// least weighted service, the one whose head is placed earliest.
func (p *pool) next() *line {
	var best *line
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

func (l *line) before(other *line) bool {
	if order := cmp.Compare(l.share.virtual, other.share.virtual); order != 0 {
		return order < 0
	}
	return placedEarlier(l.calls.items[0], other.calls.items[0])
}

// placeInLine is a call's place among its tenant's: the arrival of its
// program, later by the attained service, and later by a part of the time that
// its caller has. Both are bounded, so that no call is overtaken forever.
func placeInLine(request *Request, order OrderConfig) time.Time {
	attained := time.Duration(request.Attained) * order.AttainedPerToken
	place := request.Arrived.Add(min(attained, order.AttainedMaximum))
	if request.Deadline.IsZero() {
		return place
	}
	patience := request.Deadline.Sub(request.Arrived)
	return place.Add(time.Duration(order.DeadlineShare * float64(patience)))
}

// ahead counts the calls of the line that are placed before a call.
func (l *line) ahead(call *heldCall) int {
	count := 0
	for _, other := range l.calls.items {
		if placedEarlier(other, call) {
			count++
		}
	}
	return count
}

// callHeap is a heap of held calls that knows each call's position.
type callHeap struct {
	items    []*heldCall
	earlier  func(a, b *heldCall) bool
	position func(*heldCall) *int
}

func placedEarlier(a, b *heldCall) bool {
	if order := a.place.Compare(b.place); order != 0 {
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

func linePosition(call *heldCall) *int   { return &call.inLine }
func expiryPosition(call *heldCall) *int { return &call.inExpiry }

// Len implements heap.Interface.
func (h *callHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *callHeap) Less(i, j int) bool { return h.earlier(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *callHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *callHeap) Push(item any) {
	call := item.(*heldCall)
	*h.position(call) = len(h.items)
	h.items = append(h.items, call)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := len(h.items) - 1
	call := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.position(call) = -1
	return call
}
