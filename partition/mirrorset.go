package partition

import (
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// reviewMirrorsAfter schedules a review of the mirror set, unless an earlier
// one is scheduled.
func (r *Replica) reviewMirrorsAfter(wait time.Duration) {
	at := r.now.Add(wait)
	if r.mirrors.reviewAt.IsZero() || at.Before(r.mirrors.reviewAt) {
		r.mirrors.reviewAt = at
	}
}

// scheduleMirrorReview schedules a review of the mirror set if the view calls
// for one: a member is gone or may have been restarted, or there are fewer than
// MirrorCount members and other candidates exist.
func (r *Replica) scheduleMirrorReview() {
	if r.config.MirrorCount == 0 || r.state != StateOwning {
		return
	}
	for _, link := range r.mirrors.links {
		if r.incarnation(link.mirror.ID) != link.incarnation {
			r.reviewMirrorsAfter(r.config.HandoverDwell)
		}
	}
	if len(r.healthyMirrors()) < r.config.MirrorCount && len(r.spareCandidates()) > 0 {
		r.reviewMirrorsAfter(r.config.HandoverDwell)
	}
}

// reviewMirrors replaces members that are gone: it queries candidates, and
// proposes a set of those that agree and the members that stay. It waits while
// the log does not answer, because only the log can change the set.
func (r *Replica) reviewMirrors(degraded bool) {
	m := &r.mirrors
	if r.state != StateOwning || m.nextSequence > 0 {
		return
	}
	if m.enlistment.active() {
		r.finishReview(degraded)
		return
	}
	if m.reviewAt.IsZero() || r.now.Before(m.reviewAt) {
		return
	}
	m.reviewAt = time.Time{}
	if degraded {
		r.reviewMirrorsAfter(r.config.HandoverDwell)
		return
	}
	if queried := r.reviewCandidates(); len(queried) > 0 {
		r.enlist(queried)
	}
}

// reviewCandidates returns the nodes to query: members that may have been
// restarted, and candidates to fill the set.
func (r *Replica) reviewCandidates() []machine.ID {
	var queried []machine.ID
	for _, link := range r.mirrors.links {
		if r.eligible(link.mirror.ID) && (link.restarted || r.incarnation(link.mirror.ID) != link.incarnation) {
			queried = append(queried, link.mirror.ID)
		}
	}
	free := r.config.MirrorCount - len(r.healthyMirrors())
	for _, id := range r.spareCandidates() {
		if free > 0 && !slices.Contains(queried, id) {
			queried = append(queried, id)
			free--
		}
	}
	return queried
}

// finishReview proposes the new set if it differs from the current one.
func (r *Replica) finishReview(degraded bool) {
	m := &r.mirrors
	if !m.enlistment.complete(r.now) {
		return
	}
	agreed := m.enlistment.agreed
	m.enlistment = enlistment{}
	if degraded {
		r.reviewMirrorsAfter(r.config.HandoverDwell)
		return
	}
	members := r.healthyMirrors()
	for _, mirror := range agreed {
		members = slices.DeleteFunc(members, func(member recordlog.Mirror) bool { return member.ID == mirror.ID })
	}
	members = append(members, agreed...)
	members = members[:min(len(members), r.config.MirrorCount)]
	for _, link := range r.mirrors.links {
		link.incarnation = r.incarnation(link.mirror.ID)
	}
	if sameMembers(members, m.current) {
		return
	}
	r.proposeMirrors(recordlog.MirrorSet{Members: members})
}

// healthyMirrors returns the members that are live and have not been restarted.
func (r *Replica) healthyMirrors() []recordlog.Mirror {
	var healthy []recordlog.Mirror
	for _, link := range r.mirrors.links {
		if r.eligible(link.mirror.ID) && !link.restarted && slices.Contains(r.mirrors.current, link.mirror) {
			healthy = append(healthy, link.mirror)
		}
	}
	return healthy
}

// spareCandidates returns the candidates that are not healthy members, best
// first.
func (r *Replica) spareCandidates() []machine.ID {
	healthy := r.healthyMirrors()
	all := len(r.view.Nodes)
	candidates := MirrorCandidates(r.config.ID, r.view.Placement, r.view.Nodes, r.config.Self, all)
	return slices.DeleteFunc(candidates, func(id machine.ID) bool {
		return slices.ContainsFunc(healthy, func(mirror recordlog.Mirror) bool { return mirror.ID == id })
	})
}

func sameMembers(a, b []recordlog.Mirror) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !slices.Contains(b, member) {
			return false
		}
	}
	return true
}
