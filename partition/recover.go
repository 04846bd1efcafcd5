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
	suffix []recordlog.Entry
	since  time.Time
	// accepted is set when the operator or the policy gave the rest up.
	accepted bool
	// opening is the sequence of the entry that opens the epoch, once it was
	// proposed.
	opening uint64
}

// recoverySource is one mirror that is read.
type recoverySource struct {
	mirror recordlog.Mirror
	// owner marks the process that owned the epoch. It is no mirror, and counts
	// only once it has lost the epoch, but then for all of them.
	owner bool
	// answered is set by the first answer of the process that enlisted; from
	// then on last is all that it will ever hold of the epoch.
	answered  bool
	restarted bool
	last      uint64
	deadline  time.Time
	backoff   retry.Backoff
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
	r.recover = recovery{debt: fold.Debt, since: r.now}
	if previous := r.claim.previous; previous != "" {
		r.send(previous, Message{Claimed: &Claimed{Epoch: fold.Epoch}})
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
	if r.recover.opening > 0 {
		if r.journal.Fold().Sequence >= r.recover.opening {
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
	if !r.debtRead() || !enlisted {
		return
	}
	r.open()
}

// querySources asks the mirrors for what was not read yet.
func (r *Replica) querySources() {
	for _, source := range r.recover.sources {
		if r.recover.done(source) || r.now.Before(source.deadline) {
			continue
		}
		source.deadline = r.now.Add(r.config.MirrorTimeout + source.backoff.Next())
		query := &MirrorQuery{
			Epoch:    r.recover.debt.Epoch,
			Instance: source.mirror.Instance,
			Sequence: r.recover.suffixEnd(),
			Reader:   r.journal.Epoch(),
		}
		if source.owner {
			r.send(source.mirror.ID, Message{Claimed: &Claimed{Epoch: r.journal.Epoch()}})
		}
		r.send(source.mirror.ID, Message{Query: query})
	}
}

// done reports whether nothing more is to be had from the mirror.
func (c *recovery) done(source *recoverySource) bool {
	return source.restarted || source.answered && source.last <= c.suffixEnd()
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
	relevant := r.state == StateRecovering && debt != nil && r.recover.opening == 0 &&
		answer.Reader == r.journal.Epoch() && answer.Epoch == debt.Epoch
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
	source.last = answer.Last
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

// debtRead reports whether a read quorum of the mirrors was read to the end.
func (r *Replica) debtRead() bool {
	if r.recover.debt == nil || r.recover.accepted {
		return true
	}
	stall, stalled := r.Stall()
	if !stalled {
		return true
	}
	patience := r.config.AcceptLossAfter
	if patience > 0 && r.hopeless(stall) && !r.now.Before(stall.Since.Add(patience)) {
		r.recover.accepted = true
	}
	return r.recover.accepted
}

// hopeless reports whether the mirrors that may still answer are too few, and
// the epoch's owner is gone too, as far as this node's view goes.
func (r *Replica) hopeless(stall Stall) bool {
	for _, source := range r.recover.sources {
		if source.owner && !source.restarted && r.present(source.mirror.ID) {
			return false
		}
	}
	reachable := stall.Read
	for _, mirror := range stall.Silent {
		if r.present(mirror) {
			reachable++
		}
	}
	return reachable < stall.Needed
}

// Stall tells what a recovery waits for, false when it does not wait for
// mirrors.
func (r *Replica) Stall() (Stall, bool) {
	debt := r.recover.debt
	if r.state != StateRecovering || debt == nil || r.recover.opening > 0 {
		return Stall{}, false
	}
	stall := Stall{Epoch: debt.Epoch, Needed: recordlog.ReadQuorum(len(debt.Mirrors)), Since: r.recover.since}
	for _, source := range r.recover.sources {
		switch {
		case source.owner && source.answered && r.recover.done(source):
			return Stall{}, false
		case source.owner:
			// Nothing is missing if it stays silent.
		case source.restarted:
			stall.Restarted = append(stall.Restarted, source.mirror.ID)
		case !source.answered:
			stall.Silent = append(stall.Silent, source.mirror.ID)
		case r.recover.done(source):
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
		r.recover.accepted = true
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
	if r.recover.accepted {
		set.Unread = r.recover.debt.Epoch
	}
	if r.recover.debt == nil && len(set.Members) == 0 {
		r.acquire()
		return
	}
	r.proposeMirrors(set)
	r.recover.opening = r.mirrors.nextSequence
}

// acquire opens the partition for proposals.
func (r *Replica) acquire() {
	if r.recover.debt != nil {
		r.settled = newSettlement(*r.recover.debt, r.journal.Epoch(), r.mirrorBackoff())
	}
	if r.config.Mirrors != nil {
		r.config.Mirrors.settle(r.config.ID, r.journal.Epoch())
	}
	r.recover = recovery{}
	r.state = StateOwning
	r.ready.Acquired = true
	r.adoptMirrors()
	r.mirrorsChanged()
	r.advanceOwning()
}

func (r *Replica) recoveringTimers() []time.Time {
	var timers []time.Time
	if r.recover.opening > 0 {
		return nil
	}
	if r.mirrors.enlistment.active() && !r.mirrors.enlistment.complete(r.now) {
		timers = append(timers, r.mirrors.enlistment.deadline)
	}
	for _, source := range r.recover.sources {
		if !r.recover.done(source) {
			timers = append(timers, source.deadline)
		}
	}
	if _, stalled := r.Stall(); stalled && r.config.AcceptLossAfter > 0 {
		timers = append(timers, r.recover.since.Add(r.config.AcceptLossAfter))
	}
	return timers
}

// settlement tells the mirrors of an earlier epoch that the log has
// everything, until each of them has answered or is gone.
type settlement struct {
	trim  MirrorTrim
	links []*settlementLink
}

type settlementLink struct {
	mirror   machine.ID
	attempts int
	deadline time.Time
	backoff  retry.Backoff
}

// settlementAttempts is how often a mirror that has left the view is told.
const settlementAttempts = 20

func newSettlement(debt recordlog.Debt, epoch uint64, backoff retry.Backoff) settlement {
	// The trim is of this epoch: it forgets all earlier ones.
	settled := settlement{trim: MirrorTrim{Epoch: epoch}}
	for _, mirror := range debt.Mirrors {
		settled.links = append(settled.links, &settlementLink{mirror: mirror.ID, backoff: backoff})
	}
	owner := recordlog.WriterMachine(debt.Writer)
	settled.links = append(settled.links, &settlementLink{mirror: owner, backoff: backoff})
	return settled
}

// advanceSettlement repeats the trim to those that have not answered.
func (r *Replica) advanceSettlement() {
	r.settled.links = slices.DeleteFunc(r.settled.links, func(link *settlementLink) bool {
		return link.attempts >= settlementAttempts && !r.present(link.mirror)
	})
	for _, link := range r.settled.links {
		if r.now.Before(link.deadline) {
			continue
		}
		link.attempts++
		link.deadline = r.now.Add(link.backoff.Next())
		trim := r.settled.trim
		r.send(link.mirror, Message{Trim: &trim})
	}
}

// acknowledge notes that a mirror of an earlier epoch has forgotten it.
func (s *settlement) acknowledge(from machine.ID) {
	s.links = slices.DeleteFunc(s.links, func(link *settlementLink) bool { return link.mirror == from })
}

func (s *settlement) timers() []time.Time {
	var timers []time.Time
	for _, link := range s.links {
		timers = append(timers, link.deadline)
	}
	return timers
}
