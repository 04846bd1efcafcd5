package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/liveness"
	"birchwood.example/birchwood/replica"
)

// watchedEntry is the replica of these tests.
var watchedEntry = replica.Entry{ID: "i-x", Incarnation: 3}

// outcomes collects the reports of a doubt about a run that ended at a time.
func watchRun(p *processes, endedAt time.Time) (d *doubt, outcomes *[]liveness.Outcome) {
	outcomes = new([]liveness.Outcome)
	d = &doubt{
		Doubt: liveness.NewDoubt(endedAt.Add(-time.Second), endedAt), entry: watchedEntry, counted: true,
		decided: func(outcome liveness.Outcome, revision uint32) {
			if int(revision) == len(*outcomes)+1 {
				*outcomes = append(*outcomes, outcome)
			}
		},
	}
	p.add(d)
	return d, outcomes
}

// answered reports an answer on a connection from before the run, to a request sent at a time.
func answered(p *processes, entry replica.Entry, sentAt time.Time) {
	report(p.observe(entry, func(d *doubt) { d.Observe(liveness.Sign{SentAt: sentAt}) }))
}

// TestWrongProofIsTakenBack checks that a process that ends soon after it seemed to live counts as
// ended again, and that nothing is taken back once it outlived the run.
func TestWrongProofIsTakenBack(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses()
	end := time.Now()
	_, outcomes := watchRun(p, end)
	answered(p, watchedEntry, end.Add(time.Millisecond))
	g.Expect(*outcomes).To(BeEmpty(), "an ending process answers too")
	answered(p, watchedEntry, end.Add(liveness.SettleDelay))
	g.Expect(*outcomes).To(Equal([]liveness.Outcome{liveness.Survived}))
	report(p.observe(watchedEntry, func(d *doubt) { d.ObserveGone() }))
	g.Expect(*outcomes).To(Equal([]liveness.Outcome{liveness.Survived, liveness.Ended}))
	answered(p, watchedEntry, end.Add(liveness.AttributionWindow))
	g.Expect(*outcomes).To(Equal([]liveness.Outcome{liveness.Survived, liveness.Ended, liveness.Outlived}))
}

// TestOnlyNewsIsReported checks that a process that lives is reported once, and not at all if nobody
// counts it as ended.
func TestOnlyNewsIsReported(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses()
	end := time.Now()
	_, counted := watchRun(p, end)
	uncounted, others := watchRun(p, end)
	uncounted.counted = false
	answered(p, watchedEntry, end.Add(liveness.SettleDelay))
	answered(p, watchedEntry, end.Add(liveness.AttributionWindow))
	g.Expect(*counted).To(Equal([]liveness.Outcome{liveness.Survived}))
	g.Expect(*others).To(BeEmpty())
}

// TestSuccessorsAnswerProvesNothing checks that the process of another entry decides no doubt.
func TestSuccessorsAnswerProvesNothing(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses()
	end := time.Now()
	_, outcomes := watchRun(p, end)
	successor := watchedEntry
	successor.Incarnation++
	answered(p, successor, end.Add(time.Minute))
	g.Expect(*outcomes).To(BeEmpty())
}

// TestStepsOfACheck checks that a process is connected to at once, probed when a sign would decide,
// and left alone once the outcome is final.
func TestStepsOfACheck(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses()
	end := time.Now()
	_, _ = watchRun(p, end)
	next := func(after time.Duration) (processStep, time.Time) {
		step, _, until, _ := p.next(end.Add(after), watchedEntry.ID)
		return step, until
	}
	step, _ := next(0)
	g.Expect(step).To(Equal(stepConnect))
	step, until := next(0)
	g.Expect(step).To(Equal(stepWait))
	g.Expect(until).To(Equal(end.Add(liveness.SettleDelay)))
	step, _ = next(liveness.SettleDelay)
	g.Expect(step).To(Equal(stepProbe))
	step, until = next(liveness.SettleDelay)
	g.Expect(step).To(Equal(stepWait))
	g.Expect(until).To(Equal(end.Add(liveness.SettleDelay + probePause)))
	answered(p, watchedEntry, end.Add(liveness.SettleDelay))
	step, until = next(liveness.SettleDelay)
	g.Expect(step).To(Equal(stepWait))
	g.Expect(until).To(Equal(end.Add(liveness.AttributionWindow)))
	answered(p, watchedEntry, end.Add(liveness.AttributionWindow))
	step, _ = next(liveness.AttributionWindow)
	g.Expect(step).To(Equal(stepEnd))
}

// TestDoubtIsGivenUp checks that a process of which nothing is heard is watched for a bounded time.
func TestDoubtIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses()
	end := time.Now()
	d, outcomes := watchRun(p, end)
	step, _, _, abandoned := p.next(end.Add(doubtLifetime), watchedEntry.ID)
	g.Expect(step).To(Equal(stepEnd))
	g.Expect(abandoned).To(ConsistOf(d))
	g.Expect(*outcomes).To(BeEmpty())
}

// TestQuietReplica checks that a replica is quiet only if a run had time to end and nothing was
// heard meanwhile.
func TestQuietReplica(t *testing.T) {
	g := NewWithT(t)
	p := newProcesses()
	now := time.Now()
	g.Expect(p.quiet(watchedEntry.ID, now, now.Add(quietAfter-time.Millisecond))).To(BeFalse())
	g.Expect(p.quiet(watchedEntry.ID, now, now.Add(quietAfter))).To(BeTrue())
	p.hear(watchedEntry.ID, now.Add(time.Millisecond))
	g.Expect(p.quiet(watchedEntry.ID, now, now.Add(quietAfter))).To(BeFalse())
	p.forget(watchedEntry.ID)
	g.Expect(p.quiet(watchedEntry.ID, now, now.Add(quietAfter))).To(BeTrue())
}

// TestLeavingReplicaServesOn checks that a process that may serve on without an entry has ended only
// once another one is in its place.
func TestLeavingReplicaServesOn(t *testing.T) {
	g := NewWithT(t)
	node := &Node{processes: newProcesses(), logger: quietLogger}
	d, outcomes := watchRun(node.processes, time.Now())
	d.servesUnlisted = true
	node.entryGone(watchedEntry)
	g.Expect(*outcomes).To(BeEmpty())
	node.processGone(watchedEntry, "another process is listed")
	g.Expect(*outcomes).To(Equal([]liveness.Outcome{liveness.Ended}))
}
