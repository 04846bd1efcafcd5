package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
)

// placing guards what this node has learnt of turns: how long they are, and how much time
// their programs have.
type turnEstimates struct {
	mutex   sync.Mutex
	lengths *dispatch.Lengths
	slack   *dispatch.Slack
}

func newTurnEstimates() *turnEstimates {
	return &turnEstimates{lengths: dispatch.NewLengths(), slack: dispatch.NewSlack()}
}

// noteProgress notes how the request's program stands against its time, and how the request
// takes the fast replicas of its service by that. A turn is noted once.
func (n *Node) updateProgress(r *requestState) {
	if len(r.prompt) == 0 || r.attempts > 0 {
		return
	}
	n.turnEstimates.mutex.Lock()
	defer n.turnEstimates.mutex.Unlock()
	now := time.Now()
	r.progress = dispatch.ProgressEven
	if !r.finishBy.IsZero() {
		r.progress = n.turnEstimates.slack.Observe(r.routeName(), len(r.prompt), r.finishBy.Sub(now))
	}
	r.speedBias = n.turnEstimates.slack.SpeedBias(now, r.service, r.priority(), r.progress)
}

// expectedTokens returns how many tokens a turn will have, or 0 for other requests and
// where nothing is known.
func (n *Node) expectedTokens(r *requestState) int {
	if len(r.prompt) == 0 {
		return 0
	}
	n.turnEstimates.mutex.Lock()
	defer n.turnEstimates.mutex.Unlock()
	return n.turnEstimates.lengths.Expected(r.routeName(), r.lengthHint, r.maxTokens)
}

// observeLength takes in how many tokens a turn had.
func (n *Node) observeLength(r *requestState) {
	n.turnEstimates.mutex.Lock()
	defer n.turnEstimates.mutex.Unlock()
	n.turnEstimates.lengths.Observe(time.Now(), r.routeName(), r.tokens)
}

// streamTimes follows when the events of one answer came, for the pace of its replica.
type streamTimes struct {
	// first and last are when the first and the last event that holds tokens came, and
	// firstTokens how many the answer had with the first.
	first, last time.Time
	firstTokens int
	// heldUntil is when this node began to read on after it had waited for a record:
	// what came meanwhile says nothing of when it did.
	heldUntil time.Time
}

// heldMargin is how long after such a wait the last event has to come: it was not
// among those that had come before.
const heldMargin = 5 * time.Millisecond

// note takes in that an event came.
func (s *streamTimes) note(now time.Time, tokens int) {
	if s.first.IsZero() {
		s.first, s.firstTokens = now, tokens
	}
	s.last = now
}

// token returns the time of a token, or 0 where that was not measured.
func (s *streamTimes) tokenTime(tokens int) time.Duration {
	between := tokens - s.firstTokens
	if s.first.IsZero() || between <= 0 || s.last.Before(s.heldUntil.Add(heldMargin)) {
		return 0
	}
	return s.last.Sub(s.first) / time.Duration(between)
}

// observeTurn takes in what a whole answer says of its replica and of its route.
func (t *turnRun) observeTurn(entry replica.Entry) {
	r, n := t.request, t.node
	n.observeLength(r)
	tokenTime := t.times.tokenTime(r.tokens)
	if tokenTime <= 0 || t.runs > 1 {
		return
	}
	sample := replica.Sample{Load: r.choice.Load, Token: tokenTime, UncachedTokens: r.choice.UncachedTokens, TimeToFirstEvent: t.times.first.Sub(r.sentAt)}
	if tokenTimes, known := n.replicas.observe(entry, sample); known {
		n.metrics.setTokenTimes(entry.Service, tokenTimes)
	}
	if r.choice.Predicted > 0 {
		n.metrics.predicted(r.choice.Predicted, t.times.last.Sub(r.sentAt))
	}
}
