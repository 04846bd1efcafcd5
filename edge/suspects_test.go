package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
)

// suspect is the request of these tests.
const suspect = quarantine.Fingerprint(5)

// aRun returns a run that has not begun.
func aRun(s *suspects) *flight {
	return s.newFlight(&requestState{fingerprint: suspect}, replica.Entry{ID: "i-x"})
}

// TestNextRunAfterAnEndNeedsPermission checks that a run that follows an end at the same node
// needs permission, although the control goroutine has not handled the report.
func TestNextRunAfterAnEndNeedsPermission(t *testing.T) {
	g := NewWithT(t)
	s := newSuspects("n", 1)
	now := time.Now()
	first, beside := aRun(s), aRun(s)
	g.Expect(s.begin(now, first)).To(BeTrue())
	g.Expect(s.begin(now, beside)).To(BeTrue())
	runs := s.breakOff(first, now)
	g.Expect(runs).To(HaveLen(2), "the end, and the run beside it")
	g.Expect(runs).To(ContainElement(And(HaveField("State", quarantine.StateEnded), HaveField("Suspected", true))))
	g.Expect(s.begin(now, aRun(s))).To(BeFalse())
	announced, marked := s.end(beside)
	g.Expect(announced && marked).To(BeTrue())
}

// TestRunsAtOneProcessCountOnce checks that only a replica that may start again under its ID counts
// again.
func TestRunsAtOneProcessCountOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSuspects("n", 1)
	broken := aRun(s)
	s.begin(time.Now(), broken)
	s.breakOff(broken, time.Now())
	g.Expect(aRun(s).run.Restarted).To(BeFalse())
	restarting := replica.Entry{ID: "i-x", Incarnation: 3}
	g.Expect(s.newFlight(&requestState{fingerprint: suspect}, restarting).run.Restarted).To(BeTrue())
}

// refused returns the change after which nothing of the request is sent.
func refused() *coordinator.QuarantineChange {
	return &coordinator.QuarantineChange{Refused: true, Status: quarantine.Status{Fingerprint: suspect, Ended: 3}}
}

// TestSharedRequestIsTriedAgain checks that a request without a program that replicas answered
// lately runs without permission until the limit, and is tried again after a time that doubles.
func TestSharedRequestIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSuspects("n", 1)
	now := time.Now()
	s.noteShared(now, suspect)
	s.apply(now, &coordinator.QuarantineChange{Status: quarantine.Status{Fingerprint: suspect, Ended: 1}})
	g.Expect(s.begin(now, aRun(s))).To(BeTrue())
	s.apply(now, refused())
	g.Expect(s.begin(now, aRun(s))).To(BeTrue(), "the first time costs nobody")
	g.Expect(s.dueReleases(now)).To(ConsistOf(suspect))
	for _, delay := range []time.Duration{sharedReleaseDelay, 2 * sharedReleaseDelay, 4 * sharedReleaseDelay} {
		s.apply(now, refused())
		g.Expect(s.begin(now, aRun(s))).To(BeFalse())
		g.Expect(s.dueReleases(now.Add(delay - time.Millisecond))).To(BeEmpty())
		now = now.Add(delay)
		g.Expect(s.dueReleases(now)).To(ConsistOf(suspect))
	}
	s.apply(now.Add(sharedLifetime), refused())
	g.Expect(s.dueReleases(now.Add(time.Hour))).To(BeEmpty(), "no replica answered it lately")
}

// TestSharedRequestIsKnownFromOtherNodes checks that an end carries that replicas answer the
// request, to nodes that have not seen an answer.
func TestSharedRequestIsKnownFromOtherNodes(t *testing.T) {
	g := NewWithT(t)
	seen, other := newSuspects("n", 1), newSuspects("m", 1)
	now := time.Now()
	seen.noteShared(now, suspect)
	broken := aRun(seen)
	seen.begin(now, broken)
	runs := seen.breakOff(broken, now)
	g.Expect(runs).To(ConsistOf(HaveField("Shared", true)))
	table := quarantine.NewTable(quarantine.DefaultConfig())
	table.Merge(now, runs)
	other.apply(now, &coordinator.QuarantineChange{Status: table.Status(suspect)})
	g.Expect(other.begin(now, aRun(other))).To(BeTrue())
}

// TestSharedAmong checks that requests are listed as those of many callers as long as an answer to
// them counts.
func TestSharedAmong(t *testing.T) {
	g := NewWithT(t)
	s := newSuspects("n", 1)
	now := time.Now()
	s.noteShared(now, suspect)
	asked := []quarantine.Fingerprint{suspect, suspect + 1}
	g.Expect(s.sharedAmong(now, asked)).To(ConsistOf(suspect))
	g.Expect(s.sharedAmong(now.Add(2*sharedLifetime), asked)).To(BeEmpty())
}

// TestSharedRequestsAreBounded checks that the memory of requests of many callers is bounded.
func TestSharedRequestsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newSuspects("n", 1)
	for number := range 2 * maxShared {
		s.noteShared(time.Now(), quarantine.Fingerprint(number))
	}
	g.Expect(s.shared).To(HaveLen(maxShared))
}

// TestSwitchOfTheQuarantine checks that runs are not tracked if that is switched off.
func TestSwitchOfTheQuarantine(t *testing.T) {
	g := NewWithT(t)
	for _, mechanism := range []Mechanism{QuarantineRequests, CacheChains} {
		settings := without(mechanism)
		settings.Quarantine = quarantine.Config{Limit: 1, Lifetime: time.Hour, MaxRequests: 7}
		node, err := New(settings, Adapter{}, quietLogger)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(node.suspects == nil).To(Equal(mechanism == QuarantineRequests), fmt.Sprint(mechanism))
	}
}
