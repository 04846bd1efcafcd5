package dispatch

import "time"

// Cause is why a request is refused before it ran.
type Cause int

// The causes of refusals after which callers may retry.
const (
	// CauseStarting: the node has not yet read the state that it needs to serve.
	CauseStarting Cause = iota
	// CauseIsolated: the node reaches neither the store nor most other nodes.
	CauseIsolated
	// CauseNoOwner: no node owns the partition that the request needs.
	CauseNoOwner
	// CauseStoreUnavailable: a record that must be durable before the turn runs cannot be
	// written.
	CauseStoreUnavailable
	// CauseStoreFull: the store accepts no further records.
	CauseStoreFull
	// CauseUnproven: it is uncertain whether the caller is authorized, or whether the turn
	// that it continues is stored.
	CauseUnproven
	// CauseBudgetHeld: other turns of the program have reserved the rest of its budget.
	CauseBudgetHeld
	// CauseLimit: the counting node, which counts the tenant's requests against its limit,
	// does not answer.
	CauseLimit
	// CauseFull: the replicas are full.
	CauseFull
	// CauseNoReplica: no known replica may serve the request.
	CauseNoReplica
	// CauseEvacuated: the zones of the replicas are evacuated and get no requests.
	CauseEvacuated
	// CauseRejected: every replica that was tried rejected the request.
	CauseRejected
	// CauseNotResumable: the stream that the request resumes cannot go on. The caller has to
	// begin it anew.
	CauseNotResumable
	// CauseQuarantined: as many replicas ended under the request as may.
	CauseQuarantined
	// CauseUnsettled: it is not known yet whether a replica ended under an earlier run of the
	// request.
	CauseUnsettled
	// CauseStopping: the node stops before the request is expected to end.
	CauseStopping
	causes
)

// String returns the label of the cause in logs and metrics.
func (c Cause) String() string {
	return [causes]string{
		"starting", "isolated", "no owner", "store away", "store full", "unproven", "budget held", "limit not counted",
		"replicas full", "no replica", "evacuated", "rejected", "not resumable", "quarantined", "unsettled", "stopping",
	}[c]
}

// DependsOnStore reports whether the cause may last for as long as the store is
// unavailable.
func (c Cause) DependsOnStore() bool {
	return c == CauseNoOwner || c == CauseStoreUnavailable || c == CauseUnproven
}

// durationBounds bounds how much longer a cause is assumed to last if its end is unknown.
type durationBounds struct{ minimum, maximum time.Duration }

// Bounds by kind of cause.
var (
	// Causes that end after a few messages or one turn.
	transientBounds = durationBounds{minimum: 150 * time.Millisecond, maximum: 600 * time.Millisecond}
	// Causes that end with the takeover of a partition or the end of some turns.
	takeoverBounds = durationBounds{minimum: 250 * time.Millisecond, maximum: 1200 * time.Millisecond}
	// Causes that last as long as an outage or an operator's intervention.
	outageBounds = durationBounds{minimum: 500 * time.Millisecond, maximum: 2500 * time.Millisecond}
)

// causeBounds holds the bounds of each cause.
var causeBounds = [causes]durationBounds{
	CauseStarting: transientBounds, CauseIsolated: outageBounds, CauseNoOwner: takeoverBounds, CauseStoreUnavailable: outageBounds, CauseStoreFull: outageBounds,
	CauseUnproven: outageBounds, CauseBudgetHeld: transientBounds, CauseLimit: transientBounds, CauseFull: takeoverBounds,
	CauseNoReplica: takeoverBounds, CauseEvacuated: outageBounds, CauseRejected: transientBounds,
	CauseNotResumable: transientBounds, CauseQuarantined: outageBounds, CauseUnsettled: transientBounds, CauseStopping: transientBounds,
}

// Bounds of the retry delay.
const (
	// maxWaitFraction is the largest fraction of the caller's time left that it waits: the
	// rest is for the next try and one more. Clients wait for no longer than that either.
	maxWaitFraction = 1. / 3
	// minRetryAfter is the shortest retry delay of a refusal: no cause ends sooner.
	minRetryAfter = 50 * time.Millisecond
	// minSpreadFraction is the smallest fraction of the delay over which retries are
	// spread, so that callers that were refused together do not retry together.
	minSpreadFraction = 0.25
	// cappedSpreadFraction replaces minSpreadFraction if the delay is capped by the
	// caller's time left: such a caller has few tries, and none should be earlier than
	// necessary.
	cappedSpreadFraction = 0.1
	// maxSpread bounds the window over which retries are spread: a longer one would cost
	// the last callers more than a second refusal.
	maxSpread = 1500 * time.Millisecond
)

// Refusal describes a request that is refused before it ran.
type Refusal struct {
	Cause Cause
	// Lasted is how long the cause has been present.
	Lasted time.Duration
	// EndsIn is the time until the cause is expected to end; 0 if unknown.
	EndsIn time.Duration
	// RecentRefusals is how many callers were refused for the same cause recently and will
	// retry, and ServiceRate how many of them can be served per second once the cause has
	// ended; 0 if unknown.
	RecentRefusals, ServiceRate float64
	// Left is the time until the request's deadline.
	Left time.Duration
	// Begun reports that the request's program has started.
	Begun bool
	// Urgency is the rank of the request, from 0 (most urgent) to LeastUrgency.
	Urgency int
	// Draw is a random number in [0, 1).
	Draw float64
}

// RetryAfter returns the delay after which the caller should retry. The retry comes when
// the cause is expected to end, in the order in which callers are to be served, spread so
// that the replicas can take all of them.
func (r *Refusal) RetryAfter() time.Duration {
	if r.Cause == CauseQuarantined && r.EndsIn > 0 {
		// No try before that is served, and the callers of one request need no spreading.
		return r.EndsIn
	}
	expectedEnd := max(r.expectedEnd(), minRetryAfter)
	spread := r.spread(expectedEnd)
	limit := time.Duration(float64(r.Left) * maxWaitFraction)
	if r.Left > 0 && expectedEnd+spread > limit {
		// The window ends with the longest delay that the caller tolerates. A try before
		// the cause has ended is lost, so a caller that cannot wait that long retries as
		// late as it can.
		spread = max(limit-expectedEnd, time.Duration(float64(limit)*cappedSpreadFraction))
		expectedEnd = max(0, limit-spread)
	}
	return max(expectedEnd+time.Duration(float64(spread)*r.position()), min(minRetryAfter, max(limit, time.Millisecond)))
}

// expectedEnd returns the time until the cause is expected to end.
func (r *Refusal) expectedEnd() time.Duration {
	if r.EndsIn > 0 {
		return r.EndsIn
	}
	bounds := causeBounds[r.Cause]
	return min(max(r.Lasted, bounds.minimum), bounds.maximum)
}

// spread returns the length of the window in which refused callers retry; the window
// starts when the cause is expected to end, after the given time.
func (r *Refusal) spread(ends time.Duration) time.Duration {
	least := time.Duration(float64(ends) * minSpreadFraction)
	if r.ServiceRate <= 0 {
		return least
	}
	serveTime := time.Duration(r.RecentRefusals / r.ServiceRate * float64(time.Second))
	return min(max(serveTime, least), max(maxSpread, least))
}

// LeastUrgency is the rank of the least urgent requests, here and at replicas.
const LeastUrgency = 9

// position returns the caller's position in the retry window, in [0, 1): started programs
// are in the first half and new ones in the second, with the more urgent earlier in each.
func (r *Refusal) position() float64 {
	urgency := float64(min(max(r.Urgency, 0), LeastUrgency)) / LeastUrgency
	within := (urgency + r.Draw) / 2
	if r.Begun {
		return within / 2
	}
	return (1 + within) / 2
}

// RefusalTracker tracks the refusals of one node by cause: since when each cause has been
// present, and how many callers will retry. It is not safe for concurrent use.
type RefusalTracker struct {
	causes [causes]causeState
	served meter
}

// causeState is the state of one cause at one node.
type causeState struct {
	since, last time.Time
	recent      meter
}

// causeExpiry is the time after its last refusal from which on a cause counts as ended. A
// cause that lasts leads to several refusals per second.
const causeExpiry = time.Second

// ObserveRefusal records a refusal and fills in what is known of its cause: for how long
// it has been present at least, how many requests were refused for it recently, and the
// service rate of this node before it.
func (r *RefusalTracker) ObserveRefusal(now time.Time, refusal *Refusal) {
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

// ObserveServed records that a turn was served; the service rate follows from this.
func (r *RefusalTracker) ObserveServed(now time.Time) { r.served.add(now) }

// ServiceRate returns how many turns were served per second in the last one to two
// seconds.
func (r *RefusalTracker) ServiceRate(now time.Time) float64 { return r.served.rate(now) }

// meterSpan is the interval over which a meter counts, and meterSpans the number of
// intervals kept: the service rate before an outage is retained for as long.
const (
	meterSpan  = time.Second
	meterSpans = 16
)

// meter counts events per interval of meterSpan.
type meter struct {
	counts [meterSpans]float64
	// span is the number of the interval of the last event.
	span int64
}

// spanOf returns the number of the interval that a time lies in.
func spanOf(now time.Time) int64 { return now.UnixNano() / int64(meterSpan) }

// advance clears the intervals that have passed without an event, and returns the present
// one.
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

func (m *meter) add(now time.Time) { m.counts[m.advance(now)%meterSpans]++ }

// rate returns the events per second over a sliding interval: those of the present
// interval and the remaining fraction of the one before.
func (m *meter) rate(now time.Time) float64 {
	span := m.advance(now)
	passed := now.Sub(time.Unix(0, span*int64(meterSpan)))
	share := 1 - float64(passed)/float64(meterSpan)
	return m.counts[span%meterSpans] + share*m.counts[(span+meterSpans-1)%meterSpans]
}

// peak returns the largest count of any interval kept.
func (m *meter) peak(now time.Time) float64 {
	m.advance(now)
	most := 0.
	for _, count := range m.counts {
		most = max(most, count)
	}
	return most
}
