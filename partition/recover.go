package partition

import (
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/retry"
)

// recovery is the progress of this node from its claim to the opening of its
// epoch. It reads a quorum of the mirrors that may hold records of an earlier
// epoch, appends those records again and names its own mirrors.
type recovery struct {
	// debt describes the epoch whose mirrors must be read; nil when no mirror
	// can hold records that the log lacks.
	debt    *recordlog.Debt
	sources []*recoverySource
	// suffix holds the entries that the mirrors have after the log's last
	// sequence of the epoch, without gaps.
	suffix    []recordlog.Entry
	startedAt time.Time
	// lossAccepted is set when an operator or AcceptLossAfter gave up the
	// records that were not read.
	lossAccepted bool
	// openingSequence is the sequence of the entry that opens the epoch; zero
	// until it is proposed.
	openingSequence uint64
}

// recoverySource is one process that is read during recovery.
type recoverySource struct {
	mirror recordlog.Mirror
	// owner is set for the process that owned the epoch. It is not a mirror. It
	// counts only once it has lost the epoch, but its answer then replaces
	// those of all mirrors.
	owner bool
	// answered is set by the first answer of the process that agreed to be a
	// mirror. From then on that process accepts no more entries of the epoch,
	// and lastSequence is final.
	answered     bool
	restarted    bool
	lastSequence uint64
	deadline     time.Time
	backoff      retry.Backoff
}

// Stall describes why a recovery waits for mirrors.
type Stall struct {
	// Epoch is the epoch whose mirrors may hold records that the log lacks.
	Epoch uint64 `json:"epoch"`
	// Needed is the number of mirrors that must be read, and Read the number
	// that were.
	Needed int `json:"needed"`
	Read   int `json:"read"`
	// Silent mirrors have not answered. Restarted mirrors have lost the entries
	// they held: if fewer than Needed others are left, waiting cannot help.
	Silent    []machine.ID `json:"silent,omitempty"`
	Restarted []machine.ID `json:"restarted,omitempty"`
	Since     time.Time    `json:"since"`
}

// startRecovering begins the recovery after the claim won.
func (r *Replica) startRecovering() {
	r.claim.backoff.Reset()
	r.state = StateRecovering
	logState := r.journal.Fold()
	r.recover = recovery{debt: logState.Debt, startedAt: r.now}
	if previousOwner := r.claim.previousOwner; previousOwner != "" {
		r.send(previousOwner, Message{Claimed: &Claimed{Epoch: logState.Epoch}})
	}
	r.addSources()
	candidates := MirrorCandidates(r.config.ID, r.view.Placement, r.view.Nodes, r.config.Self, r.config.MirrorCount)
	if len(candidates) > 0 {
		r.enlist(candidates)
	}
	r.advanceRecovering()
}

// addSources lists the processes to read: the mirrors of the epoch in debt, and
// the process that owned it, which may still run.
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

// advanceRecovering opens the epoch once the debt is recovered and all nodes
// that were requested as mirrors have agreed or MirrorTimeout has passed.
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

// querySources queries the sources that have not been read to the end.
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

// exhausted reports whether the source can add no more entries.
func (c *recovery) exhausted(source *recoverySource) bool {
	return source.restarted || source.answered && source.lastSequence <= c.suffixEnd()
}

// suffixEnd returns the sequence up to which the entries of the epoch in debt
// are known.
func (c *recovery) suffixEnd() uint64 {
	if len(c.suffix) > 0 {
		return c.suffix[len(c.suffix)-1].Sequence
	}
	return c.debt.Sequence
}

// stepMirrorAnswer processes a mirror's answer to a query.
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
		// The next part may be requested at once.
		source.deadline = time.Time{}
		source.backoff.Reset()
	}
}

// debtRecovered reports whether recovery may stop reading: a read quorum of the
// mirrors was read to the end, or the loss of the rest was accepted.
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

// quorumUnreachable reports whether, by this node's view, too few mirrors can
// still answer for a read quorum and the epoch's owner does not run either.
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

// Stall returns what a recovery waits for, or false when it does not wait for
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
			// The owner is not a mirror: the quorum does not need its answer.
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

// AcceptLoss lets a stalled recovery continue with the mirrors that answered.
// Records that only the others held are lost, and the log records this. An
// operator decides this per case; Config.AcceptLossAfter does it automatically.
func (r *Replica) AcceptLoss(now time.Time) {
	r.now = now
	if _, stalled := r.Stall(); stalled {
		r.recover.lossAccepted = true
	}
	r.advance()
}

// open appends the records that only mirrors hold, followed by the entry that
// settles the debt and names the mirrors of this epoch. It writes nothing when
// there is no debt and no mirror.
func (r *Replica) open() {
	for _, entry := range r.recover.suffix {
		if entry.Kind == recordlog.KindRecord {
			r.journal.Repropose(r.now, entry)
		}
	}
	set := recordlog.MirrorSet{Members: r.mirrors.enlistment.agreed}
	r.mirrors.enlistment = enlistment{}
	if r.recover.lossAccepted {
		set.AbandonedEpoch = r.recover.debt.Epoch
	}
	if r.recover.debt == nil && len(set.Members) == 0 {
		r.acquire()
		return
	}
	r.proposeMirrors(set)
	r.recover.openingSequence = r.mirrors.nextSequence
}

// acquire completes the recovery: from now on the replica accepts proposals.
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

// trimNotice notifies the mirrors and the owner of an earlier epoch that the
// log has all its entries. It is repeated until each of them has answered or is
// gone.
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

// trimAttempts is the number of attempts after which a recipient that has left
// the view is dropped.
const trimAttempts = 20

func newTrimNotice(debt recordlog.Debt, epoch uint64, backoff retry.Backoff) trimNotice {
	// A trim of the new epoch drops all earlier epochs.
	notice := trimNotice{trim: MirrorTrim{Epoch: epoch}}
	for _, mirror := range debt.Mirrors {
		notice.recipients = append(notice.recipients, &trimRecipient{mirror: mirror.ID, backoff: backoff})
	}
	owner := recordlog.WriterMachine(debt.Writer)
	notice.recipients = append(notice.recipients, &trimRecipient{mirror: owner, backoff: backoff})
	return notice
}

// sendTrims repeats the trim to the recipients that have not answered.
func (r *Replica) sendTrims() {
	r.pendingTrim.recipients = slices.DeleteFunc(r.pendingTrim.recipients, func(recipient *trimRecipient) bool {
		return recipient.attempts >= trimAttempts && !r.running(recipient.mirror)
	})
	for _, recipient := range r.pendingTrim.recipients {
		if r.now.Before(recipient.deadline) {
			continue
		}
		recipient.attempts++
		recipient.deadline = r.now.Add(recipient.backoff.Next())
		trim := r.pendingTrim.trim
		r.send(recipient.mirror, Message{Trim: &trim})
	}
}

// acknowledge removes a recipient that has answered.
func (n *trimNotice) acknowledge(from machine.ID) {
	n.recipients = slices.DeleteFunc(n.recipients, func(recipient *trimRecipient) bool { return recipient.mirror == from })
}

func (n *trimNotice) timers() []time.Time {
	var timers []time.Time
	for _, recipient := range n.recipients {
		timers = append(timers, recipient.deadline)
	}
	return timers
}
