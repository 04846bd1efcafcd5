package cluster

import (
	"container/heap"
	"time"
)

// timedEvent is a function that runs at a given virtual time.
type timedEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap ordered by time; events of equal time run in the order in
// which they were queued.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(event any) { *q = append(*q, event.(timedEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	(*q)[last] = timedEvent{}
	*q = (*q)[:last]
	return event
}

// after queues a function to run after the delay.
func (c *Cluster) after(delay time.Duration, run func()) {
	c.queued++
	heap.Push(&c.queue, timedEvent{at: c.now.Add(max(0, delay)), sequence: c.queued, run: run})
}

// Advance runs all events due within the given length of virtual time.
func (c *Cluster) Advance(length time.Duration) {
	until := c.now.Add(length)
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		event := heap.Pop(&c.queue).(timedEvent)
		c.now = event.at
		event.run()
	}
	c.now = until
}
