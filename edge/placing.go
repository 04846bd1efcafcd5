package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
)

// turnEstimates holds this node's estimates of the length of turns and of the time that
// their programs have left. It is safe for concurrent use.
type turnEstimates struct {
	mutex   sync.Mutex
	lengths *dispatch.Lengths
	slack   *dispatch.Slack
}

func newTurnEstimates() *turnEstimates {
	return &turnEstimates{lengths: dispatch.NewLengths(), slack: dispatch.NewSlack()}
}

// updateProgress compares the program's progress with its finish time, and derives the
// request's preference for fast replicas from it. It counts each turn once.
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

// expectedTokens returns the expected number of output tokens of a turn, or 0 for other
// requests and if there is no estimate.
func (n *Node) expectedTokens(r *requestState) int {
	if len(r.prompt) == 0 {
		return 0
	}
	n.turnEstimates.mutex.Lock()
	defer n.turnEstimates.mutex.Unlock()
	return n.turnEstimates.lengths.Expected(r.routeName(), r.lengthHint, r.maxTokens)
}

// observeLength records the number of output tokens of a turn.
func (n *Node) observeLength(r *requestState) {
	n.turnEstimates.mutex.Lock()
	defer n.turnEstimates.mutex.Unlock()
	n.turnEstimates.lengths.Observe(time.Now(), r.routeName(), r.tokens)
}

// streamTimes records when the events of one answer arrived, to measure the replica's token
// time.
type streamTimes struct {
	// first and last are when the first and the last event with tokens arrived, and
	// firstTokens is the number of tokens including the first event.
	first, last time.Time
	firstTokens int
	// heldUntil is when this node resumed reading after it had waited for a record. Events
	// that arrived during the wait were read late, so that their times are unknown.
	heldUntil time.Time
}

// heldMargin is how long after such a wait the last event must arrive for the measurement
// to count, which shows that it was not buffered during the wait.
const heldMargin = 5 * time.Millisecond

// note records the arrival of an event.
func (s *streamTimes) note(now time.Time, tokens int) {
	if s.first.IsZero() {
		s.first, s.firstTokens = now, tokens
	}
	s.last = now
}

// tokenTime returns the mean time per token, or 0 if it was not measured.
func (s *streamTimes) tokenTime(tokens int) time.Duration {
	between := tokens - s.firstTokens
	if s.first.IsZero() || between <= 0 || s.last.Before(s.heldUntil.Add(heldMargin)) {
		return 0
	}
	return s.last.Sub(s.first) / time.Duration(between)
}

// observeTurn updates the estimates of the replica and the route from a complete answer.
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
