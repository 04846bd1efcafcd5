package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/liveness"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
)

const (
	// announceTimeout bounds how long an answer is held until all live nodes know that a
	// replica may have ended under its request: several round trips between zones.
	announceTimeout = 60 * time.Millisecond
	// permissionTimeout bounds how long a run of a marked request waits for the other nodes.
	permissionTimeout = 200 * time.Millisecond
	// maxCrowded is how many replicas at which other marked requests run are passed over before
	// one of them is taken.
	maxCrowded = 3
	// restartPause is how long a request waits each time before it runs beside another marked one
	// at a replica that may have started again.
	restartPause = 30 * time.Millisecond
	// settlePoll is the longest time between two looks at a request whose runs use up its limit.
	settlePoll = 100 * time.Millisecond
	// unsettledWait is how long a request waits for that: until a process that does not answer is
	// known by its entry.
	unsettledWait = 4 * time.Second
)

// errQuarantined means that as many replicas ended under the request as may.
var errQuarantined = errors.New("replicas ended under earlier runs of the request, and it is sent to no other")

// errUnsettled means that earlier runs of the request use up what may end under it, and some
// have not ended yet.
var errUnsettled = errors.New("whether an earlier run of the request ends its replica is not known yet")

// identity returns what the request has in common with its other tries.
func (n *Node) identity(r *requestState) *quarantine.Identity {
	identity := &quarantine.Identity{
		Program: r.exchange.Field(n.adapter.Names.Program),
		Route:   r.route.Name, Method: r.exchange.Method, Target: r.exchange.Target, Previous: r.previous, Body: r.exchange.Body,
	}
	if r.tenant != nil {
		identity.Tenant = r.tenant.Name
	}
	return identity
}

// rejectQuarantined answers a request of which nothing may be sent, and reports whether it is
// one.
func (n *Node) rejectQuarantined(r *requestState) bool {
	if n.suspects == nil {
		return false
	}
	if change, marked := n.suspects.status(r.fingerprint); !marked || !change.Refused {
		return false
	}
	n.refuse(r, n.quarantineRefusal(r), errQuarantined.Error())
	return true
}

// quarantineRefusal returns the refusal of a request under which replicas ended.
func (n *Node) quarantineRefusal(r *requestState) dispatch.Refusal {
	change, _ := n.suspects.status(r.fingerprint)
	return dispatch.Refusal{Cause: dispatch.CauseQuarantined, EndsIn: max(time.Until(change.Status.ExpiresAt), 0)}
}

// beginRun registers a run at the selected replica. Of a marked request, it waits for
// permission.
func (n *Node) beginRun(r *requestState, choice *replica.Choice, mayShare bool) quarantine.Verdict {
	if n.suspects == nil {
		return quarantine.VerdictGranted
	}
	f := n.suspects.newFlight(r, choice.Entry)
	if n.suspects.begin(time.Now(), f) {
		r.flight = f
		return quarantine.VerdictGranted
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(n.ctx, r.timeLeft())
	defer cancel()
	decided := n.control.requestRun(ctx, coordinator.RunRequested{Run: f.run, MayShare: mayShare, Timeout: permissionTimeout})
	took := time.Since(start)
	n.metrics.runDecided(decided.Verdict, took)
	n.logger.Info().Str("request", r.id).Str("fingerprint", r.fingerprint.String()).Str("replica", f.run.Replica).Bool("restarted", f.run.Restarted).
		Str("verdict", decided.Verdict.String()).Int("ended", decided.Status.Ended).Int("suspected", decided.Status.Suspected).Int("lost", decided.Status.Lost).Int("running", decided.Status.Running).
		Int("answered", decided.Answered).Int("asked", decided.Asked).Dur("took", took).Msg("quarantine: run decided")
	if decided.Verdict == quarantine.VerdictGranted {
		n.suspects.beginPermitted(f)
		r.flight = f
	}
	return decided.Verdict
}

// awaitSettled waits until the runs of a marked request no longer use up its limit, or a time. It
// returns false if they still do.
func (n *Node) awaitSettled(r *requestState, until time.Time) bool {
	for time.Now().Before(until) {
		changed := n.suspects.nextChange()
		change, _ := n.suspects.status(r.fingerprint)
		if change.Refused {
			return true
		}
		if change.Unsettled && change.Status.Open() == 0 {
			// Nobody will know more.
			return false
		}
		if !waitUntil(n.ctx, minTime(until, time.Now().Add(settlePoll)), changed) {
			return false
		}
		if change, _ = n.suspects.status(r.fingerprint); !change.Unsettled {
			return true
		}
	}
	return false
}

// awaitRestart waits before a request that may run at one replica only is sent there beside
// another marked one. If the replica has ended and started again under its ID, the other run may
// end it once more, or its new entry arrives and the request may run elsewhere.
func (n *Node) awaitRestart(r *requestState) {
	if r.onlyReplica == "" || r.onlyIncarnation == 0 {
		return
	}
	wait.For(n.ctx, min(restartPause, r.timeLeft()))
}

// runServed ends a run that brought a whole answer.
func (n *Node) runServed(r *requestState, f *flight) {
	if f == nil {
		return
	}
	reason := coordinator.ReleaseAnswered
	if r.exchange.Field(n.adapter.Names.Program) == "" {
		n.suspects.noteShared(time.Now(), f.run.Fingerprint)
		reason = coordinator.ReleaseShared
	}
	announced, marked := n.suspects.end(f)
	if announced {
		n.clearRuns(f.run)
	}
	if marked {
		n.control.post(coordinator.RequestReleased{Fingerprint: f.run.Fingerprint, Reason: reason})
	}
}

// runEnded ends a run that did not end its replica.
func (n *Node) runEnded(f *flight) {
	if f == nil {
		return
	}
	if announced, _ := n.suspects.end(f); announced {
		n.clearRuns(f.run)
	}
}

// clearRuns reports that replicas did not end under runs.
func (n *Node) clearRuns(runs ...quarantine.Run) {
	if len(runs) == 0 {
		return
	}
	for index := range runs {
		runs[index].State = quarantine.StateCleared
	}
	n.control.post(coordinator.RunsReported{Runs: runs})
}

// runFailed ends a run without a whole answer. If its replica may have ended, all nodes are
// told, and the answer to the client waits for that.
func (n *Node) runFailed(r *requestState, f *flight, broken *brokenRun) {
	n.metrics.runBroken(broken.suspected)
	n.logger.Info().Str("request", r.id).Str("fingerprint", r.fingerprint.String()).Str("replica", string(broken.replica.ID)).
		Uint64("incarnation", broken.replica.Incarnation).Dur("ranFor", broken.endedAt.Sub(broken.sentAt)).Bool("brokeOff", broken.brokeOff()).
		Bool("suspected", broken.suspected).Err(broken.cause).Msg("request: run without an answer")
	if f == nil {
		return
	}
	if broken.suspected {
		runs := n.suspects.breakOff(f, broken.endedAt)
		r.announced = n.control.reportRuns(coordinator.RunsReported{Runs: runs, Timeout: announceTimeout})
	} else {
		n.runEnded(f)
	}
	n.watch(broken.doubt(func(outcome liveness.Outcome, revision uint32) { n.runDecided(f, outcome, revision) }))
}

// runDecided reports what became of the replica's process after a run without an answer.
func (n *Node) runDecided(f *flight, outcome liveness.Outcome, revision uint32) {
	n.metrics.processDecided(outcome)
	n.logger.Info().Str("run", f.run.ID.String()).Str("fingerprint", f.run.Fingerprint.String()).Str("replica", f.run.Replica).
		Uint64("incarnation", f.replica.Incarnation).Str("process", outcome.String()).Uint32("revision", revision).Msg("quarantine: process of a run")
	run := f.run
	run.Revision, run.State = revision, quarantine.StateEnded
	if outcome.Lives() {
		run.State = quarantine.StateCleared
	}
	n.control.post(coordinator.RunsReported{Runs: []quarantine.Run{run}})
}

// logQuarantine logs what is new of a marked request.
func (n *Node) logQuarantine(change *coordinator.QuarantineChange) {
	n.metrics.quarantineChanged(change, n.suspects.count())
	status := &change.Status
	entry := n.logger.Info()
	if change.From != n.self.ID && !change.Refused {
		// The node that reported it logs it.
		entry = n.logger.Debug()
	}
	entry = entry.Str("fingerprint", status.Fingerprint.String()).Str("tenant", status.Tenant).Str("from", string(change.From))
	if change.Reason != "" {
		entry.Str("reason", string(change.Reason)).Msg("quarantine: released")
		return
	}
	entry.Int("ended", status.Ended).Int("suspected", status.Suspected).Int("lost", status.Lost).Strs("endedAt", status.EndedAt).Int("running", status.Running).Strs("runningAt", status.RunningAt).
		Bool("refused", change.Refused).Dur("expires", time.Until(status.ExpiresAt)).Msg("quarantine: marked")
}
