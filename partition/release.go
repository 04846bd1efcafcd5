package partition

import (
	"time"

	"birchwood.example/birchwood/recordlog"
)

// release is the progress of a planned handover.
type release struct {
	// sequence is that of the entry that ends the epoch; zero until it is
	// proposed.
	sequence uint64
}

// idleCheck tracks how long the log has shown an owner no new entries.
type idleCheck struct {
	nextOffset uint64
	checkAt    time.Time
}

// advanceOwning starts a handover that is due, unless the view defers it, and
// otherwise keeps up the owner's mirrors and checks.
func (r *Replica) advanceOwning() {
	if r.HandoverDue() && !r.view.DeferHandover {
		r.state = StateReleasing
		r.advanceReleasing()
		return
	}
	r.advanceMirrors()
	r.sendTrims()
	r.checkIdle()
}

// checkIdle checks the stream for a later claim when the log has shown no new
// entry for IdleCheck.
func (r *Replica) checkIdle() {
	if nextOffset := r.journal.Fold().NextOffset; nextOffset != r.idleCheck.nextOffset || r.idleCheck.checkAt.IsZero() {
		r.idleCheck = idleCheck{nextOffset: nextOffset, checkAt: r.now.Add(r.config.IdleCheck)}
		return
	}
	if !r.now.Before(r.idleCheck.checkAt) {
		r.idleCheck.checkAt = r.now.Add(r.config.IdleCheck)
		r.journal.CheckSuperseded(r.now)
	}
}

// HandoverDue reports whether an owner should hand the partition over: this
// node is stopping, the placement excludes it, or another node has been the
// desired owner for HandoverDwell while the log answers. The handover starts at
// once unless the view sets DeferHandover.
func (r *Replica) HandoverDue() bool {
	if r.state != StateOwning {
		return false
	}
	if r.view.Stopping || r.view.Excluded {
		return true
	}
	return !r.degraded() && r.desired != "" && r.desired != r.config.Self && r.desiredFor(r.config.HandoverDwell)
}

// advanceReleasing appends the entry that ends the epoch after the last
// proposal, and offers the partition once the log has it. From then on no
// claimant needs to read the mirrors of the epoch.
func (r *Replica) advanceReleasing() {
	if r.release.sequence == 0 {
		r.release.sequence = r.journal.ProposeMirrors(r.now, recordlog.MirrorSet{Released: true})
	}
	logState := r.journal.Fold()
	if logState.Sequence < r.release.sequence {
		r.advanceMirrors()
		return
	}
	epoch := logState.Epoch
	next := r.desired
	r.lose()
	if next != "" && next != r.config.Self {
		r.send(next, Message{Handover: &HandoverOffer{Epoch: epoch}})
	}
}

func (r *Replica) owningTimers() []time.Time {
	timers := append(r.mirrorTimers(), r.pendingTrim.timers()...)
	timers = append(timers, r.idleCheck.checkAt)
	if r.desired != "" && r.desired != r.config.Self {
		timers = append(timers, r.desiredSince.Add(r.config.HandoverDwell))
	}
	return timers
}
