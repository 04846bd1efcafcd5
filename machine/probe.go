package machine

import (
	"maps"
	"slices"
	"time"
)

// probe is an outstanding probe of a peer.
type probe struct {
	target   ID
	started  time.Time
	deadline time.Time
	// indirect is set once indirect probes of the target have been sent.
	indirect bool
}

// relay is a probe sent on behalf of the peer that requested it.
type relay struct {
	requester ID
	sequence  uint64
	target    ID
	deadline  time.Time
}

// indirectTimeoutFactor is the timeout of an indirect probe, in probe
// timeouts.
const indirectTimeoutFactor = 2

// minimumSelfBlamePeers is the number of peers from which on a node that gets
// no answer from any of them treats itself as faulty, whatever the machine list
// shows.
const minimumSelfBlamePeers = 3

// Step processes a message from another node.
func (m *Membership) Step(now time.Time, from ID, message Message) {
	m.advance(now)
	if known, ok := m.records[from]; ok {
		known.lastReceived = now
	}
	m.recordPeerRevision(from, message.Revision)
	for _, update := range message.Updates {
		m.applyUpdate(now, update)
	}
	switch message.Kind {
	case MessageProbe:
		m.send(from, Message{Kind: MessageAck, Sequence: message.Sequence, Reliable: message.Reliable})
		m.probeDeadSender(now, from)
	case MessageProbeFor:
		m.relayProbe(now, from, message)
	case MessageAck:
		m.stepAck(now, from, message)
	}
}

func (m *Membership) relayProbe(now time.Time, from ID, message Message) {
	if _, ok := m.records[message.Target]; !ok {
		return
	}
	m.sequence++
	m.relays[m.sequence] = relay{
		requester: from,
		sequence:  message.Sequence,
		target:    message.Target,
		deadline:  now.Add(indirectTimeoutFactor * m.config.ProbeTimeout),
	}
	m.send(message.Target, Message{Kind: MessageProbe, Sequence: m.sequence, Reliable: true})
}

func (m *Membership) stepAck(now time.Time, from ID, message Message) {
	if forwarded, ok := m.relays[message.Sequence]; ok && forwarded.target == from {
		delete(m.relays, message.Sequence)
		m.send(forwarded.requester, Message{Kind: MessageAck, Sequence: forwarded.sequence, Target: forwarded.target, Reliable: true})
		return
	}
	outstanding, ok := m.probes[message.Sequence]
	relayed := message.Target != ""
	if !ok || (relayed && message.Target != outstanding.target) || (!relayed && from != outstanding.target) {
		return
	}
	delete(m.probes, message.Sequence)
	m.health.improve(now)
	known, ok := m.records[outstanding.target]
	if !ok {
		return
	}
	known.unreachable = relayed
	m.clearSuspicion(known)
}

// clearSuspicion ends a suspicion after the suspect's own answer. A death is
// revoked only by a higher incarnation, which the answer carries.
func (m *Membership) clearSuspicion(known *record) {
	if known.status != StatusSuspect {
		return
	}
	known.status = StatusLive
	delete(m.suspects, known.listed.ID)
	m.rumours.remove(known.listed.ID)
}

// probeDeadSender probes a node that counts as dead but has sent a probe. The
// probe carries that status, so that the node can refute it.
func (m *Membership) probeDeadSender(now time.Time, from ID) {
	known, ok := m.records[from]
	if ok && known.status == StatusDead {
		m.startProbe(now, from)
	}
}

// probeNext probes the next peers of the rotation. While nodes of a zone are
// suspect, every second round probes that zone only, because the nodes of a
// zone often fail together.
func (m *Membership) probeNext(now time.Time) {
	m.probeRound++
	for range m.config.ProbesPerPeriod {
		target, ok := m.peerInSuspectZone()
		if !ok || m.probeRound%2 == 0 {
			target, ok = m.rotation.next(m.config.Random, m.notDead)
		}
		if ok {
			m.startProbe(now, target)
		}
	}
}

func (m *Membership) notDead(id ID) bool {
	known, ok := m.records[id]
	return ok && known.status != StatusDead
}

// peerInSuspectZone returns a random live node in the zone of a random suspect.
func (m *Membership) peerInSuspectZone() (ID, bool) {
	if len(m.suspects) == 0 {
		return "", false
	}
	suspects := slices.Sorted(maps.Keys(m.suspects))
	suspect := m.suspects[suspects[m.config.Random.IntN(len(suspects))]]
	var neighbours []ID
	for _, id := range m.rotation.ids {
		known := m.records[id]
		if known.status == StatusLive && known.listed.Zone == suspect.listed.Zone {
			neighbours = append(neighbours, id)
		}
	}
	if len(neighbours) == 0 {
		return "", false
	}
	return neighbours[m.config.Random.IntN(len(neighbours))], true
}

// probeDead probes one dead peer that is still listed, in case it has
// recovered.
func (m *Membership) probeDead(now time.Time) {
	dead := func(id ID) bool {
		known, ok := m.records[id]
		return ok && known.status == StatusDead
	}
	if target, ok := m.deadRotation.next(m.config.Random, dead); ok {
		m.startProbe(now, target)
	}
}

// startProbe sends a probe unless the target was probed less than ProbePeriod
// ago.
func (m *Membership) startProbe(now time.Time, target ID) {
	known := m.records[target]
	if !known.lastProbe.IsZero() && now.Sub(known.lastProbe) < m.config.ProbePeriod {
		return
	}
	known.lastProbe = now
	m.sequence++
	m.probes[m.sequence] = &probe{
		target:   target,
		started:  now,
		deadline: now.Add(m.health.scale(m.config.ProbeTimeout)),
	}
	m.send(target, Message{Kind: MessageProbe, Sequence: m.sequence})
}

// sendIndirectProbes sends indirect probes through random live peers.
func (m *Membership) sendIndirectProbes(now time.Time, sequence uint64) {
	outstanding := m.probes[sequence]
	outstanding.indirect = true
	outstanding.deadline = now.Add(m.health.scale(indirectTimeoutFactor * m.config.ProbeTimeout))
	for _, helper := range m.randomPeers(m.config.IndirectProbes, outstanding.target) {
		m.send(helper, Message{Kind: MessageProbeFor, Sequence: sequence, Target: outstanding.target, Reliable: true})
	}
}

func (m *Membership) expireProbes(now time.Time) {
	for _, sequence := range slices.Sorted(maps.Keys(m.probes)) {
		outstanding := m.probes[sequence]
		if now.Before(outstanding.deadline) {
			continue
		}
		if !outstanding.indirect {
			m.sendIndirectProbes(now, sequence)
			continue
		}
		delete(m.probes, sequence)
		m.probeFailed(now, outstanding)
	}
	for sequence, forwarded := range m.relays {
		if !now.Before(forwarded.deadline) {
			delete(m.relays, sequence)
		}
	}
}

// probeFailed handles a probe that neither the target nor a relay answered.
func (m *Membership) probeFailed(now time.Time, failed *probe) {
	if !m.health.answeredSince(failed.started) {
		m.health.worsen(1)
	}
	known, ok := m.records[failed.target]
	if !ok || known.status == StatusDead {
		return
	}
	known.unreachable = true
	if known.lastReceived.After(failed.started) {
		return
	}
	if known.status == StatusLive {
		m.suspect(now, known)
		known.suspectedHere = true
		m.disseminate(known.update())
	}
	m.probeLastResponsive(now)
}

// probeLastResponsive probes the peer with the most recent message. An ack
// shows that the fault is not on this node's side.
func (m *Membership) probeLastResponsive(now time.Time) {
	var latest *record
	for _, known := range m.records {
		if known.listed.Kind != KindNode || known.status != StatusLive || known.unreachable {
			continue
		}
		if latest == nil || known.lastReceived.After(latest.lastReceived) ||
			(known.lastReceived.Equal(latest.lastReceived) && known.listed.ID < latest.listed.ID) {
			latest = known
		}
	}
	if latest != nil {
		m.startProbe(now, latest.listed.ID)
	}
}

func (m *Membership) suspect(now time.Time, known *record) {
	known.status = StatusSuspect
	known.suspectedHere = false
	m.suspects[known.listed.ID] = known
	m.restartSuspicion(now, known)
}

// restartSuspicion restarts the suspect's full timeout.
func (m *Membership) restartSuspicion(now time.Time, known *record) {
	known.suspectSince = now
	known.suspectUntil = now.Add(m.health.scale(m.config.SuspectTimeout))
}

// expireSuspects declares the suspects dead that did not refute in time.
func (m *Membership) expireSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.suspects)) {
		known := m.suspects[id]
		if now.Before(known.suspectUntil) {
			continue
		}
		if !m.mayDeclareDead(now, known) {
			// Wait for one more timeout, in which a peer may answer.
			m.restartSuspicion(now, known)
			continue
		}
		m.declareDead(known)
		if known.suspectedHere {
			// Only the origin of the suspicion disseminates the death. Other
			// nodes that received the suspicion declare it themselves.
			m.disseminate(known.update())
		}
	}
}

// mayDeclareDead reports whether this node has evidence that it is not itself
// partitioned off.
func (m *Membership) mayDeclareDead(now time.Time, known *record) bool {
	if m.health.answeredSince(known.suspectSince) {
		return true
	}
	fresh := now.Sub(m.lastObserved) < m.config.ListTimeout
	return fresh && m.peerCount() < minimumSelfBlamePeers
}

func (m *Membership) peerCount() int {
	count := 0
	for _, known := range m.records {
		if known.listed.Kind == KindNode && known.status != StatusDead {
			count++
		}
	}
	return count
}

func (m *Membership) declareDead(known *record) {
	known.status = StatusDead
	delete(m.suspects, known.listed.ID)
	m.viewChanged()
}
