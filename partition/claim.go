package partition

import (
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/retry"
)

// claim is the progress of this node towards ownership.
type claim struct {
	backoff retry.Backoff
	// notBefore is the earliest time of the next read of the stream's tail, or
	// of the next handover request.
	notBefore time.Time
	// readingTail is set while the end of the stream is being read.
	readingTail bool
	// requestedFrom is the live node that was sent a handover request, and
	// requestedEpoch the epoch that it won. respondedAt is the time of its last
	// answer, or of the first request.
	requestedFrom  machine.ID
	requestedEpoch uint64
	respondedAt    time.Time
	// releasedEpoch is the newest epoch whose winner no longer prevents a
	// claim.
	releasedEpoch uint64
	// submitted is set once the claim was passed to the journal.
	submitted bool
	// previousOwner is the machine that won the epoch before the claim.
	previousOwner machine.ID
}

func newClaim(config Config) claim {
	return claim{backoff: retry.Backoff{
		Minimum: config.ClaimBackoff,
		Maximum: claimBackoffGrowth * config.ClaimBackoff,
		Random:  config.Random,
	}}
}

// postpone restarts the claim after a backoff.
func (c *claim) postpone(now time.Time) {
	c.notBefore = now.Add(c.backoff.Next())
	c.reset()
}

// reset discards what was read about the stream and its owner.
func (c *claim) reset() {
	c.readingTail = false
	c.submitted = false
	c.requestedFrom = ""
	c.requestedEpoch = 0
}

// SetView updates this node's view of the machine list. Changes that revert
// within the dwell times have no effect.
func (r *Replica) SetView(now time.Time, view View) {
	r.now = now
	r.view = view
	desired, _ := Owner(r.config.ID, view.Placement, r.candidates(), "")
	if desired != r.desired || r.desiredSince.IsZero() {
		r.desired = desired
		r.desiredSince = now
	}
	r.scheduleMirrorReview()
	r.advance()
}

// candidates returns the nodes that may own the partition. It excludes this
// node while it is stopping.
func (r *Replica) candidates() []machine.Machine {
	if !r.view.Stopping {
		return r.view.Nodes
	}
	var others []machine.Machine
	for _, node := range r.view.Nodes {
		if node.ID != r.config.Self {
			others = append(others, node)
		}
	}
	return others
}

// running reports whether the node runs according to the view. It may be
// leaving, or in a zone that is not permitted: then it gets no new partitions or
// mirror roles, but can still hand over and serve the entries that it holds.
func (r *Replica) running(id machine.ID) bool {
	for _, node := range r.view.Nodes {
		if node.ID == id && node.Status != machine.StatusDead {
			return true
		}
	}
	return false
}

// eligible reports whether the node may own or mirror the partition.
func (r *Replica) eligible(id machine.ID) bool {
	for _, node := range r.view.Nodes {
		if node.ID == id && permitted(r.view.Placement, node) {
			return true
		}
	}
	return false
}

// desiredFor reports whether the desired owner has been the same for at least
// dwell.
func (r *Replica) desiredFor(dwell time.Duration) bool {
	return !r.desiredSince.IsZero() && !r.now.Before(r.desiredSince.Add(dwell))
}

// advanceFollowing reads the tail of the stream once this node has been the
// desired owner for ClaimDwell. Depending on the tail it claims the partition
// or requests a handover from the live owner.
func (r *Replica) advanceFollowing() {
	if r.desired != r.config.Self || !r.desiredFor(r.config.ClaimDwell) {
		r.claim.reset()
		return
	}
	if r.claim.requestedFrom != "" {
		r.repeatHandoverRequest()
		return
	}
	if !r.claim.readingTail {
		if !r.now.Before(r.claim.notBefore) {
			r.claim.readingTail = true
			r.journal.Peek(r.now)
		}
		return
	}
	tail, known := r.journal.Peeked()
	if !known {
		return
	}
	r.claim.readingTail = false
	released := tail.Last.Kind == recordlog.KindMirrors && tail.Last.Mirrors.Released
	if tail.End == 0 || released || r.claimable(tail.Last.Writer, tail.Last.Epoch) {
		r.startClaiming()
		return
	}
	r.requestHandover(recordlog.WriterMachine(tail.Last.Writer), tail.Last.Epoch)
}

// claimable reports whether the node may claim after the epoch: its winner is
// not live, has released the epoch, or is an earlier process of this node.
func (r *Replica) claimable(writer string, epoch uint64) bool {
	winner := recordlog.WriterMachine(writer)
	return epoch <= r.claim.releasedEpoch || winner == r.config.Self || !r.running(winner)
}

func (r *Replica) startClaiming() {
	r.state = StateClaiming
	r.journal.CatchUp(r.now)
}

// requestHandover requests a handover from the live winner of the epoch.
func (r *Replica) requestHandover(owner machine.ID, epoch uint64) {
	r.claim.requestedFrom = owner
	r.claim.requestedEpoch = epoch
	r.claim.respondedAt = r.now
	r.sendHandoverRequest()
}

func (r *Replica) sendHandoverRequest() {
	r.claim.notBefore = r.now.Add(r.claim.backoff.Next())
	r.send(r.claim.requestedFrom, Message{RequestHandover: &HandoverRequest{Epoch: r.claim.requestedEpoch}})
}

// repeatHandoverRequest repeats the request until the owner hands over, leaves
// the view or has not answered for OwnerPatience.
func (r *Replica) repeatHandoverRequest() {
	unresponsive := !r.now.Before(r.claim.respondedAt.Add(r.config.OwnerPatience))
	if unresponsive || !r.running(r.claim.requestedFrom) {
		r.ownerReleased(r.claim.requestedEpoch)
		return
	}
	if !r.now.Before(r.claim.notBefore) {
		r.sendHandoverRequest()
	}
}

// ownerReleased records that the winner of the epoch no longer prevents a
// claim, and reads the tail of the stream again.
func (r *Replica) ownerReleased(epoch uint64) {
	r.reportedOwner = ""
	r.claim.releasedEpoch = max(r.claim.releasedEpoch, epoch)
	r.claim.reset()
	r.claim.notBefore = r.now
	r.claim.backoff.Reset()
	r.advanceFollowing()
}

// advanceClaiming appends the claim once the stream is read to its end. A
// submitted claim is completed even if the view changes meanwhile, because the
// log may already hold it.
func (r *Replica) advanceClaiming() {
	if r.journal.IsOpen() {
		r.startRecovering()
		return
	}
	if r.claim.submitted || !r.journal.CaughtUp() {
		return
	}
	logState := r.journal.Fold()
	mayClaim := logState.Mirrors.Released || r.claimable(logState.Writer, logState.Epoch)
	if r.desired != r.config.Self {
		r.lose()
		return
	}
	if !mayClaim {
		r.lose()
		r.requestHandover(recordlog.WriterMachine(logState.Writer), logState.Epoch)
		return
	}
	r.claim.submitted = true
	r.claim.previousOwner = recordlog.WriterMachine(logState.Writer)
	r.journal.Claim(r.now, r.config.Self)
}

// AnswerWithoutReplica answers a message about a partition for which a node has
// no Replica. It returns false when the message needs no answer. Messages for
// mirrors go to the MirrorStore instead.
func AnswerWithoutReplica(message Message) (Message, bool) {
	if message.RequestHandover == nil {
		return Message{}, false
	}
	offer := &HandoverOffer{Epoch: message.RequestHandover.Epoch}
	return Message{Partition: message.Partition, Handover: offer}, true
}

// StepMessage processes a message from another replica or a mirror.
func (r *Replica) StepMessage(now time.Time, from machine.ID, message Message) {
	r.now = now
	r.handle(from, message)
	r.advance()
}

func (r *Replica) handle(from machine.ID, message Message) {
	switch {
	case message.RequestHandover != nil:
		r.checkSuperseded(message.RequestHandover.Epoch)
		r.answerHandoverRequest(from, *message.RequestHandover)
	case message.Handover != nil:
		r.checkSuperseded(message.Handover.Epoch)
		if r.state == StateFollowing && r.claim.requestedFrom == from && message.Handover.Epoch == r.claim.requestedEpoch {
			r.ownerReleased(message.Handover.Epoch)
		}
	case message.DeferHandover != nil:
		if r.claim.requestedFrom == from {
			r.claim.respondedAt = r.now
			r.reportedOwner = from
		}
	case message.Claimed != nil:
		r.checkSuperseded(message.Claimed.Epoch)
	case message.Mirrored != nil:
		r.stepMirrorAck(from, *message.Mirrored)
	case message.Answer != nil:
		r.stepMirrorAnswer(from, *message.Answer)
	}
}

// checkSuperseded reads on in the stream when another node reports a later
// epoch than the one that this node owns.
func (r *Replica) checkSuperseded(epoch uint64) {
	if epoch > r.journal.Epoch() {
		r.journal.CheckSuperseded(r.now)
	}
}

// answerHandoverRequest defers the handover while this node owns the epoch or
// is about to, and otherwise offers the epoch.
func (r *Replica) answerHandoverRequest(from machine.ID, request HandoverRequest) {
	if r.state != StateFollowing && r.journal.Epoch() >= request.Epoch {
		r.send(from, Message{DeferHandover: &HandoverDeferral{Epoch: request.Epoch}})
		return
	}
	r.send(from, Message{Handover: &HandoverOffer{Epoch: request.Epoch}})
}

// NextWake returns when Tick is due, or the zero time for never. Timers up to
// the time of the last event have already been processed.
func (r *Replica) NextWake() time.Time {
	wake := r.journal.NextWake()
	for _, at := range r.timers() {
		if at.After(r.now) && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

// timers returns the times at which the current state may change without an
// event.
func (r *Replica) timers() []time.Time {
	switch r.state {
	case StateFollowing:
		return r.followingTimers()
	case StateOwning, StateReleasing:
		return r.owningTimers()
	case StateRecovering:
		return r.recoveringTimers()
	default:
		return nil
	}
}

func (r *Replica) followingTimers() []time.Time {
	if r.desired != r.config.Self {
		return nil
	}
	if !r.desiredFor(r.config.ClaimDwell) {
		return []time.Time{r.desiredSince.Add(r.config.ClaimDwell)}
	}
	if r.claim.readingTail {
		return nil
	}
	if r.claim.requestedFrom == "" {
		return []time.Time{r.claim.notBefore}
	}
	return []time.Time{r.claim.notBefore, r.claim.respondedAt.Add(r.config.OwnerPatience)}
}
