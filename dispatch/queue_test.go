package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newWaiting returns a turn that has waited for a time and has the given slack.
func newWaiting(id uint64, priority int, waited, slack time.Duration) *Waiting {
	return &Waiting{
		ID: id, Priority: priority, Since: epoch.Add(-waited), Until: epoch.Add(time.Second), Bytes: 10,
		SchedulingState: SchedulingState{HasFinish: true, Left: time.Second + slack, ExpectedRemaining: time.Second},
	}
}

// TestQueueInOrder checks that turns are served by priority, then by slack.
func TestQueueInOrder(t *testing.T) {
	g := NewWithT(t)
	queue := NewQueue(QueueLimits{Requests: 10, Bytes: 1000})
	for _, one := range []*Waiting{newWaiting(1, 1, 0, time.Second), newWaiting(2, 1, 0, 0), newWaiting(3, 0, 0, 2*time.Second), newWaiting(4, 1, 0, 0)} {
		g.Expect(queue.Join(epoch, one)).To(BeEmpty())
	}
	g.Expect(queue.Ahead(epoch, newWaiting(5, 0, 0, 3*time.Second))).To(Equal(1))
	var order []uint64
	for queue.Len() > 0 {
		first := queue.First(epoch)
		order = append(order, first.ID)
		g.Expect(queue.Leave(first.ID)).To(BeTrue())
		g.Expect(queue.Leave(first.ID)).To(BeFalse(), "it has left")
	}
	g.Expect(order).To(Equal([]uint64{3, 2, 4, 1}))
	g.Expect(queue.First(epoch)).To(BeNil())
}

// TestQueueIsBounded checks the limits on requests, bytes, turns of one tenant, and
// waiting time.
func TestQueueIsBounded(t *testing.T) {
	g := NewWithT(t)
	queue := NewQueue(QueueLimits{Requests: 4, Bytes: 100})
	for id := range uint64(4) {
		queue.Join(epoch, newWaiting(id, 1, 0, time.Duration(id)*time.Second))
	}
	g.Expect(idsOf(queue.Join(epoch, newWaiting(4, 0, 0, 0)))).To(Equal([]uint64{3}), "the last in the order gives way")
	g.Expect(idsOf(queue.Join(epoch, newWaiting(5, 2, 0, 0)))).To(Equal([]uint64{5}), "or the new one")
	large := newWaiting(6, 0, 0, 0)
	large.Bytes = 75
	g.Expect(idsOf(queue.Join(epoch, large))).To(ConsistOf(uint64(2), uint64(1)))
	g.Expect(idsOf(queue.Expire(epoch.Add(time.Second)))).To(ConsistOf(uint64(0), uint64(4), uint64(6)))
	g.Expect(queue.Len()).To(BeZero())

	for id := range uint64(3) {
		one := newWaiting(10+id, 1, 0, time.Duration(id)*time.Second)
		one.Tenant = "hot"
		want := []uint64(nil)
		if id == 2 {
			want = []uint64{12}
		}
		g.Expect(idsOf(queue.Join(epoch, one))).To(Equal(want), "a tenant leaves half of the places to others")
	}
	g.Expect(queue.Oldest(epoch.Add(time.Second))).To(Equal(time.Second))
}

func idsOf(list []*Waiting) []uint64 {
	var ids []uint64
	for _, one := range list {
		ids = append(ids, one.ID)
	}
	return ids
}
