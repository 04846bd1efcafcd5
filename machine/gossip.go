package machine

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// minimumTransmissions is the minimum number of times that a node sends an
// update.
const minimumTransmissions = 10

// transmissions returns how often this node sends an update. If each node that
// receives an update sends it k times to random peers, a share of about exp(-k)
// of the nodes misses it; at 390 nodes k is 18.
func (m *Membership) transmissions() int {
	return max(minimumTransmissions, 2*bits.Len(uint(len(m.rotation.ids)+1)))
}

// disseminate queues an update for gossip. Suspicions are the most frequent
// updates and the least needed ones, as a death is disseminated too, so they
// are sent half as often.
func (m *Membership) disseminate(update Update) {
	transmissions := m.transmissions()
	if update.Status == StatusSuspect {
		transmissions /= 2
	}
	m.rumours.add(update, transmissions)
}

// statusRank orders the statuses of one incarnation. The higher rank wins.
func statusRank(status Status) int {
	switch status {
	case StatusLive:
		return 0
	case StatusSuspect:
		return 1
	case StatusLeaving:
		return 2
	case StatusDead:
		return 3
	}
	return -1
}

// applyUpdate applies a peer's update, and disseminates it if it is newer than
// what is known.
func (m *Membership) applyUpdate(now time.Time, update Update) {
	if update.ID == m.self.ID {
		m.refute(update)
		return
	}
	known, ok := m.records[update.ID]
	if !ok || statusRank(update.Status) < 0 || update.Incarnation < known.incarnation {
		return
	}
	if known.listed.Kind != KindNode {
		if update.Status == StatusLeaving {
			m.markLeaving(now, known, update.Incarnation)
		}
		return
	}
	if update.Incarnation == known.incarnation && statusRank(update.Status) <= statusRank(known.effectiveStatus()) {
		return
	}
	m.applyNewer(now, known, update)
	m.disseminate(update)
}

func (m *Membership) applyNewer(now time.Time, known *record, update Update) {
	previous := known.machine()
	known.incarnation = update.Incarnation
	switch update.Status {
	case StatusLive:
		m.restart(known, update.Incarnation)
	case StatusSuspect:
		m.suspect(now, known)
	case StatusLeaving:
		known.status = StatusLive
		known.leaving = true
		known.leavingSince = now
		known.leavingIncarnation = update.Incarnation
		delete(m.suspects, update.ID)
	case StatusDead:
		m.declareDead(known)
	}
	if sameInViews(previous, known.machine()) {
		return
	}
	m.viewChanged()
	if update.Status == StatusLeaving {
		m.viewChangedNow()
	}
}

// refute answers an update that claims that this node is suspect or dead, or
// that it is leaving although only an earlier process was. Updates about an
// older incarnation are answered too, because their sender has missed the
// refutation.
func (m *Membership) refute(update Update) {
	falseLeaving := update.Status == StatusLeaving && !m.leaving
	if update.Status != StatusSuspect && update.Status != StatusDead && !falseLeaving {
		return
	}
	if update.Incarnation >= m.self.Incarnation {
		m.self.Incarnation = update.Incarnation + 1
		m.health.worsen(1)
	}
	m.disseminate(m.selfUpdate())
}

func (m *Membership) selfUpdate() Update {
	return Update{ID: m.self.ID, Incarnation: m.self.Incarnation, Status: m.self.Status}
}

func (r *record) update() Update {
	return Update{ID: r.listed.ID, Incarnation: r.incarnation, Status: r.effectiveStatus()}
}

func (m *Membership) recordPeerRevision(from ID, revision uint64) {
	if revision <= m.peerRevision {
		return
	}
	m.peerRevision = revision
	m.peerRevisionSource = from
}

// send queues a message with as many updates as fit. This node's status of the
// receiver itself comes first, so that the receiver can refute it.
func (m *Membership) send(to ID, message Message) {
	message.Revision = m.revision
	if known, ok := m.records[to]; ok && known.status != StatusLive {
		message.Updates = append(message.Updates, known.update())
	}
	if known, ok := m.records[message.Target]; ok && message.Kind == MessageProbeFor && known.status != StatusLive {
		message.Updates = append(message.Updates, known.update())
	}
	message.Updates = m.rumours.appendTo(message.Updates, m.config.UpdatesPerMessage)
	m.outbound = append(m.outbound, Outbound{To: to, Message: message})
}

// gossip sends recent updates to a few random peers.
func (m *Membership) gossip() {
	if !m.rumours.pending() {
		return
	}
	for _, peer := range m.randomPeers(m.config.GossipFanout, "") {
		m.send(peer, Message{Kind: MessageGossip})
	}
	m.rumours.gossipRoundSent()
}

// randomPeers returns up to count distinct live nodes, without the given one.
func (m *Membership) randomPeers(count int, except ID) []ID {
	var peers []ID
	ids := m.rotation.ids
	if len(ids) == 0 {
		return nil
	}
	// A limited number of draws keeps the cost constant when many nodes are
	// dead.
	for range 4 * count {
		if len(peers) == count {
			break
		}
		id := ids[m.config.Random.IntN(len(ids))]
		known, ok := m.records[id]
		if !ok || known.status != StatusLive || id == except || slices.Contains(peers, id) {
			continue
		}
		peers = append(peers, id)
	}
	return peers
}

// rumour is an update that still has to be disseminated.
type rumour struct {
	update    Update
	remaining int
}

// rumours is the queue of updates to disseminate, the least often sent ones
// first. It contains at most one update for each machine.
type rumours struct {
	queue []rumour
	// extraRounds is the number of gossip rounds still to be sent for a new
	// settings revision.
	extraRounds int
}

func (r *rumours) pending() bool {
	return len(r.queue) > 0 || r.extraRounds > 0
}

// requestRounds makes the next rounds of gossip take place even without updates
// to send.
func (r *rumours) requestRounds(rounds int) {
	r.extraRounds = rounds
}

func (r *rumours) gossipRoundSent() {
	if r.extraRounds > 0 {
		r.extraRounds--
	}
}

// add queues an update in place of an earlier one about the same machine.
func (r *rumours) add(update Update, transmissions int) {
	r.remove(update.ID)
	r.queue = append(r.queue, rumour{update: update, remaining: transmissions})
}

func (r *rumours) remove(id ID) {
	r.queue = slices.DeleteFunc(r.queue, func(queued rumour) bool {
		return queued.update.ID == id
	})
}

// appendTo appends queued updates up to maximum in all, and counts each of them
// as sent once more.
func (r *rumours) appendTo(updates []Update, maximum int) []Update {
	slices.SortStableFunc(r.queue, func(left, right rumour) int {
		return right.remaining - left.remaining
	})
	for i := range r.queue {
		if len(updates) >= maximum {
			break
		}
		queued := &r.queue[i]
		if slices.ContainsFunc(updates, func(included Update) bool { return included.ID == queued.update.ID }) {
			continue
		}
		updates = append(updates, queued.update)
		queued.remaining--
	}
	r.queue = slices.DeleteFunc(r.queue, func(queued rumour) bool { return queued.remaining <= 0 })
	return updates
}

// rotation is a shuffled list of nodes that selects each node once before any
// node a second time. This bounds the time until a failed node is probed.
type rotation struct {
	ids    []ID
	cursor int
}

// insert adds a node at a random position of the rotation.
func (r *rotation) insert(id ID, random *rand.Rand) {
	if slices.Contains(r.ids, id) {
		return
	}
	index := random.IntN(len(r.ids) + 1)
	r.ids = slices.Insert(r.ids, index, id)
	if index < r.cursor {
		r.cursor++
	}
}

// next returns the next accepted node. The list is shuffled after each round.
func (r *rotation) next(random *rand.Rand, accept func(ID) bool) (ID, bool) {
	for range 2 * len(r.ids) {
		if r.cursor >= len(r.ids) {
			r.cursor = 0
			random.Shuffle(len(r.ids), func(i, j int) { r.ids[i], r.ids[j] = r.ids[j], r.ids[i] })
		}
		id := r.ids[r.cursor]
		r.cursor++
		if accept(id) {
			return id, true
		}
	}
	return "", false
}

// remove deletes a node from the rotation.
func (r *rotation) remove(id ID) {
	index := slices.Index(r.ids, id)
	if index < 0 {
		return
	}
	r.ids = slices.Delete(r.ids, index, index+1)
	if index < r.cursor {
		r.cursor--
	}
}

// health is this node's confidence in its own connectivity, after Lifeguard.
// Score 0 is healthy.
type health struct {
	maximum    int
	score      int
	lastAnswer time.Time
}

func (h *health) worsen(by int) {
	h.score = min(h.maximum, h.score+by)
}

// improve records an answer from any peer.
func (h *health) improve(now time.Time) {
	h.lastAnswer = now
	h.score = max(0, h.score-1)
}

func (h *health) answeredSince(when time.Time) bool {
	return h.lastAnswer.After(when)
}

func (h *health) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}
