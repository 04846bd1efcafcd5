package edge

import (
	"time"

	"birchwood.example/birchwood/liveness"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/upstream"
)

// brokenRun is a run without a whole answer.
type brokenRun struct {
	request *requestState
	replica replica.Entry
	sentAt  time.Time
	endedAt time.Time
	cause   error
	// suspected is set if the replica's process counts as ended until it is shown to live.
	suspected bool
}

// newBrokenRun describes the end of a run.
func (n *Node) newBrokenRun(r *requestState, entry replica.Entry, sentAt time.Time, cause error) *brokenRun {
	broken := &brokenRun{request: r, replica: entry, sentAt: sentAt, endedAt: time.Now(), cause: cause}
	broken.suspected = broken.brokeOff() || n.isMarked(r) || n.processes.quiet(entry.ID, sentAt, broken.endedAt)
	return broken
}

// doubt returns the question whether the replica's process survived the end of the run.
func (b *brokenRun) doubt(decided func(liveness.Outcome, uint32)) *doubt {
	return &doubt{
		Doubt: liveness.NewDoubt(b.sentAt, b.endedAt), entry: b.replica, host: b.request.exchange.Host, counted: b.suspected, decided: decided,
	}
}

// brokeOff reports whether the run ended because the replica's side closed or reset the
// connection, as it does when its process ends.
func (b *brokenRun) brokeOff() bool {
	return upstream.BrokeOff(b.cause) && b.request.exchange.Cancel.Cause() == nil
}
