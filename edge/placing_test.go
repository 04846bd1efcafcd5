package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
)

// TestStreamTimes checks that the token time is measured, except where a wait of this node
// hid the arrival of events.
func TestStreamTimes(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	var times streamTimes
	g.Expect(times.tokenTime(0)).To(BeZero())
	times.note(start, 25)
	g.Expect(times.tokenTime(25)).To(BeZero(), "one event")
	times.note(start.Add(100*time.Millisecond), 75)
	times.note(start.Add(200*time.Millisecond), 125)
	g.Expect(times.tokenTime(125)).To(Equal(2 * time.Millisecond))
	times.heldUntil = start.Add(50 * time.Millisecond)
	g.Expect(times.tokenTime(125)).To(Equal(2*time.Millisecond), "the rest came after the wait")
	times.heldUntil = start.Add(198 * time.Millisecond)
	g.Expect(times.tokenTime(125)).To(BeZero(), "the rest came during the wait")
}

// TestUpdateProgress checks that the progress of a turn is counted once, and not for
// retries.
func TestUpdateProgress(t *testing.T) {
	g := NewWithT(t)
	node := &Node{turnEstimates: newTurnEstimates()}
	for range 20 {
		typical := &requestState{route: &routing.Route{Name: "route"}, prompt: make([]replica.Part, 2), finishBy: time.Now().Add(3 * time.Second)}
		node.updateProgress(typical)
		g.Expect(typical.progress).To(Equal(dispatch.ProgressEven))
	}
	late := &requestState{route: &routing.Route{Name: "route"}, prompt: make([]replica.Part, 2), finishBy: time.Now().Add(time.Second)}
	node.updateProgress(late)
	g.Expect(late.progress).To(Equal(dispatch.ProgressBehind))
	g.Expect(late.speedBias).To(Equal(1))
	retried := &requestState{attempts: 1, route: &routing.Route{Name: "route"}, prompt: make([]replica.Part, 2), finishBy: time.Now()}
	node.updateProgress(retried)
	g.Expect(retried.speedBias).To(BeZero())
}
