package node

import (
	"context"
	"time"

	"birchwood.example/birchwood/control"
)

const (
	// eventQueueLength is how many events may wait for the control goroutine.
	eventQueueLength = 8192
	// maxEventBatch bounds the events taken before their actions are performed.
	maxEventBatch = 256
	// maxSleep bounds the time between two steps.
	maxSleep = time.Second
)

// run is the control goroutine. It alone touches the core: it takes events,
// steps the core, and starts the actions on other goroutines.
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

// step measures the control time, which has a budget on every node.
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

// untilWake returns how long the control goroutine may sleep. It counts from
// the last step, so that inspections, however frequent, do not put off a tick.
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

// post hands an event to the control goroutine. It gives up when the node has
// stopped.
func (n *Node) post(event control.Event) {
	select {
	case n.events <- event:
	case <-n.loopDone:
	}
}

// inspect runs a function on the control goroutine and waits for it. It
// reports false when the node has stopped.
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
