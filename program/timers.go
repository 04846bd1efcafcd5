package program

import (
	"container/heap"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// timerUnset is the heap index of a program that has no timer.
const timerUnset = -1

// timer is a program's next deadline of any kind.
type timer struct {
	due   time.Time
	index int
}

// timerHeap orders programs by their next deadline, so that a Tick looks only
// at the programs that are due.
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

// updateTimer sets a program's timer to its next deadline.
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

// NextWake is when Tick has work to do; the zero time means never.
func (s *Store) NextWake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].timer.due
}

// Tick ends what has run out of time: calls, attempts, look-ups, programs. It
// looks at a bounded number of programs; while more are due, NextWake is not
// after now.
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

// nextDeadline is the earliest moment at which Tick has something to do for
// the program; zero when there is none.
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

// deadlineAfter returns the moment one duration later; the zero time for no bound.
func deadlineAfter(start time.Time, duration time.Duration) time.Time {
	if duration <= 0 {
		return time.Time{}
	}
	return start.Add(duration)
}

// maxDuration bounds the program's life: the contract's, lowered by its creator.
func (p *programState) maxDuration() time.Duration {
	limit := p.terms.MaxDuration
	if p.requestDuration > 0 && (limit <= 0 || p.requestDuration < limit) {
		return p.requestDuration
	}
	return limit
}

// idleDeadline is when a program that makes no call is ended. One that waits
// for a call or for a sub-agent is not idle.
func (p *programState) idleDeadline() time.Time {
	if len(p.live) > 0 || len(p.children) > 0 {
		return time.Time{}
	}
	return deadlineAfter(p.lastActivity, p.terms.IdleTimeout)
}

// nextDeadline is when Tick has something to do for the call.
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

// attemptDeadline bounds one run of a tool, from its dispatch.
func (c *liveCall) attemptDeadline(terms *Terms) time.Time {
	if c.call.Kind != api.CallTool {
		return time.Time{}
	}
	return deadlineAfter(c.dispatchedAt, terms.ToolTimeout)
}

// expire ends whatever of the program is due.
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

// expireSent gives up on an attempt that runs for too long.
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
