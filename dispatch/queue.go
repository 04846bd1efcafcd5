package dispatch

import "time"

// Waiting is a turn that waits for room at a node.
type Waiting struct {
	// ID tells the turns of one queue apart.
	ID uint64
	// Tenant is whose the turn is, or empty.
	Tenant   string
	Priority int
	// Standing is that of the turn when it came.
	Standing Standing
	// Since is when it came, and Until when its wait is over.
	Since, Until time.Time
	// Bytes is the memory that it holds.
	Bytes int
}

// stateAt returns the standing of the turn by now.
func (w *Waiting) stateAt(now time.Time) *Standing {
	standing := w.Standing
	standing.Waited = now.Sub(w.Since)
	standing.Left -= standing.Waited
	return &standing
}

// QueueLimits bound a queue.
type QueueLimits struct {
	Requests, Bytes int
}

// maxTenantFraction is the part of a queue that one tenant's turns may take while others have
// none: a tenant that sends many times its usual leaves places to others.
const maxTenantFraction = 0.5

// Queue holds the turns that wait for room at one node, in the order in which they are to
// be served. It is not safe for concurrent use.
type Queue struct {
	limits  QueueLimits
	entries []*Waiting
	bytes   int
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue { return &Queue{limits: limits} }

// Len returns how many turns wait.
func (q *Queue) Len() int { return len(q.entries) }

// Oldest returns how long the turn has waited that came first; 0 where none waits.
func (q *Queue) Oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, entry := range q.entries {
		oldest = max(oldest, now.Sub(entry.Since))
	}
	return oldest
}

// Ahead returns how many turns wait that go before one.
func (q *Queue) Ahead(now time.Time, turn *Waiting) int {
	ahead := 0
	standing := turn.stateAt(now)
	for _, entry := range q.entries {
		if Before(entry.Priority, entry.stateAt(now), turn.Priority, standing) {
			ahead++
		}
	}
	return ahead
}

// Join takes a turn in. If there is no place for it, the last in the order gives way: the
// turns that do are returned, which may be the new one itself.
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

// removeLast removes the turn that would be served last, of one tenant unless that is
// empty.
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

// before orders two turns that wait: those that stand alike by when they came.
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

// First returns the turn that is to be served first, or nil.
func (q *Queue) First(now time.Time) *Waiting {
	var first *Waiting
	for _, entry := range q.entries {
		if first == nil || q.before(now, entry, first) {
			first = entry
		}
	}
	return first
}

// Leave removes a turn that goes on, or whose client has left. It reports whether the
// turn waited.
func (q *Queue) Leave(id uint64) bool {
	for index, entry := range q.entries {
		if entry.ID == id {
			q.removeAt(index)
			return true
		}
	}
	return false
}

// Expire removes the turns whose wait is over.
func (q *Queue) Expire(now time.Time) []*Waiting {
	var over []*Waiting
	for index := len(q.entries) - 1; index >= 0; index-- {
		if !now.Before(q.entries[index].Until) {
			over = append(over, q.removeAt(index))
		}
	}
	return over
}

func (q *Queue) removeAt(index int) *Waiting {
	entry := q.entries[index]
	q.entries[index] = q.entries[len(q.entries)-1]
	q.entries[len(q.entries)-1] = nil
	q.entries = q.entries[:len(q.entries)-1]
	q.bytes -= entry.Bytes
	return entry
}
