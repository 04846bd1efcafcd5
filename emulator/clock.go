package emulator

import "time"

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// event is something that happens at a virtual time.
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

// clock is virtual time with its pending events, a binary heap.
type clock struct {
	now      time.Time
	sequence uint64
	events   []event
}

// newClock returns a clock at the epoch.
func newClock() *clock { return &clock{now: epoch} }

// at schedules an action; a time that has passed means now.
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

// after schedules an action in a while.
func (c *clock) after(delay time.Duration, action func()) { c.at(c.now.Add(delay), action) }

// step performs the next event and reports whether there was one.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := c.pop()
	c.now = next.at
	next.action()
	return true
}

// instantOver reports whether no further event happens at this instant.
func (c *clock) instantOver() bool {
	return len(c.events) == 0 || c.events[0].at.After(c.now)
}

// pop removes the earliest event.
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
