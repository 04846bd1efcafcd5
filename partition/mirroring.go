package partition

import (
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/retry"
)

// mirrorTimeoutGrowth is the ratio of the longest to the shortest backoff of a
// message to a mirror.
const mirrorTimeoutGrowth = 16

// mirroring is an owner's state about its mirrors.
//
// The current set is the newest one in the log. While the log has not confirmed
// a proposed set, a later epoch may read either set, so a record is durable
// only with a write quorum in both.
type mirroring struct {
	current []recordlog.Mirror
	// next is the proposed set, confirmed once the log has nextSequence.
	// nextSequence is zero if there is none.
	next         []recordlog.Mirror
	nextSequence uint64
	// links holds the state of each member of both sets.
	links []*mirrorLink
	// durableSequence is the sequence up to which every set has a write quorum.
	durableSequence uint64
	// reviewAt is when the owner next searches for replacements of missing
	// members; zero for never.
	reviewAt   time.Time
	enlistment enlistment
}

// mirrorLink is an owner's state about one mirror.
type mirrorLink struct {
	mirror recordlog.Mirror
	// incarnation is the machine's incarnation in the view when the mirror was
	// added or last reviewed. A different one may mean that the process was
	// restarted.
	incarnation uint64
	// ackedSequence is the sequence up to which the mirror has acknowledged the
	// entries that the log lacks.
	ackedSequence uint64
	// mayHoldEntries is set while the mirror may hold entries that the log has,
	// and so needs a trim.
	mayHoldEntries bool
	// restarted is set once the process that agreed to be a mirror is gone.
	restarted bool
	// deadline is when the message in flight is repeated; zero if there is
	// none.
	deadline time.Time
	backoff  retry.Backoff
}

// enlistment is the progress of requests to nodes to become mirrors. Each answer
// has the node's instance.
type enlistment struct {
	queried  []machine.ID
	agreed   []recordlog.Mirror
	deadline time.Time
}

func (e *enlistment) active() bool {
	return len(e.queried) > 0
}

// complete reports whether every queried node has agreed or the deadline has
// passed.
func (e *enlistment) complete(now time.Time) bool {
	return len(e.agreed) == len(e.queried) || !now.Before(e.deadline)
}

// enlist requests nodes as mirrors of the epoch.
func (r *Replica) enlist(nodes []machine.ID) {
	r.mirrors.enlistment = enlistment{queried: nodes, deadline: r.now.Add(r.config.MirrorTimeout)}
	for _, node := range nodes {
		r.send(node, Message{Mirror: &MirrorAppend{Epoch: r.journal.Epoch()}})
	}
}

// stepMirrorAck processes a mirror's acknowledgement.
func (r *Replica) stepMirrorAck(from machine.ID, ack MirrorAck) {
	if r.state == StateFollowing || r.state == StateClaiming {
		return
	}
	if ack.Epoch != r.journal.Epoch() {
		return
	}
	if ack.Refused {
		r.lose()
		return
	}
	if ack.Trimmed {
		r.pendingTrim.acknowledge(from)
		return
	}
	r.recordAgreement(from, ack)
	for _, link := range r.mirrors.links {
		if link.mirror.ID == from {
			r.stepLinkAck(link, ack)
		}
	}
}

func (r *Replica) recordAgreement(from machine.ID, ack MirrorAck) {
	enlistment := &r.mirrors.enlistment
	known := func(mirror recordlog.Mirror) bool { return mirror.ID == from }
	if slices.Contains(enlistment.queried, from) && !slices.ContainsFunc(enlistment.agreed, known) {
		enlistment.agreed = append(enlistment.agreed, recordlog.Mirror{ID: from, Instance: ack.Instance})
	}
}

// stepLinkAck processes an acknowledgement of entries. Only the process that
// agreed to be the mirror counts: any other has lost the entries.
func (r *Replica) stepLinkAck(link *mirrorLink, ack MirrorAck) {
	if ack.Instance != link.mirror.Instance {
		link.restarted = true
		link.deadline = time.Time{}
		r.reviewMirrorsAfter(r.config.HandoverDwell)
		return
	}
	if ack.Sequence > link.ackedSequence || !ack.Full {
		link.deadline = time.Time{}
		link.backoff.Reset()
	}
	link.ackedSequence = max(link.ackedSequence, ack.Sequence)
	if link.ackedSequence <= r.journal.Fold().Sequence {
		link.mayHoldEntries = false
	}
	r.markDurable()
}

// markDurable confirms the entries for which every set that a later epoch may
// read has a write quorum.
func (r *Replica) markDurable() {
	durableSequence := r.quorumSequence(r.mirrors.current)
	if r.mirrors.nextSequence > 0 {
		durableSequence = min(durableSequence, r.quorumSequence(r.mirrors.next))
	}
	if durableSequence > r.mirrors.durableSequence {
		r.mirrors.durableSequence = durableSequence
		r.journal.MarkMirrored(durableSequence)
	}
}

// quorumSequence returns the sequence up to which a write quorum of the set
// holds the epoch; zero for an empty set.
func (r *Replica) quorumSequence(set []recordlog.Mirror) uint64 {
	if len(set) == 0 {
		return 0
	}
	var acked []uint64
	for _, member := range set {
		acked = append(acked, r.ackedSequenceOf(member))
	}
	slices.Sort(acked)
	return acked[len(acked)-recordlog.WriteQuorum(len(acked))]
}

func (r *Replica) ackedSequenceOf(member recordlog.Mirror) uint64 {
	for _, link := range r.mirrors.links {
		if link.mirror == member {
			return link.ackedSequence
		}
	}
	return 0
}

// degraded reports whether the log has left an append unanswered for
// MirrorDelay, so that mirrors get the entries.
func (r *Replica) degraded() bool {
	since := r.journal.UnansweredSince()
	return !since.IsZero() && !r.now.Before(since.Add(r.config.MirrorDelay))
}

// advanceMirrors adopts a confirmed set, sends the mirrors the entries that
// they lack and reviews the set for missing members.
func (r *Replica) advanceMirrors() {
	r.adoptMirrors()
	degraded := r.degraded()
	for _, link := range r.mirrors.links {
		r.updateMirror(link, degraded)
	}
	r.reviewMirrors(degraded)
}

// adoptMirrors makes the proposed set current once the log has it.
func (r *Replica) adoptMirrors() {
	m := &r.mirrors
	if m.nextSequence == 0 || r.journal.Fold().Sequence < m.nextSequence {
		return
	}
	m.current = m.next
	m.next = nil
	m.nextSequence = 0
	m.links = slices.DeleteFunc(m.links, func(link *mirrorLink) bool {
		return !slices.Contains(m.current, link.mirror)
	})
}

// updateMirror sends one mirror the entries that the log has not confirmed
// while the log is degraded, or has it drop the entries that the log has.
func (r *Replica) updateMirror(link *mirrorLink, degraded bool) {
	if link.restarted || r.now.Before(link.deadline) {
		return
	}
	logged := r.journal.Fold().Sequence
	next := max(link.ackedSequence, logged)
	lacking := degraded && next < r.journal.LastSequence()
	if !lacking && !(link.mayHoldEntries && !degraded) {
		link.deadline = time.Time{}
		return
	}
	request := MirrorAppend{Epoch: r.journal.Epoch(), Instance: link.mirror.Instance, LoggedSequence: logged}
	if lacking {
		request.Entries = r.journal.Unconfirmed(next, r.config.MaximumBatchBytes)
		link.mayHoldEntries = true
	}
	link.deadline = r.now.Add(r.config.MirrorTimeout + link.backoff.Next())
	r.send(link.mirror.ID, Message{Mirror: &request})
}

// proposeMirrors proposes a mirror set to the log. It becomes current once the
// log has it.
func (r *Replica) proposeMirrors(set recordlog.MirrorSet) {
	r.mirrors.next = set.Members
	r.mirrors.nextSequence = r.journal.ProposeMirrors(r.now, set)
	for _, member := range set.Members {
		r.addLink(member)
	}
}

func (r *Replica) addLink(member recordlog.Mirror) {
	known := func(link *mirrorLink) bool { return link.mirror == member }
	if slices.ContainsFunc(r.mirrors.links, known) {
		return
	}
	link := &mirrorLink{mirror: member, incarnation: r.incarnation(member.ID), backoff: r.mirrorBackoff()}
	r.mirrors.links = append(r.mirrors.links, link)
}

func (r *Replica) mirrorBackoff() retry.Backoff {
	return retry.Backoff{
		Minimum: r.config.MirrorTimeout,
		Maximum: mirrorTimeoutGrowth * r.config.MirrorTimeout,
		Random:  r.config.Random,
	}
}

func (r *Replica) incarnation(id machine.ID) uint64 {
	for _, node := range r.view.Nodes {
		if node.ID == id {
			return node.Incarnation
		}
	}
	return 0
}

// mirrorTimers returns the times at which mirrors need a message or a review.
func (r *Replica) mirrorTimers() []time.Time {
	var timers []time.Time
	since := r.journal.UnansweredSince()
	if !since.IsZero() && !r.degraded() && len(r.mirrors.links) > 0 {
		timers = append(timers, since.Add(r.config.MirrorDelay))
	}
	if r.mirrors.enlistment.active() {
		timers = append(timers, r.mirrors.enlistment.deadline)
	} else {
		timers = append(timers, r.mirrors.reviewAt)
	}
	for _, link := range r.mirrors.links {
		timers = append(timers, link.deadline)
	}
	return timers
}
