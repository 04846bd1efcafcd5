package dispatch

import "time"

// Verdict is what happens to a turn that arrives while others are served.
type Verdict int

// The verdicts.
const (
	// VerdictRun: there is room, or as good as room.
	VerdictRun Verdict = iota
	// VerdictWait: room is expected in time.
	VerdictWait
	// VerdictRefuse: the turn cannot be served in time here, or would wait for longer
	// than its caller is better off asking again.
	VerdictRefuse
	verdicts
)

// String returns the verdict as logs and metrics name it.
func (v Verdict) String() string { return [verdicts]string{"run", "wait", "refuse"}[v] }

// Room is what is known of the room for a turn.
type Room struct {
	// Least is the number of requests by slots at the emptiest replica that may serve the
	// turn, below 1 where a place is free, and Mean that of all of them: what programs
	// under way need as well.
	Least, Mean float64
	// Pace is how many turns of this node end in a second, and give their places free; 0
	// where that is not known.
	Pace float64
	// Ahead is how many turns wait at this node that go before this one.
	Ahead int
}

// Admission is a verdict with what it rests on.
type Admission struct {
	Verdict Verdict
	// Expected is how long the turn waits for room as far as is known, and Bound how long
	// it may at most.
	Expected, Bound time.Duration
}

// maxNewUtilisation is how full the replicas are from which on new programs wait: a few requests
// that wait at a replica begin the moment that a place comes free there, and more programs
// than that make those under way wait, which have to come back for each of their turns.
const maxNewUtilisation = 1.1

const (
	// maxWait is how long a turn waits for room at most: a caller that is told to come
	// back is back by then.
	maxWait = 500 * time.Millisecond
	// deadlineWaitFraction is the part of what is left until the turn's deadline that it may wait:
	// the rest is for the turn itself, and a second try elsewhere.
	deadlineWaitFraction = 0.25
	// slackWaitFraction is the part of its program's slack that a turn may wait: the rest is for
	// the turns that follow, each of which may meet others.
	slackWaitFraction = 0.125
	// defaultExpectedWait is how long room is expected to take where nothing is known.
	defaultExpectedWait = 100 * time.Millisecond
)

// Free reports whether a new program need not wait.
func (r *Room) Free() bool { return r.Mean < maxNewUtilisation }

// Admit decides on a turn with a time left until its deadline. Programs under way go to a
// replica at once and wait there, in the order that replicas keep. New ones wait here if
// the replicas are full and room is expected within what they can bear. If not, they run
// where a place is free, and are refused on arrival where none is.
func Admit(room *Room, standing *Standing, left time.Duration) Admission {
	if standing.Begun || room.Free() && room.Ahead == 0 {
		return Admission{Verdict: VerdictRun}
	}
	expected := defaultExpectedWait
	if room.Pace > 0 {
		expected = time.Duration(float64(room.Ahead+1) / room.Pace * float64(time.Second))
	}
	bound := min(maxWait, time.Duration(float64(left)*deadlineWaitFraction))
	if slack := standing.Slack(); slack > 0 {
		bound = min(bound, time.Duration(float64(slack)*slackWaitFraction))
	}
	switch {
	case expected <= bound:
		return Admission{Verdict: VerdictWait, Expected: expected, Bound: bound}
	case room.Least < 1:
		return Admission{Verdict: VerdictRun, Expected: expected}
	default:
		return Admission{Verdict: VerdictRefuse, Expected: expected, Bound: bound}
	}
}

// AfterWait decides on a turn whose wait is over: it runs if a place is free by now.
func AfterWait(room *Room) Verdict {
	if room.Free() || room.Least < 1 {
		return VerdictRun
	}
	return VerdictRefuse
}
