package partition

import (
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/retry"
)

// recovery follows this node from its claim to the opening of its epoch: it
// reads a quorum of the mirrors that an earlier epoch may have left records
// with, appends those records again and names its own mirrors.
type recovery struct {
	// debt is what must be read; nil when no mirror can hold anything.
	debt    *recordlog.Debt
	sources []*recoverySource
	// suffix is what the mirrors hold after the log's last sequence of the
	// epoch, without gaps.
	suffix    []recordlog.Entry
	startedAt time.Time
	// lossAccepted is set when the operator or the policy gave the rest up.
	lossAccepted bool
	// openingSequence is the sequence of the entry that opens the epoch, once it was
	// proposed.
	openingSequence uint64
}

// recoverySource is one mirror that is read.
type recoverySource struct {
	mirror recordlog.Mirror
	// owner marks the process that owned the epoch. It is no mirror, and counts
	// only once it has lost the epoch, but then for all of them.
	owner bool
	// answered is set by the first answer of the process that enlisted; from
	// then on last is all that it will ever hold of the epoch.
	answered     bool
	restarted    bool
	lastSequence uint64
	deadline     time.Time
	backoff      retry.Backoff
}

// Stall says why a recovery waits for mirrors.
type Stall struct {
	// Epoch is the epoch whose mirrors may hold records that the log lacks.
	Epoch uint64 `json:"epoch"`
	// Needed is how many mirrors must be read; Read how many were.
	Needed int `json:"needed"`
	Read   int `json:"read"`
	// Silent mirrors have not answered. Restarted ones have lost what they
	// held: once fewer than Needed others are left, waiting cannot help.
	Silent    []machine.ID `json:"silent,omitempty"`
	Restarted []machine.ID `json:"restarted,omitempty"`
	Since     time.Time    `json:"since"`
}

// startRecovering begins what is left to do after the claim won.
func (r *Replica) startRecovering() {
	r.claim.backoff.Reset()
	r.state = StateRecovering
	fold := r.journal.Fold()
	r.recover = recovery{debt: fold.Debt, startedAt: r.now}
	if previousOwner := r.claim.previousOwner; previousOwner != "" {
		r.send(previousOwner, Message{Claimed: &Claimed{Epoch: fold.Epoch}})
	}
	r.addSources()
	candidates := MirrorCandidates(r.config.ID, r.view.Placement, r.view.Nodes, r.config.Self, r.config.MirrorCount)
	if len(candidates) > 0 {
		r.enlist(candidates)
	}
	r.advanceRecovering()
}

// addSources lists whom to read: the mirrors of the epoch in debt, and the
// process that owned it, in case it lives.
func (r *Replica) addSources() {
	debt := r.recover.debt
	if debt == nil {
		return
	}
	for _, mirror := range debt.Mirrors {
		source := &recoverySource{mirror: mirror, backoff: r.mirrorBackoff()}
		r.recover.sources = append(r.recover.sources, source)
	}
	owner := recordlog.Mirror{ID: recordlog.WriterMachine(debt.Writer), Instance: debt.Writer}
	source := &recoverySource{mirror: owner, owner: true, backoff: r.mirrorBackoff()}
	r.recover.sources = append(r.recover.sources, source)
}

// advanceRecovering opens the epoch once the debt is read and the mirrors
// agreed or had their time.
func (r *Replica) advanceRecovering() {
	if r.recover.openingSequence > 0 {
		if r.journal.Fold().Sequence >= r.recover.openingSequence {
			r.acquire()
		}
		return
	}
	if r.view.Stopping {
		r.lose()
		return
	}
	r.querySources()
	enlisted := !r.mirrors.enlistment.active() || r.mirrors.enlistment.complete(r.now)
	if !r.debtRecovered() || !enlisted {
		return
	}
	r.open()
}

// querySources asks the mirrors for what was not read yet.
func (r *Replica) querySources() {
	for _, source := range r.recover.sources {
		if r.recover.exhausted(source) || r.now.Before(source.deadline) {
			continue
		}
		source.deadline = r.now.Add(r.config.MirrorTimeout + source.backoff.Next())
		query := &MirrorQuery{
			Epoch:       r.recover.debt.Epoch,
			Instance:    source.mirror.Instance,
			Sequence:    r.recover.suffixEnd(),
			ReaderEpoch: r.journal.Epoch(),
		}
		if source.owner {
			r.send(source.mirror.ID, Message{Claimed: &Claimed{Epoch: r.journal.Epoch()}})
		}
		r.send(source.mirror.ID, Message{Query: query})
	}
}

// exhausted reports whether nothing more is to be had from the mirror.
func (c *recovery) exhausted(source *recoverySource) bool {
	return source.restarted || source.answered && source.lastSequence <= c.suffixEnd()
}

// suffixEnd is the sequence up to which the debt's epoch is known.
func (c *recovery) suffixEnd() uint64 {
	if len(c.suffix) > 0 {
		return c.suffix[len(c.suffix)-1].Sequence
	}
	return c.debt.Sequence
}

// stepMirrorAnswer takes what a mirror holds.
func (r *Replica) stepMirrorAnswer(from machine.ID, answer MirrorAnswer) {
	debt := r.recover.debt
	relevant := r.state == StateRecovering && debt != nil && r.recover.openingSequence == 0 &&
		answer.ReaderEpoch == r.journal.Epoch() && answer.Epoch == debt.Epoch
	if !relevant {
		return
	}
	if answer.Refused {
		r.lose()
		return
	}
	for _, source := range r.recover.sources {
		if source.mirror.ID == from {
			r.readSource(source, answer)
		}
	}
}

func (r *Replica) readSource(source *recoverySource, answer MirrorAnswer) {
	if answer.Instance != source.mirror.Instance {
		source.restarted = true
		return
	}
	if source.owner && !answer.Complete {
		return
	}
	known := r.recover.suffixEnd()
	source.answered = true
	source.lastSequence = answer.LastSequence
	for _, entry := range answer.Entries {
		if entry.Sequence == r.recover.suffixEnd()+1 {
			r.recover.suffix = append(r.recover.suffix, entry)
		}
	}
	if r.recover.suffixEnd() > known {
		// The next part may be asked for at once.
		source.deadline = time.Time{}
		source.backoff.Reset()
	}
}

// debtRecovered reports whether a read quorum of the mirrors was read to the end.
func (r *Replica) debtRecovered() bool {
	if r.recover.debt == nil || r.recover.lossAccepted {
		return true
	}
	stall, stalled := r.Stall()
	if !stalled {
		return true
	}
	limit := r.config.AcceptLossAfter
	if limit > 0 && r.quorumUnreachable(stall) && !r.now.Before(stall.Since.Add(limit)) {
		r.recover.lossAccepted = true
	}
	return r.recover.lossAccepted
}

// quorumUnreachable reports whether the mirrors that may still answer are too few, and
// the epoch's owner is gone too, as far as this node's view goes.
func (r *Replica) quorumUnreachable(stall Stall) bool {
	for _, source := range r.recover.sources {
		if source.owner && !source.restarted && r.running(source.mirror.ID) {
			return false
		}
	}
	reachable := stall.Read
	for _, mirror := range stall.Silent {
		if r.running(mirror) {
			reachable++
		}
	}
	return reachable < stall.Needed
}

// Stall tells what a recovery waits for, false when it does not wait for
// mirrors.
func (r *Replica) Stall() (Stall, bool) {
	debt := r.recover.debt
	if r.state != StateRecovering || debt == nil || r.recover.openingSequence > 0 {
		return Stall{}, false
	}
	stall := Stall{Epoch: debt.Epoch, Needed: recordlog.ReadQuorum(len(debt.Mirrors)), Since: r.recover.startedAt}
	for _, source := range r.recover.sources {
		switch {
		case source.owner && source.answered && r.recover.exhausted(source):
			return Stall{}, false
		case source.owner:
			// Nothing is missing if it stays silent.
		case source.restarted:
			stall.Restarted = append(stall.Restarted, source.mirror.ID)
		case !source.answered:
			stall.Silent = append(stall.Silent, source.mirror.ID)
		case r.recover.exhausted(source):
			stall.Read++
		}
	}
	return stall, stall.Read < stall.Needed
}

// AcceptLoss lets a stalled recovery go on with the mirrors that answered.
// Records that only the others hold are lost, which the log notes. It is an
// operator's decision; Config.AcceptLossAfter makes it a policy.
func (r *Replica) AcceptLoss(now time.Time) {
	r.now = now
	if _, stalled := r.Stall(); stalled {
		r.recover.lossAccepted = true
	}
	r.advance()
}

// open appends the records that only mirrors hold, and behind them the entry
// that settles the debt and names the mirrors of this epoch. Nothing is
// written when there is nothing to settle and nobody to name.
func (r *Replica) open() {
	for _, entry := range r.recover.suffix {
		if entry.Kind == recordlog.KindRecord {
			r.journal.Repeat(r.now, entry)
		}
	}
	set := recordlog.MirrorSet{Members: r.mirrors.enlistment.agreed}
	r.mirrors.enlistment = enlistment{}
	if r.recover.lossAccepted {
		set.Unread = r.recover.debt.Epoch
	}
	if r.recover.debt == nil && len(set.Members) == 0 {
		r.acquire()
		return
	}
	r.proposeMirrors(set)
	r.recover.openingSequence = r.mirrors.nextSequence
}

// acquire opens the partition for proposals.
func (r *Replica) acquire() {
	if r.recover.debt != nil {
		r.pendingTrim = newTrimNotice(*r.recover.debt, r.journal.Epoch(), r.mirrorBackoff())
	}
	if r.config.Mirrors != nil {
		r.config.Mirrors.epochOpened(r.config.ID, r.journal.Epoch())
	}
	r.recover = recovery{}
	r.state = StateOwning
	r.ready.Acquired = true
	r.adoptMirrors()
	r.scheduleMirrorReview()
	r.advanceOwning()
}

func (r *Replica) recoveringTimers() []time.Time {
	var timers []time.Time
	if r.recover.openingSequence > 0 {
		return nil
	}
	if r.mirrors.enlistment.active() && !r.mirrors.enlistment.complete(r.now) {
		timers = append(timers, r.mirrors.enlistment.deadline)
	}
	for _, source := range r.recover.sources {
		if !r.recover.exhausted(source) {
			timers = append(timers, source.deadline)
		}
	}
	if _, stalled := r.Stall(); stalled && r.config.AcceptLossAfter > 0 {
		timers = append(timers, r.recover.startedAt.Add(r.config.AcceptLossAfter))
	}
	return timers
}

// trimNotice tells the mirrors of an earlier epoch that the log has
// everything, until each of them has answered or is gone.
type trimNotice struct {
	trim       MirrorTrim
	recipients []*trimRecipient
}

type trimRecipient struct {
	mirror   machine.ID
	attempts int
	deadline time.Time
	backoff  retry.Backoff
}

// trimAttempts is how often a mirror that has left the view is told.
const trimAttempts = 20

func newTrimNotice(debt recordlog.Debt, epoch uint64, backoff retry.Backoff) trimNotice {
	// The trim is of this epoch: it forgets all earlier ones.
	settled := trimNotice{trim: MirrorTrim{Epoch: epoch}}
	for _, mirror := range debt.Mirrors {
		settled.recipients = append(settled.recipients, &trimRecipient{mirror: mirror.ID, backoff: backoff})
	}
	owner := recordlog.WriterMachine(debt.Writer)
	settled.recipients = append(settled.recipients, &trimRecipient{mirror: owner, backoff: backoff})
	return settled
}

// sendTrims repeats the trim to those that have not answered.
func (r *Replica) sendTrims() {
	r.pendingTrim.recipients = slices.DeleteFunc(r.pendingTrim.recipients, func(link *trimRecipient) bool {
		return link.attempts >= trimAttempts && !r.running(link.mirror)
	})
	for _, link := range r.pendingTrim.recipients {
		if r.now.Before(link.deadline) {
			continue
		}
		link.attempts++
		link.deadline = r.now.Add(link.backoff.Next())
		trim := r.pendingTrim.trim
		r.send(link.mirror, Message{Trim: &trim})
	}
}

// acknowledge notes that a mirror of an earlier epoch has forgotten it.
func (s *trimNotice) acknowledge(from machine.ID) {
	s.recipients = slices.DeleteFunc(s.recipients, func(link *trimRecipient) bool { return link.mirror == from })
}

func (s *trimNotice) timers() []time.Time {
	var timers []time.Time
	for _, link := range s.recipients {
		timers = append(timers, link.deadline)
	}
	return timers
}
