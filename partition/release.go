package partition

import (
	"time"

	"birchwood.example/birchwood/journal"
)

// release follows a planned hand-over.
type release struct {
	// sequence is the place of the entry that ends the epoch, once proposed.
	sequence uint64
}

// advanceOwning starts a planned hand-over when another node is to own the
// partition for long enough, or at once when this node stops.
func (r *Replica) advanceOwning() {
	if r.wantsRelease() {
		r.state = StateReleasing
		r.advanceReleasing()
	}
}

func (r *Replica) wantsRelease() bool {
	if r.view.Stopping {
		return true
	}
	return r.desired != "" && r.desired != r.config.Self && r.dwelled(r.config.HandoverDwell)
}

// advanceReleasing appends the entry that ends the epoch behind the last
// proposal, and offers the partition once the log has it. From then on nobody
// needs to read a mirror of the epoch.
func (r *Replica) advanceReleasing() {
	if r.release.sequence == 0 {
		r.release.sequence = r.journal.ProposeMirrors(journal.MirrorSet{Released: true})
	}
	fold := r.journal.Fold()
	if fold.Epoch != r.journal.Epoch() || fold.Sequence < r.release.sequence {
		return
	}
	epoch := fold.Epoch
	next := r.desired
	r.lose()
	if next != "" && next != r.config.Self {
		r.send(next, Message{Handover: &HandoverOffer{Epoch: epoch}})
	}
}

func (r *Replica) owningTimers() []time.Time {
	if r.desired == "" || r.desired == r.config.Self {
		return nil
	}
	return []time.Time{r.desiredSince.Add(r.config.HandoverDwell)}
}
