package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
)

// placing guards what this node has learnt of turns: how long they are, and how much time
// their programs have.
type placing struct {
	mutex   sync.Mutex
	lengths *dispatch.Lengths
	slack   *dispatch.Slack
}

func newPlacing() *placing {
	return &placing{lengths: dispatch.NewLengths(), slack: dispatch.NewSlack()}
}

// noteProgress notes how the request's program stands against its time, and how the request
// takes the fast replicas of its service by that. A turn is noted once.
func (n *Node) noteProgress(r *requestState) {
	if len(r.prompt) == 0 || r.attempts > 0 {
		return
	}
	n.placing.mutex.Lock()
	defer n.placing.mutex.Unlock()
	now := time.Now()
	r.progress = dispatch.ProgressEven
	if !r.finish.IsZero() {
		r.progress = n.placing.slack.Observe(r.routeName(), len(r.prompt), r.finish.Sub(now))
	}
	r.haste = n.placing.slack.SpeedBias(now, r.service, r.priority(), r.progress)
}

// expectedTokens returns how many tokens a turn will have, or 0 for other requests and
// where nothing is known.
func (n *Node) expectedTokens(r *requestState) int {
	if len(r.prompt) == 0 {
		return 0
	}
	n.placing.mutex.Lock()
	defer n.placing.mutex.Unlock()
	return n.placing.lengths.Expected(r.routeName(), r.expected, r.most)
}

// observeLength takes in how many tokens a turn had.
func (n *Node) observeLength(r *requestState) {
	n.placing.mutex.Lock()
	defer n.placing.mutex.Unlock()
	n.placing.lengths.Observe(time.Now(), r.routeName(), r.tokens)
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
func (s *streamTimes) token(tokens int) time.Duration {
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
	token := t.times.token(r.tokens)
	if token <= 0 || t.runs > 1 {
		return
	}
	sample := replica.Sample{Load: r.choice.Load, Token: token, UncachedTokens: r.choice.UncachedTokens, TimeToFirstEvent: t.times.first.Sub(r.sentAt)}
	if paces, known := n.replicas.observe(entry, sample); known {
		n.metrics.paced(entry.Service, paces)
	}
	if r.choice.Predicted > 0 {
		n.metrics.predicted(r.choice.Predicted, t.times.last.Sub(r.sentAt))
	}
}
