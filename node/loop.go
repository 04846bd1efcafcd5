package node

import (
	"context"
	"time"

	"birchwood.example/birchwood/control"
)

const (
	// eventQueueLength is the number of events that may be queued for the
	// control goroutine.
	eventQueueLength = 8192
	// maxEventBatch bounds the events processed before their actions are
	// performed.
	maxEventBatch = 256
	// maxSleep is the longest time between two steps.
	maxSleep = time.Second
)

// run is the control goroutine, the only one that accesses the core. It feeds
// events to the core and performs the resulting actions.
func (n *Node) run(ctx context.Context) {
	defer close(n.loopDone)
	n.step(control.Tick{})
	n.performAll()
	timer := time.NewTimer(n.untilWake())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-n.events:
			n.step(event)
			n.drainEvents()
		case inspect := <-n.inspections:
			inspect(n.core)
		case <-timer.C:
			n.step(control.Tick{})
		}
		n.performAll()
		timer.Reset(n.untilWake())
	}
}

// step passes an event to the core and records the time taken, since each node
// has a budget for control time.
func (n *Node) step(event control.Event) {
	started := time.Now()
	n.core.Step(started, event)
	n.lastStep = started
	n.metrics.ControlStep(time.Since(started))
}

func (n *Node) drainEvents() {
	for range maxEventBatch {
		select {
		case event := <-n.events:
			n.step(event)
		default:
			return
		}
	}
}

// untilWake returns how long the control goroutine may sleep. The time counts
// from the last step, so that frequent inspections do not delay a tick.
func (n *Node) untilWake() time.Duration {
	wake := n.lastStep.Add(maxSleep)
	if next := n.core.NextWake(); !next.IsZero() && next.Before(wake) {
		wake = next
	}
	return max(time.Until(wake), 0)
}

func (n *Node) performAll() {
	for _, action := range n.core.Ready() {
		n.perform(action)
	}
	n.publishRouting()
}

// post queues an event for the control goroutine. It drops the event when the
// node has stopped.
func (n *Node) post(event control.Event) {
	select {
	case n.events <- event:
	case <-n.loopDone:
	}
}

// inspect runs a function on the control goroutine and waits for it to return.
// It returns false if the node has stopped.
func (n *Node) inspect(fn func(*control.Core)) bool {
	done := make(chan struct{})
	select {
	case n.inspections <- func(core *control.Core) { fn(core); close(done) }:
	case <-n.loopDone:
		return false
	}
	select {
	case <-done:
		return true
	case <-n.loopDone:
		return false
	}
}
