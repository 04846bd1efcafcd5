package promise_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/soak/promise"
)

// streamEvents returns the events of a stream from one number to another, as a version writes
// them in the answer to a request.
func streamEvents(id, version string, first, last int) (text string) {
	for event := first; event <= last; event++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", event, promise.EventData(id, version, event))
	}
	return text
}

// resumable sends a request for a stream of four events and answers it.
func (w *harness) resumable(resumes string, after, status int, body func(id string) string) string {
	w.next++
	id := fmt.Sprintf("s-%d", w.next)
	w.observe(10*time.Millisecond, promise.Sent{
		ID: id, Node: "n", Tenant: "a", Key: "k", Program: id, Events: 4, Budget: 1000, MaxTokens: 40, MustServe: true, Repeatable: true,
		Resumes: resumes, After: after,
	})
	answer := promise.Answered{ID: id, Status: status}
	if status == 200 {
		w.observe(10*time.Millisecond, promise.Ran{ID: id, Replica: "r1", Tenant: "a"})
		answer.Body = body(id)
	}
	w.observe(10*time.Millisecond, answer)
	return id
}

var _ = Describe("A checker of streams", func() {
	var w *harness
	BeforeEach(func() {
		w = newHarness()
		w.observe(time.Second, promise.Serving{Replica: "r1", Version: "v1"}, promise.Serving{Replica: "r2", Version: "v1"},
			promise.Serving{Replica: "r3", Version: "v2"})
	})
	begin := func() string {
		return w.resumable("", 0, 200, func(id string) string { return streamEvents(id, "v1", 1, 2) })
	}

	It("allows a stream that goes on at its version", func() {
		w.resumable(begin(), 2, 200, func(id string) string { return streamEvents(id, "v1", 3, 4) })
		Expect(w.found).To(BeEmpty())
	})

	It("finds events of two versions over a client's tries", func() {
		w.resumable(begin(), 2, 200, func(id string) string { return streamEvents(id, "v2", 3, 4) })
		Expect(w.found).To(ConsistOf(promise.OneVersion))
	})

	It("finds events of two versions in one answer", func() {
		w.resumable("", 0, 200, func(id string) string { return streamEvents(id, "v1", 1, 2) + streamEvents(id, "v2", 3, 4) })
		Expect(w.found).To(ContainElement(promise.OneVersion))
	})

	It("finds a resumed stream that repeats an event, or leaves one out", func() {
		first := begin()
		w.resumable(first, 2, 200, func(id string) string { return streamEvents(id, "v1", 2, 4) })
		w.resumable(first, 2, 200, func(id string) string { return streamEvents(id, "v1", 4, 4) })
		Expect(w.found).To(Equal([]promise.Promise{promise.WholeAnswers, promise.WholeAnswers}))
	})

	It("finds that resumed streams go on less than half as often as new ones begin", func() {
		for range 20 {
			w.resumable(begin(), 2, 503, nil)
		}
		Expect(w.found).To(ContainElement(promise.StreamsResumed))
	})

	It("allows that as few go on as begin, or that no two replicas of their version serve", func() {
		first := begin()
		for index := range 20 {
			status := map[bool]int{true: 200, false: 503}[index%5 == 0]
			w.resumable("", 0, status, func(id string) string { return streamEvents(id, "v1", 1, 4) })
			w.resumable(first, 2, status, func(id string) string { return streamEvents(id, "v1", 3, 4) })
		}
		Expect(w.found).NotTo(ContainElement(promise.StreamsResumed))
		w = newHarness()
		w.observe(time.Second, promise.Serving{Replica: "r1", Version: "v1"})
		for range 20 {
			w.resumable(begin(), 2, 503, nil)
		}
		Expect(w.found).NotTo(ContainElement(promise.StreamsResumed))
	})
})
