package quarantine

import "time"

// Verdict is the decision on a run of a marked request.
type Verdict int

const (
	// VerdictGranted permits the run.
	VerdictGranted Verdict = iota
	// VerdictCrowded means that a run of another marked request is at the replica. Another
	// replica may be tried.
	VerdictCrowded
	// VerdictUnsettled means that runs that have not ended, or of which it is not known whether
	// their replica did, use up the limit.
	VerdictUnsettled
	// VerdictLimit means that as many replicas have ended as the limit permits.
	VerdictLimit
	// VerdictUnknown means that too few nodes answered to decide.
	VerdictUnknown
	verdicts
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return [verdicts]string{"granted", "crowded", "unsettled", "limit reached", "not known"}[v]
}

// Decide decides on a run that the table has as running. Nodes that decide on two runs of one
// request at the same time each see the other one, so that at most one of them is granted beyond
// what the limit leaves. Of the runs of two requests at one replica, the first by ID stays,
// unless they may share it.
func (t *Table) Decide(now time.Time, run *Run, mayShare bool) Verdict {
	others := t.statusWithout(run.Fingerprint, run.ID)
	switch {
	case others.Ended >= t.config.Limit:
		return VerdictLimit
	case others.Counted() >= t.config.Limit:
		return VerdictUnsettled
	}
	if mayShare {
		return VerdictGranted
	}
	for _, other := range t.RunningAt(now, run.Replica) {
		if other.Fingerprint != run.Fingerprint && other.ID.compare(run.ID) < 0 {
			return VerdictCrowded
		}
	}
	return VerdictGranted
}

// ReachedLimit reports whether nothing of a request may be sent.
func (t *Table) ReachedLimit(status *Status) bool { return status.Ended >= t.config.Limit }

// Unsettled reports whether the runs that count use up the limit.
func (t *Table) Unsettled(status *Status) bool { return status.Counted() >= t.config.Limit }
