package coordinator

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/quarantine"
)

// QuarantineMessage is a message between nodes about requests that may end their replicas.
type QuarantineMessage struct {
	// Number correlates an answer with the message that it answers; 0 for none.
	Number uint64 `json:"number,omitempty"`
	Answer bool   `json:"answer,omitempty"`
	// All asks for the runs of all tracked requests, or marks the answer that carries them.
	// Complete is set in that answer if the sender has them from its peers itself.
	All      bool `json:"all,omitempty"`
	Complete bool `json:"complete,omitempty"`
	// Runs are all known runs of the requests that the message is about.
	Runs []quarantine.Run `json:"runs,omitempty"`
	// Replicas are those at which the sender is about to run a marked request. The answer has
	// the runs of marked requests there.
	Replicas []string `json:"replicas,omitempty"`
}

// RunsReported carries runs of this node whose state is new. With an ID, a RunsAnnounced
// follows.
type RunsReported struct {
	ID      uint64
	Runs    []quarantine.Run
	Timeout time.Duration
}

// RunRequested requests permission for a run of a marked request. A RunDecided follows.
type RunRequested struct {
	ID  uint64
	Run quarantine.Run
	// MayShare permits the run at a replica where another marked request runs.
	MayShare bool
	Timeout  time.Duration
}

// RequestReleased clears all runs of a request, which an operator released. Of a request that a
// replica answered, the ends are kept for a while: its caller may not have received the answer.
type RequestReleased struct {
	Fingerprint quarantine.Fingerprint
	Reason      ReleaseReason
}

// ReleaseReason is why a request is no longer marked.
type ReleaseReason string

// The reasons of a release.
const (
	ReleaseAnswered ReleaseReason = "answered"
	ReleaseOperator ReleaseReason = "operator"
	// ReleaseShared: many callers send the request, and replicas have answered it lately.
	ReleaseShared  ReleaseReason = "shared"
	ReleaseExpired ReleaseReason = "expired"
	// ReleaseCleared: the last run that counted did not end its replica, or another node
	// released the request.
	ReleaseCleared ReleaseReason = "cleared"
)

// QuarantineQuery instructs the driver to list this node's runs of the given requests that have
// not ended. A RunsListed answers it.
type QuarantineQuery struct {
	From         machine.Machine
	Number       uint64
	Fingerprints []quarantine.Fingerprint
	// Runs are those that the other node announced.
	Runs     []quarantine.Run
	Replicas []string
}

// RunsListed answers a QuarantineQuery.
type RunsListed struct {
	Query QuarantineQuery
	Runs  []quarantine.Run
	// Shared are those of the requests that name no program and that a replica answered lately.
	Shared []quarantine.Fingerprint
}

// RunsAnnounced reports that the runs of a RunsReported are known to all live nodes but
// Unanswered of them.
type RunsAnnounced struct {
	ID         uint64
	Unanswered int
}

// RunDecided answers a RunRequested.
type RunDecided struct {
	ID      uint64
	Verdict quarantine.Verdict
	// Status is what is known of the request, and Answered of Asked nodes took part.
	Status   quarantine.Status
	Answered int
	Asked    int
}

// QuarantineChange reports that something new is known of a request.
type QuarantineChange struct {
	Status quarantine.Status
	// Refused is set if nothing of the request may be sent, and Unsettled if that depends on runs
	// that have not ended or of which it is not known whether their replica did.
	Refused   bool
	Unsettled bool
	// Reason is why the request is no longer marked; "" while it is.
	Reason ReleaseReason
	// From is the node that reported it.
	From machine.ID
}

const (
	// quarantineResendInterval is the time after which a message is sent again to the nodes
	// that have not answered: some round trips between zones. It doubles with each resend, at
	// most maxResendDoublings times: nodes that were killed do not answer until they are found
	// dead.
	quarantineResendInterval = 20 * time.Millisecond
	maxResendDoublings       = 5
	// quarantineTimeout is how long a message is sent again. A node that has not answered by
	// then is dead, or receives all runs when it is live again.
	quarantineTimeout = 3 * time.Second
	// quarantineIntervalPerPair times the square of the number of nodes is the least time
	// between two messages to all of them, so that the messages that a node receives do not
	// grow with the fleet while replicas end everywhere.
	quarantineIntervalPerPair = time.Microsecond
	// silenceBound is how long a decision waits for nodes that do not answer, once most have.
	silenceBound = 60 * time.Millisecond
	// lossWindow is how long after the loss of a node a request may have run there without
	// anybody else knowing: as long as its caller waits before the next try.
	lossWindow = 10 * time.Second
	// syncFanout bounds the nodes that a starting node asks for all runs, and the nodes that
	// send theirs to one that is live again.
	syncFanout = 8
	// syncTimeout bounds how long a starting node waits for these answers.
	syncTimeout = 500 * time.Millisecond
	// expireInterval is the time between two removals of what has expired.
	expireInterval = time.Second
)

// quarantineState is this node's part in tracking requests that may end their replicas.
type quarantineState struct {
	table *quarantine.Table
	// pending is the announcement that is collected, nil if there is none, and nextAt when it
	// may be sent.
	pending *announcement
	nextAt  time.Time
	// sent are the announcements that some nodes have not answered, by number.
	sent       map[uint64]*announcement
	lastNumber uint64
	sync       quarantineSync
	// liveNodes are the nodes that were live at membershipVersion, with their incarnations, and
	// deadNodes those that were dead.
	liveNodes         map[machine.ID]uint64
	deadNodes         map[machine.ID]bool
	membershipVersion uint64
	membersCheckedAt  time.Time
	// nodeLostAt is when a node was last found to be lost.
	nodeLostAt time.Time
	expireAt   time.Time
}

// announcement is a message to all live nodes about some requests.
type announcement struct {
	// changed are the requests with the runs of theirs that are new.
	changed  map[quarantine.Fingerprint]map[quarantine.RunID]struct{}
	replicas map[string]struct{}
	// asked is the number of nodes that it was sent to, and unanswered those that have not
	// answered.
	asked      int
	unanswered map[machine.ID]struct{}
	resendAt   time.Time
	sends      int
	until      time.Time
	waiters    []runWaiter
}

// runWaiter waits for the answers to an announcement.
type runWaiter struct {
	id          uint64
	requestedAt time.Time
	deadline    time.Time
	// requested is the run that is requested, or nil if runs were reported.
	requested *RunRequested
}

func newQuarantineState(config *Config) quarantineState {
	return quarantineState{
		table: quarantine.NewTable(config.Quarantine), sent: make(map[uint64]*announcement), lastNumber: firstNumber(config.Random),
	}
}

// Quarantined returns the marked requests.
func (c *Core) Quarantined() []quarantine.Status { return c.quarantine.table.Marked() }

// QuarantineWake returns when the next message about marked requests is due, or the zero time.
func (c *Core) QuarantineWake(now time.Time) (wake time.Time) {
	state := &c.quarantine
	if state.pending != nil {
		wake = earlier(wake, state.nextAt)
		for _, waiter := range state.pending.waiters {
			wake = earlier(wake, waiter.wake(now))
		}
	}
	for _, sent := range state.sent {
		wake = earlier(wake, sent.resendAt)
		for _, waiter := range sent.waiters {
			wake = earlier(wake, waiter.wake(now))
		}
	}
	return wake
}

// wake returns when the waiter has to be looked at again.
func (w *runWaiter) wake(now time.Time) time.Time {
	if patient := w.requestedAt.Add(silenceBound); w.requested != nil && now.Before(patient) {
		return patient
	}
	return w.deadline
}

// earlier returns the earlier of two times; a zero time is none.
func earlier(left, right time.Time) time.Time {
	if left.IsZero() || right.Before(left) {
		return right
	}
	return left
}

// stepRunsReported tells all nodes about runs of this node.
func (c *Core) stepRunsReported(now time.Time, event RunsReported) {
	c.mergeRuns(now, c.self().ID, event.Runs)
	c.announce(event.Runs...)
	if event.ID != 0 {
		c.awaitAnswers(runWaiter{id: event.ID, requestedAt: now, deadline: now.Add(event.Timeout)})
	}
}

// stepRunRequested asks all nodes what they know of a request before it runs again.
func (c *Core) stepRunRequested(now time.Time, event RunRequested) {
	c.mergeRuns(now, c.self().ID, []quarantine.Run{event.Run})
	c.announce(event.Run)
	c.quarantine.pending.replicas[event.Run.Replica] = struct{}{}
	c.awaitAnswers(runWaiter{
		id: event.ID, requestedAt: now, deadline: now.Add(event.Timeout + c.quarantineInterval()), requested: &event,
	})
}

// stepRequestReleased clears a request at all nodes.
func (c *Core) stepRequestReleased(now time.Time, event RequestReleased) {
	clearRuns := c.quarantine.table.Release
	if event.Reason == ReleaseAnswered {
		clearRuns = c.quarantine.table.Answer
	}
	changed := clearRuns(now, event.Fingerprint)
	if len(changed) == 0 {
		return
	}
	c.reportChange(c.self().ID, event.Fingerprint, event.Reason)
	c.announce(changed...)
}

// announce adds runs to the next announcement.
func (c *Core) announce(runs ...quarantine.Run) {
	if len(runs) == 0 {
		return
	}
	if c.quarantine.pending == nil {
		c.quarantine.pending = &announcement{
			changed: make(map[quarantine.Fingerprint]map[quarantine.RunID]struct{}), replicas: make(map[string]struct{}),
		}
	}
	changed := c.quarantine.pending.changed
	for _, run := range runs {
		if changed[run.Fingerprint] == nil {
			changed[run.Fingerprint] = make(map[quarantine.RunID]struct{})
		}
		changed[run.Fingerprint][run.ID] = struct{}{}
	}
}

// awaitAnswers adds a waiter to the next announcement.
func (c *Core) awaitAnswers(waiter runWaiter) {
	if c.quarantine.pending == nil {
		// Nothing was reported.
		c.ready.RunsAnnounced = append(c.ready.RunsAnnounced, RunsAnnounced{ID: waiter.id})
		return
	}
	c.quarantine.pending.waiters = append(c.quarantine.pending.waiters, waiter)
}

// mergeRuns merges runs into the table and reports what is new.
func (c *Core) mergeRuns(now time.Time, from machine.ID, runs []quarantine.Run) {
	for _, fingerprint := range c.quarantine.table.Merge(now, runs) {
		c.reportChange(from, fingerprint, ReleaseCleared)
		if c.lostNodeLately(now) {
			c.addLostRun(now, fingerprint)
		}
	}
}

// reportChange reports the status of a request to the driver. released is the reason if it is
// not marked.
func (c *Core) reportChange(from machine.ID, fingerprint quarantine.Fingerprint, released ReleaseReason) {
	status := c.quarantine.table.Status(fingerprint)
	refused := c.quarantine.table.ReachedLimit(&status)
	change := QuarantineChange{Status: status, Refused: refused, Unsettled: !refused && c.quarantine.table.Unsettled(&status), From: from}
	if !status.Marked() {
		change.Reason = released
	}
	c.ready.QuarantineChanges = append(c.ready.QuarantineChanges, change)
}

// flushQuarantine sends the announcement that was collected, once it is due.
func (c *Core) flushQuarantine(now time.Time) {
	state := &c.quarantine
	if state.pending == nil || now.Before(state.nextAt) {
		return
	}
	sent := state.pending
	state.pending = nil
	sent.unanswered = make(map[machine.ID]struct{})
	for _, peer := range c.statusPeers() {
		sent.unanswered[peer.ID] = struct{}{}
	}
	sent.asked, sent.until = len(sent.unanswered), now.Add(quarantineTimeout)
	state.lastNumber++
	state.sent[state.lastNumber] = sent
	state.nextAt = now.Add(c.quarantineInterval())
	c.sendAnnouncement(now, state.lastNumber, sent)
	c.checkAnnouncement(now, state.lastNumber, sent)
}

// quarantineInterval returns the least time between two announcements.
func (c *Core) quarantineInterval() time.Duration {
	nodes := time.Duration(c.LiveCount())
	return nodes * nodes * quarantineIntervalPerPair
}

// sendAnnouncement sends an announcement to the nodes that have not answered it.
func (c *Core) sendAnnouncement(now time.Time, number uint64, sent *announcement) {
	sent.resendAt = now.Add(quarantineResendInterval<<min(sent.sends, maxResendDoublings) + c.quarantineInterval())
	sent.sends++
	message := QuarantineMessage{Number: number, Replicas: slices.Sorted(maps.Keys(sent.replicas))}
	for _, fingerprint := range slices.Sorted(maps.Keys(sent.changed)) {
		message.Runs = append(message.Runs, c.quarantine.table.Runs(now, fingerprint, sent.changed[fingerprint])...)
	}
	for _, id := range slices.Sorted(maps.Keys(sent.unanswered)) {
		if !c.sendQuarantine(id, message) {
			delete(sent.unanswered, id)
			sent.asked--
		}
	}
}

// sendQuarantine sends a message to a node, and returns false if the node is dead.
func (c *Core) sendQuarantine(to machine.ID, message QuarantineMessage) bool {
	target, known := c.membership.Lookup(to)
	if !known || c.quarantine.deadNodes[to] {
		return false
	}
	c.ready.Messages = append(c.ready.Messages, Outbound{To: target, Message: PeerMessage{From: c.self(), Quarantine: &message}})
	return true
}

// checkAnnouncement ends the waits of an announcement that are over, and forgets it once all
// nodes have answered.
func (c *Core) checkAnnouncement(now time.Time, number uint64, sent *announcement) {
	waiters := sent.waiters
	sent.waiters = nil
	for _, waiter := range waiters {
		if !c.endWait(now, sent, waiter) {
			sent.waiters = append(sent.waiters, waiter)
		}
	}
	if len(sent.unanswered) == 0 || !now.Before(sent.until) {
		delete(c.quarantine.sent, number)
	}
}

// endWait answers a waiter, or returns false if it has to wait longer.
func (c *Core) endWait(now time.Time, sent *announcement, waiter runWaiter) bool {
	late := !now.Before(waiter.deadline)
	if waiter.requested == nil {
		if len(sent.unanswered) > 0 && !late {
			return false
		}
		if len(sent.unanswered) > 0 {
			for _, fingerprint := range slices.Sorted(maps.Keys(sent.changed)) {
				c.announce(c.addLostRun(now, fingerprint)...)
			}
		}
		c.ready.RunsAnnounced = append(c.ready.RunsAnnounced, RunsAnnounced{ID: waiter.id, Unanswered: len(sent.unanswered)})
		return true
	}
	answered := sent.asked - len(sent.unanswered)
	majority := sent.unanswered != nil && 2*(answered+1) > sent.asked+1
	silent := len(sent.unanswered) > 0
	patient := now.Sub(waiter.requestedAt) < silenceBound
	if !late && (!majority || silent && patient) {
		return false
	}
	verdict := quarantine.VerdictUnknown
	if majority && !c.Isolated(now) {
		if silent {
			c.announce(c.addLostRun(now, waiter.requested.Run.Fingerprint)...)
		}
		verdict = c.quarantine.table.Decide(now, &waiter.requested.Run, waiter.requested.MayShare)
	}
	if verdict != quarantine.VerdictGranted {
		c.withdraw(now, waiter.requested.Run)
	}
	c.ready.RunsDecided = append(c.ready.RunsDecided, RunDecided{
		ID: waiter.id, Verdict: verdict, Status: c.quarantine.table.Status(waiter.requested.Run.Fingerprint), Answered: answered, Asked: sent.asked,
	})
	return true
}

// lostNodeLately reports whether a node may have been lost with a run of which nobody knows.
func (c *Core) lostNodeLately(now time.Time) bool {
	return now.Sub(c.quarantine.nodeLostAt) < lossWindow
}

// addLostRun counts one more replica as ended under a marked request, for a run that a lost node
// may have had. It returns that run if it is new. Every node adds it when it hears of an end, and
// tells it to who asks: announced by each, it would take messages from all nodes to all nodes.
func (c *Core) addLostRun(now time.Time, fingerprint quarantine.Fingerprint) (added []quarantine.Run) {
	status := c.quarantine.table.Status(fingerprint)
	if status.Ended+status.Suspected == 0 {
		return nil
	}
	lost := []quarantine.Run{quarantine.LostRun(fingerprint, status.Tenant)}
	for _, changed := range c.quarantine.table.Merge(now, lost) {
		c.reportChange(c.self().ID, changed, ReleaseCleared)
		added = lost
	}
	return added
}

// withdraw clears a run that was not permitted.
func (c *Core) withdraw(now time.Time, run quarantine.Run) {
	run.State, run.AgeMS = quarantine.StateCleared, 0
	c.mergeRuns(now, c.self().ID, []quarantine.Run{run})
	c.announce(run)
}

// tickQuarantine sends what is due, and removes what has expired.
func (c *Core) tickQuarantine(now time.Time) {
	state := &c.quarantine
	c.welcomeLiveNodes(now)
	c.tickSync(now)
	for _, number := range slices.Sorted(maps.Keys(state.sent)) {
		sent := state.sent[number]
		if !now.Before(sent.resendAt) {
			c.sendAnnouncement(now, number, sent)
		}
		c.checkAnnouncement(now, number, sent)
	}
	if state.pending != nil {
		c.expirePending(now)
	}
	if now.Before(state.expireAt) {
		return
	}
	state.expireAt = now.Add(expireInterval)
	for _, fingerprint := range state.table.Expire(now) {
		c.reportChange(c.self().ID, fingerprint, ReleaseExpired)
	}
}

// expirePending ends the waits that are over before their announcement could be sent.
func (c *Core) expirePending(now time.Time) {
	pending := c.quarantine.pending
	waiters := pending.waiters
	pending.waiters = nil
	for _, waiter := range waiters {
		if now.Before(waiter.deadline) || !c.endWait(now, pending, waiter) {
			pending.waiters = append(pending.waiters, waiter)
		}
	}
}
