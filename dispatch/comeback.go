package dispatch

import "time"

// Cause is why a request is refused that has not run.
type Cause int

// The causes of refusals after which callers may come back.
const (
	// CauseStarting: the node has not read what it needs to serve.
	CauseStarting Cause = iota
	// CauseIsolated: the node reaches neither the store nor most other nodes.
	CauseIsolated
	// CauseNoOwner: nobody owns what the request concerns.
	CauseNoOwner
	// CauseStoreAway: what has to be durable first cannot be recorded.
	CauseStoreAway
	// CauseStoreFull: the store takes no further records.
	CauseStoreFull
	// CauseUnproven: whether the caller may ask, or what it goes on from, is uncertain.
	CauseUnproven
	// CauseBudgetHeld: other turns of the program hold the rest of its budget.
	CauseBudgetHeld
	// CauseLimit: the limit of the tenant is counted by a node that does not answer.
	CauseLimit
	// CauseFull: the replicas are full.
	CauseFull
	// CauseNoReplica: no replica is known that may serve the request.
	CauseNoReplica
	// CauseEvacuated: the zones that hold the replicas are to get no requests.
	CauseEvacuated
	// CauseRejected: every replica that was asked turned the request away.
	CauseRejected
	causes
)

// String returns the cause as logs and metrics name it.
func (c Cause) String() string {
	return [causes]string{
		"starting", "isolated", "no owner", "store away", "store full", "unproven", "budget held", "limit not counted",
		"replicas full", "no replica", "evacuated", "rejected",
	}[c]
}

// OfStore reports whether the cause may last for as long as the store is away.
func (c Cause) OfStore() bool {
	return c == CauseNoOwner || c == CauseStoreAway || c == CauseUnproven
}

// durationBounds bounds how much longer a state is taken to last whose end is not known.
type durationBounds struct{ minimum, maximum time.Duration }

// How much longer states last.
var (
	// A state of some messages or one turn.
	transientBounds = durationBounds{minimum: 150 * time.Millisecond, maximum: 600 * time.Millisecond}
	// The takeover of a partition, or the end of some turns.
	takeoverBounds = durationBounds{minimum: 250 * time.Millisecond, maximum: 1200 * time.Millisecond}
	// An outageBounds, or work of an operator.
	outageBounds = durationBounds{minimum: 500 * time.Millisecond, maximum: 2500 * time.Millisecond}
)

// causeBounds holds a value for each cause.
var causeBounds = [causes]durationBounds{
	CauseStarting: transientBounds, CauseIsolated: outageBounds, CauseNoOwner: takeoverBounds, CauseStoreAway: outageBounds, CauseStoreFull: outageBounds,
	CauseUnproven: outageBounds, CauseBudgetHeld: transientBounds, CauseLimit: transientBounds, CauseFull: takeoverBounds,
	CauseNoReplica: takeoverBounds, CauseEvacuated: outageBounds, CauseRejected: transientBounds,
}

// Bounds of the time after which a caller comes back.
const (
	// maxWaitFraction is the part of what a caller has left that it waits at most: the rest is
	// for the try itself and one more. Clients wait for no more than that either.
	maxWaitFraction = 1. / 3
	// minRetryAfter is the shortest wait that is told: no state ends sooner.
	minRetryAfter = 50 * time.Millisecond
	// minSpreadFraction is the part of the wait over which returns are spread at least, so that
	// callers who were refused together do not come back together.
	minSpreadFraction = 0.25
	// cappedSpreadFraction is that part where the wait is all that a caller bears: its tries are few,
	// and none may end before it has to.
	cappedSpreadFraction = 0.1
	// maxSpread bounds the ramp of returns: one that lasts longer would cost the last
	// callers more than a second refusal.
	maxSpread = 1500 * time.Millisecond
)

// Refusal is what is known when a request is refused that has not run.
type Refusal struct {
	Cause Cause
	// Lasted is how long the cause has held.
	Lasted time.Duration
	// Ends is when the cause is expected to end; 0 where that is not known.
	Ends time.Duration
	// RecentRefusals counts those that were refused for the same cause lately and come back,
	// and ServiceRate those that can be served in a second once it has ended; 0 where unknown.
	RecentRefusals, ServiceRate float64
	// Left is what the request has until its deadline.
	Left time.Duration
	// Begun says that the request's program is under way.
	Begun bool
	// Urgency is the rank of the request: 0 to LeastUrgency, 0 first.
	Urgency int
	// Draw is a random number from 0 to below 1.
	Draw float64
}

// ComeBack returns the time after which the caller had best come back: when the cause is
// expected to end, in the order in which callers are to be served, spread so that the
// replicas have room for them.
func (r *Refusal) ComeBack() time.Duration {
	expectedEnd := max(r.expectedEnd(), minRetryAfter)
	spread := r.spread(expectedEnd)
	limit := time.Duration(float64(r.Left) * maxWaitFraction)
	if r.Left > 0 && expectedEnd+spread > limit {
		// The window ends where the caller's patience does. A try before the cause has
		// ended is lost, so that one who cannot bear to wait for that comes late.
		spread = max(limit-expectedEnd, time.Duration(float64(limit)*cappedSpreadFraction))
		expectedEnd = max(0, limit-spread)
	}
	return max(expectedEnd+time.Duration(float64(spread)*r.position()), min(minRetryAfter, max(limit, time.Millisecond)))
}

// expectedEnd returns when the cause is expected to end.
func (r *Refusal) expectedEnd() time.Duration {
	if r.Ends > 0 {
		return r.Ends
	}
	bounds := causeBounds[r.Cause]
	return min(max(r.Lasted, bounds.minimum), bounds.maximum)
}

// spread returns the length of the window in which those who were refused come back.
func (r *Refusal) spread(ends time.Duration) time.Duration {
	least := time.Duration(float64(ends) * minSpreadFraction)
	if r.ServiceRate <= 0 {
		return least
	}
	ramp := time.Duration(r.RecentRefusals / r.ServiceRate * float64(time.Second))
	return min(max(ramp, least), max(maxSpread, least))
}

// LeastUrgency is the rank of the least urgent requests, to replicas as well.
const LeastUrgency = 9

// position returns where in the window the caller comes back, from 0 to below 1: programs
// under way in its first half, new ones in its second, the more urgent sooner in both.
func (r *Refusal) position() float64 {
	urgency := float64(min(max(r.Urgency, 0), LeastUrgency)) / LeastUrgency
	within := (urgency + r.Draw) / 2
	if r.Begun {
		return within / 2
	}
	return (1 + within) / 2
}

// Returns follows the refusals of one node by cause: since when each has held, and how
// many callers are to come back. It is not safe for concurrent use.
type Returns struct {
	causes [causes]causeState
	served meter
}

// causeState is one cause at one node.
type causeState struct {
	since, last time.Time
	recent      meter
}

// causeExpiry is how long after the last refusal its cause counts as over. Callers of all
// kinds come several times a second while it holds.
const causeExpiry = time.Second

// Refuse notes a refusal and fills in what is known of its cause: how long it has lasted
// at least, how many were refused for it lately, and the pace of this
// node before.
func (r *Returns) Refuse(now time.Time, refusal *Refusal) {
	state := &r.causes[refusal.Cause]
	if state.last.IsZero() || now.Sub(state.last) > causeExpiry {
		*state = causeState{since: now}
	}
	state.last = now
	state.recent.add(now)
	refusal.Lasted = max(refusal.Lasted, now.Sub(state.since))
	refusal.RecentRefusals = state.recent.rate(now)
	refusal.ServiceRate = r.served.peak(now)
}

// Served notes that a turn was served, from which the node's pace is known.
func (r *Returns) Served(now time.Time) { r.served.add(now) }

// Pace returns how many turns were served in the last second or two.
func (r *Returns) Pace(now time.Time) float64 { return r.served.rate(now) }

// meterSpan is the time over which a meter counts, and meterSpans the number of spans
// that the pace before an outage is remembered for.
const (
	meterSpan  = time.Second
	meterSpans = 16
)

// meter counts events by second.
type meter struct {
	counts [meterSpans]float64
	// span is the number of the span that the last event fell in.
	span int64
}

// spanOf returns the number of the span in which a moment lies.
func spanOf(now time.Time) int64 { return now.UnixNano() / int64(meterSpan) }

// advance empties the spans that have passed without an event.
func (m *meter) advance(now time.Time) int64 {
	span := spanOf(now)
	for m.span < span-meterSpans {
		m.span = span - meterSpans
	}
	for m.span < span {
		m.span++
		m.counts[m.span%meterSpans] = 0
	}
	return span
}

// add counts an event.
func (m *meter) add(now time.Time) { m.counts[m.advance(now)%meterSpans]++ }

// rate returns the events in this span and the one before, as many a second.
func (m *meter) rate(now time.Time) float64 {
	span := m.advance(now)
	passed := now.Sub(time.Unix(0, span*int64(meterSpan)))
	share := 1 - float64(passed)/float64(meterSpan)
	return m.counts[span%meterSpans] + share*m.counts[(span+meterSpans-1)%meterSpans]
}

// peak returns the most events in one span that are remembered.
func (m *meter) peak(now time.Time) float64 {
	m.advance(now)
	most := 0.
	for _, count := range m.counts {
		most = max(most, count)
	}
	return most
}
