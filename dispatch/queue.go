package dispatch

import "time"

// Waiting is a turn that waits at a node for a free slot.
type Waiting struct {
	// ID identifies the turn within its queue.
	ID uint64
	// Tenant is the tenant of the turn, or empty.
	Tenant   string
	Priority int
	// SchedulingState is the state of the turn on arrival.
	SchedulingState SchedulingState
	// Since is the time of arrival, and Until the time at which the wait ends.
	Since, Until time.Time
	// Bytes is the memory that the turn occupies.
	Bytes int
}

// stateAt returns the scheduling state of the turn at the given time.
func (w *Waiting) stateAt(now time.Time) *SchedulingState {
	state := w.SchedulingState
	state.Waited = now.Sub(w.Since)
	state.Left -= state.Waited
	return &state
}

// QueueLimits bounds a queue.
type QueueLimits struct {
	Requests, Bytes int
}

// maxTenantFraction is the fraction of a queue that the turns of one tenant may occupy, so
// that a tenant that sends many times its usual load leaves space for others.
const maxTenantFraction = 0.5

// Queue holds the turns that wait for a slot at one node, and serves them in the order of
// Before. It is not safe for concurrent use.
type Queue struct {
	limits  QueueLimits
	entries []*Waiting
	bytes   int
}

func NewQueue(limits QueueLimits) *Queue { return &Queue{limits: limits} }

// Len returns the number of waiting turns.
func (q *Queue) Len() int { return len(q.entries) }

// Oldest returns the longest time that a waiting turn has waited so far; 0 if none waits.
func (q *Queue) Oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, entry := range q.entries {
		oldest = max(oldest, now.Sub(entry.Since))
	}
	return oldest
}

// Ahead returns how many waiting turns are served before the given one.
func (q *Queue) Ahead(now time.Time, turn *Waiting) int {
	ahead := 0
	state := turn.stateAt(now)
	for _, entry := range q.entries {
		if Before(entry.Priority, entry.stateAt(now), turn.Priority, state) {
			ahead++
		}
	}
	return ahead
}

// Join adds a turn. If the queue or the tenant's part of it is full, the last turns in the
// order are removed and returned, which may include the new one.
func (q *Queue) Join(now time.Time, turn *Waiting) (displaced []*Waiting) {
	q.entries = append(q.entries, turn)
	q.bytes += turn.Bytes
	if turn.Tenant != "" && float64(q.countOf(turn.Tenant)) > max(1, float64(q.limits.Requests)*maxTenantFraction) {
		displaced = append(displaced, q.removeLast(now, turn.Tenant))
	}
	for len(q.entries) > q.limits.Requests || q.bytes > q.limits.Bytes && len(q.entries) > 0 {
		displaced = append(displaced, q.removeLast(now, ""))
	}
	return displaced
}

// countOf returns how many turns of a tenant wait.
func (q *Queue) countOf(tenant string) int {
	count := 0
	for _, entry := range q.entries {
		if entry.Tenant == tenant {
			count++
		}
	}
	return count
}

// removeLast removes the turn that would be served last, among those of one tenant unless
// tenant is empty.
func (q *Queue) removeLast(now time.Time, tenant string) *Waiting {
	last := -1
	for index, entry := range q.entries {
		if tenant != "" && entry.Tenant != tenant {
			continue
		}
		if last < 0 || !q.before(now, entry, q.entries[last]) {
			last = index
		}
	}
	return q.removeAt(last)
}

// before orders two waiting turns; those of equal rank are served in order of arrival.
func (q *Queue) before(now time.Time, turn, other *Waiting) bool {
	left, right := turn.stateAt(now), other.stateAt(now)
	switch {
	case Before(turn.Priority, left, other.Priority, right):
		return true
	case Before(other.Priority, right, turn.Priority, left):
		return false
	default:
		return turn.Since.Before(other.Since)
	}
}

// First returns the turn to be served first, or nil.
func (q *Queue) First(now time.Time) *Waiting {
	var first *Waiting
	for _, entry := range q.entries {
		if first == nil || q.before(now, entry, first) {
			first = entry
		}
	}
	return first
}

// Leave removes a turn that is sent on or whose client has disconnected. It reports
// whether the turn was in the queue.
func (q *Queue) Leave(id uint64) bool {
	for index, entry := range q.entries {
		if entry.ID == id {
			q.removeAt(index)
			return true
		}
	}
	return false
}

// Expire removes and returns the turns whose wait has ended.
func (q *Queue) Expire(now time.Time) []*Waiting {
	var expired []*Waiting
	for index := len(q.entries) - 1; index >= 0; index-- {
		if !now.Before(q.entries[index].Until) {
			expired = append(expired, q.removeAt(index))
		}
	}
	return expired
}

func (q *Queue) removeAt(index int) *Waiting {
	entry := q.entries[index]
	q.entries[index] = q.entries[len(q.entries)-1]
	q.entries[len(q.entries)-1] = nil
	q.entries = q.entries[:len(q.entries)-1]
	q.bytes -= entry.Bytes
	return entry
}
