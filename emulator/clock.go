package emulator

import "time"

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// event is an action that is scheduled for a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

// before orders events by time, then by the order in which they were added.
func (e *event) before(other *event) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	return e.sequence < other.sequence
}

// clock is the virtual time and a binary heap of the pending events.
type clock struct {
	now      time.Time
	sequence uint64
	events   []event
}

// newClock returns a clock that is set to epoch.
func newClock() *clock { return &clock{now: epoch} }

// at schedules an action. A time in the past is replaced by the current time.
func (c *clock) at(when time.Time, action func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.sequence++
	c.events = append(c.events, event{at: when, sequence: c.sequence, action: action})
	child := len(c.events) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !c.events[child].before(&c.events[parent]) {
			break
		}
		c.events[child], c.events[parent] = c.events[parent], c.events[child]
		child = parent
	}
}

// after schedules an action after a delay.
func (c *clock) after(delay time.Duration, action func()) { c.at(c.now.Add(delay), action) }

// step runs the next event and reports whether there was one.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := c.pop()
	c.now = next.at
	next.action()
	return true
}

// instantOver reports whether no pending event is due at the current time.
func (c *clock) instantOver() bool {
	return len(c.events) == 0 || c.events[0].at.After(c.now)
}

// pop removes and returns the earliest event. The heap must not be empty.
func (c *clock) pop() event {
	first := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	parent := 0
	for {
		child := 2*parent + 1
		if child >= last {
			return first
		}
		if child+1 < last && c.events[child+1].before(&c.events[child]) {
			child++
		}
		if !c.events[child].before(&c.events[parent]) {
			return first
		}
		c.events[child], c.events[parent] = c.events[parent], c.events[child]
		parent = child
	}
}
