package program

import (
	"container/heap"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// timerUnset is the heap index of a program that has no timer.
const timerUnset = -1

// timer holds the next deadline of a program, of any kind.
type timer struct {
	due   time.Time
	index int
}

// timerHeap is a heap of programs by their next deadline, so that Tick visits
// only the programs that are due.
type timerHeap []*programState

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].timer.due.Before(h[j].timer.due) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.index = i
	h[j].timer.index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(item any) {
	p := item.(*programState)
	p.timer.index = len(*h)
	*h = append(*h, p)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	p.timer.index = timerUnset
	return p
}

func (h *timerHeap) remove(p *programState) {
	if p.timer.index != timerUnset {
		heap.Remove(h, p.timer.index)
	}
}

// updateTimer sets a program's timer to its next deadline. It ignores a program
// that is no longer in the store.
func (s *Store) updateTimer(p *programState) {
	if s.programs[p.id] != p {
		return
	}
	due := p.nextDeadline()
	switch {
	case due.IsZero():
		s.timers.remove(p)
	case p.timer.index == timerUnset:
		p.timer.due = due
		heap.Push(&s.timers, p)
	case !p.timer.due.Equal(due):
		p.timer.due = due
		heap.Fix(&s.timers, p.timer.index)
	}
}

// NextWake returns when Tick has work to do next. It is zero if there is no
// deadline.
func (s *Store) NextWake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].timer.due
}

// Tick handles the calls, attempts, lookups and programs that have run out of
// time. It processes at most Config.TickPrograms programs; while more are due,
// NextWake is not after now.
func (s *Store) Tick(now time.Time) Output {
	t := newTransition(s, now)
	for range s.config.TickPrograms {
		if len(s.timers) == 0 || s.timers[0].timer.due.After(t.now) {
			break
		}
		p := heap.Pop(&s.timers).(*programState)
		t.markTimer(p)
		t.expire(p)
		t.setTimers()
	}
	return t.finish()
}

// nextDeadline returns the earliest time at which Tick has work to do for the
// program, or zero if there is none.
func (p *programState) nextDeadline() time.Time {
	var due time.Time
	earliest := func(moment time.Time) {
		if !moment.IsZero() && (due.IsZero() || moment.Before(due)) {
			due = moment
		}
	}
	for _, live := range p.live {
		earliest(live.nextDeadline(p.terms))
	}
	switch {
	case p.finished():
		earliest(deadlineAfter(p.closedAt, p.terms.Retention))
	case !p.closed:
		earliest(deadlineAfter(p.createdAt, p.maxDuration()))
		earliest(p.idleDeadline())
		if p.endOnTurnLimit && len(p.live) == 0 {
			earliest(p.lastActivity)
		}
	}
	return due
}

// deadlineAfter returns start plus duration, or zero if the duration sets no
// limit.
func deadlineAfter(start time.Time, duration time.Duration) time.Time {
	if duration <= 0 {
		return time.Time{}
	}
	return start.Add(duration)
}

// maxDuration returns the longest that the program may run: the lower of the
// limits of the contract and the creator.
func (p *programState) maxDuration() time.Duration {
	limit := p.terms.MaxDuration
	if p.requestDuration > 0 && (limit <= 0 || p.requestDuration < limit) {
		return p.requestDuration
	}
	return limit
}

// idleDeadline returns when the program is ended for being idle. It is zero while
// the program waits for a call or a sub-agent, since it is not idle then.
func (p *programState) idleDeadline() time.Time {
	if len(p.live) > 0 || len(p.children) > 0 {
		return time.Time{}
	}
	return deadlineAfter(p.lastActivity, p.terms.IdleTimeout)
}

// nextDeadline returns when Tick has work to do for the call, or zero.
func (c *liveCall) nextDeadline(terms *Terms) time.Time {
	switch c.phase {
	case phaseLookup:
		return c.lookup.timeoutAt
	case phaseSent:
		attempt := c.attemptDeadline(terms)
		if c.deadline.IsZero() || (!attempt.IsZero() && attempt.Before(c.deadline)) {
			return attempt
		}
	}
	return c.deadline
}

// attemptDeadline returns the deadline of a tool call's current attempt, counted
// from its dispatch. It is zero for model calls.
func (c *liveCall) attemptDeadline(terms *Terms) time.Time {
	if c.call.Kind != api.CallTool {
		return time.Time{}
	}
	return deadlineAfter(c.dispatchedAt, terms.ToolTimeout)
}

// expire handles all deadlines of the program that have passed. An ended program
// whose retention is over is evicted.
func (t *transition) expire(p *programState) {
	if p.finished() {
		if due := p.nextDeadline(); !due.IsZero() && !due.After(t.now) {
			t.store.evict(p)
		}
		return
	}
	for _, live := range slices.Clone(p.live) {
		if p.liveCall(live.sequence) == live {
			t.expireCall(p, live)
		}
	}
	if !p.closed {
		t.expireProgram(p)
	}
	t.advance(p)
	t.completeEnd(p)
}

func (t *transition) expireProgram(p *programState) {
	due := func(moment time.Time) bool { return !moment.IsZero() && !moment.After(t.now) }
	switch {
	case due(deadlineAfter(p.createdAt, p.maxDuration())):
		t.closeTree(p, ReasonDuration)
	case p.endOnTurnLimit && len(p.live) == 0:
		t.closeTree(p, ReasonTurns)
	case due(p.idleDeadline()):
		t.closeTree(p, ReasonIdle)
	}
}

func (t *transition) expireCall(p *programState, live *liveCall) {
	due := live.nextDeadline(p.terms)
	if due.IsZero() || due.After(t.now) {
		return
	}
	switch live.phase {
	case phaseLookup:
		t.retryLookup(p, live, true)
	case phaseSent:
		t.expireSent(p, live)
	default:
		t.expireWaiting(p, live)
	}
}

// expireWaiting ends a call that was not sent before its deadline.
func (t *transition) expireWaiting(p *programState, live *liveCall) {
	cause := waitTimedOut(p, live)
	if live.lastError != nil {
		cause.Message = "the call ran out of time; last attempt: " + live.lastError.Message
	}
	t.endWaiting(p, live, cause)
	t.advance(p)
	t.completeEnd(p)
}

// expireSent handles an attempt that has run for too long: a repeatable call is
// retried or ended, and any other call is looked up.
func (t *transition) expireSent(p *programState, live *liveCall) {
	if !live.repeatable() {
		t.startLookup(p, live)
		return
	}
	cause := callError(api.CodeTimeout, api.RanFailed, "attempt %d ran out of time", live.attempt)
	live.lastError = cause
	stop := p.callEffect(EffectStop, live)
	if !live.expired(t.now) && t.retry(p, live) {
		t.immediate(stop)
		return
	}
	t.endMayHaveRun(p, live, cause)
	t.advance(p)
	t.completeEnd(p)
}
