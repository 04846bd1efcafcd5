package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// fullNode returns a node with one replica, which has one slot and runs two requests. Tests
// serve the queue themselves.
func fullNode(g *WithT, settings Settings) *Node {
	node := &Node{
		settings: settings, logger: quietLogger, metrics: newMetrics(nil), replicas: newReplicas(&settings), waitQueue: newWaitQueue(&settings),
		scheduling: newScheduling(),
	}
	// No goroutine serves the queue.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	node.ctx = ctx
	node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
	for range 2 {
		_, err := node.replicas.choose(&replica.Request{Service: "s"})
		g.Expect(err).NotTo(HaveOccurred())
	}
	return node
}

// freshTurn returns the first turn of a program.
func freshTurn() *requestState {
	return &requestState{
		service: "s", route: &routing.Route{}, exchange: &ingress.Exchange{Cancel: &upstream.Cancel{}}, deadline: time.Now().Add(time.Hour),
		admission: ledger.Admission{Verdict: ledger.VerdictGranted, NewProgram: true},
	}
}

// join queues a turn, and returns the channel of its verdict.
func join(g *WithT, node *Node, r *requestState) chan dispatch.Verdict {
	now := time.Now()
	entry := &dispatch.Waiting{SchedulingState: *r.schedulingState(now), Since: now, Bytes: 1}
	admission, verdict := node.enqueue(now, r, entry)
	g.Expect(admission.Verdict).To(Equal(dispatch.VerdictWait))
	return verdict
}

// TestWaitForCapacity checks that a new program waits until a slot is free. A request whose
// client leaves, or whose wait expires, is refused.
func TestWaitForCapacity(t *testing.T) {
	g := NewWithT(t)
	node := fullNode(g, Settings{})
	waits := join(g, node, freshTurn())
	g.Expect(node.serveQueue(time.Now())).To(BeTrue())
	g.Expect(waits).To(BeEmpty())
	leaver := freshTurn()
	leaves := join(g, node, leaver)
	leaver.exchange.Cancel.Trigger(ingress.ErrClientGone)
	g.Expect(node.serveQueue(time.Now())).To(BeTrue())
	g.Expect(<-leaves).To(Equal(dispatch.VerdictRefuse))
	node.replicas.ended("r", replica.ResultAnswered)
	g.Expect(node.serveQueue(time.Now())).To(BeFalse())
	g.Expect(<-waits).To(Equal(dispatch.VerdictRun))
	_, err := node.replicas.choose(&replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	over := join(g, node, freshTurn())
	g.Expect(node.serveQueue(time.Now().Add(time.Minute))).To(BeFalse())
	g.Expect(<-over).To(Equal(dispatch.VerdictRefuse))
	g.Expect(node.waitQueue.requests).To(BeEmpty())
}

// TestWaitEndsWithTheRequest checks that a request that ends while it waits is removed from
// the queue.
func TestWaitEndsWithTheRequest(t *testing.T) {
	g := NewWithT(t)
	node := fullNode(g, Settings{})
	verdict := join(g, node, freshTurn())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(node.awaitVerdict(ctx, 1, verdict)).To(Equal(dispatch.VerdictRefuse))
	g.Expect(node.waitQueue.requests).To(BeEmpty())
	g.Expect(node.waitQueue.queue.Len()).To(BeZero())
}

// TestTurnsThatNeedNotWait checks that started programs never wait, and new ones do not
// wait at full replicas if refusals are switched off.
func TestTurnsThatNeedNotWait(t *testing.T) {
	g := NewWithT(t)
	node := fullNode(g, Settings{})
	started := freshTurn()
	started.admission.NewProgram = false
	g.Expect(node.awaitCapacity(context.Background(), started, 0)).To(BeTrue())
	node = fullNode(g, without(RefuseWhenFull))
	g.Expect(node.awaitCapacity(context.Background(), freshTurn(), 0)).To(BeTrue())
}

// TestWaitForCapacityOff checks that no request is queued if the mechanism is switched off.
func TestWaitForCapacityOff(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(QueueNewPrograms)} {
		node := fullNode(g, settings)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			// The answer panics, since the exchange has no connection.
			defer func() { _ = recover() }()
			node.awaitCapacity(ctx, freshTurn(), 0)
		}()
		waits := func() int {
			node.waitQueue.mutex.Lock()
			defer node.waitQueue.mutex.Unlock()
			return node.waitQueue.queue.Len()
		}
		if settings.uses(QueueNewPrograms) {
			g.Eventually(waits).WithTimeout(time.Minute).Should(Equal(1))
		}
		cancel()
		g.Eventually(ended).WithTimeout(time.Minute).Should(BeClosed())
		g.Expect(waits()).To(BeZero())
	}
}
