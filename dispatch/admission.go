package dispatch

import "time"

// Verdict is the admission decision on a turn that arrives under load.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the turn is sent to a replica now.
	VerdictRun Verdict = iota
	// VerdictWait: the turn waits at the node; capacity is expected in time.
	VerdictWait
	// VerdictRefuse: the turn cannot be served in time here, or would wait for longer than
	// a retry by its caller takes.
	VerdictRefuse
	verdicts
)

// String returns the label of the verdict in logs and metrics.
func (v Verdict) String() string { return [verdicts]string{"run", "wait", "refuse"}[v] }

// Utilisation describes the load that a turn meets: that of the replicas that may serve
// it, and of this node's queue.
type Utilisation struct {
	// Least is the number of requests per slot at the least loaded replica that may serve
	// the turn, below 1 if it has a free slot, and Mean that of all these replicas. Both
	// count the requests of started programs as well as new ones.
	Least, Mean float64
	// CompletionRate is how many of this node's turns end per second and free their slots;
	// 0 if unknown.
	CompletionRate float64
	// Ahead is how many turns queued at this node are served before this one.
	Ahead int
}

// Admission is a verdict with the times it is based on.
type Admission struct {
	Verdict Verdict
	// Expected is how long the turn is expected to wait for a slot, and Bound how long it
	// may wait at most.
	Expected, Bound time.Duration
}

// maxNewUtilisation is the mean number of requests per slot from which on new programs
// wait. It is above 1 because a few requests queued at a replica start as soon as a slot
// becomes free there. More than that would delay started programs, which need a slot again
// for each of their turns.
const maxNewUtilisation = 1.1

const (
	// maxWait is the longest wait for a slot: a caller that is refused instead has retried
	// by then.
	maxWait = 500 * time.Millisecond
	// deadlineWaitFraction is the fraction of the time to the turn's deadline that it may
	// wait: the rest is for running the turn and for a second try elsewhere.
	deadlineWaitFraction = 0.25
	// slackWaitFraction is the fraction of its program's slack that a turn may wait: the
	// rest is for the program's later turns, each of which may have to wait too.
	slackWaitFraction = 0.125
	// defaultExpectedWait is the expected wait if the completion rate is unknown.
	defaultExpectedWait = 100 * time.Millisecond
)

// AcceptsNew reports whether a new program can start without waiting.
func (r *Utilisation) AcceptsNew() bool { return r.Mean < maxNewUtilisation }

// Admit decides on a turn with the given time left until its deadline. Turns of started
// programs are sent to a replica at once and wait there, in the order that replicas keep.
// Turns of new programs wait at the node if the replicas are full and a slot is expected
// within the longest wait that the turn tolerates. Otherwise they run if a slot is free,
// and are refused on arrival if not.
func Admit(load *Utilisation, state *SchedulingState, left time.Duration) Admission {
	if state.Begun || load.AcceptsNew() && load.Ahead == 0 {
		return Admission{Verdict: VerdictRun}
	}
	expected := defaultExpectedWait
	if load.CompletionRate > 0 {
		expected = time.Duration(float64(load.Ahead+1) / load.CompletionRate * float64(time.Second))
	}
	bound := min(maxWait, time.Duration(float64(left)*deadlineWaitFraction))
	if slack := state.Slack(); slack > 0 {
		bound = min(bound, time.Duration(float64(slack)*slackWaitFraction))
	}
	switch {
	case expected <= bound:
		return Admission{Verdict: VerdictWait, Expected: expected, Bound: bound}
	case load.Least < 1:
		return Admission{Verdict: VerdictRun, Expected: expected}
	default:
		return Admission{Verdict: VerdictRefuse, Expected: expected, Bound: bound}
	}
}

// AfterWait decides on a turn whose wait has timed out: it runs if a slot is free by now.
func AfterWait(load *Utilisation) Verdict {
	if load.AcceptsNew() || load.Least < 1 {
		return VerdictRun
	}
	return VerdictRefuse
}
