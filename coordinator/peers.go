package coordinator

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
)

// peerState is what a peer told of itself last.
type peerState struct {
	at     time.Time
	status Status
	// heard says that it told so itself, and not through another node.
	heard bool
	// unableSince is when it first told that it does not reach the store;
	// zero while it does.
	unableSince time.Time
}

// peerStateLifetime is how long a peer's status counts.
const peerStateLifetime = 3 * time.Second

// counts reports whether the status is recent enough to count; that of a node
// that was never heard of is not.
func (s peerState) counts(now time.Time) bool { return now.Sub(s.at) <= peerStateLifetime }

func (c *Core) stepPeer(now time.Time, message PeerMessage) {
	sender := message.From
	c.hearing.note(now, sender)
	if message.Status != nil {
		c.learn(now, append(message.Status.Known, sender))
		c.notePeer(now, sender.ID, *message.Status)
		c.noteUnable(now, message.Status.Unable)
		c.ready.Loads = append(c.ready.Loads, PeerLoad{
			Node: string(sender.ID), Counts: message.Status.Loads, Version: message.Status.Version,
			Evacuations: message.Status.Evacuations, From: sender,
		})
		c.takeOwners(now, sender.ID, message.Status)
	} else {
		c.learn(now, []machine.Machine{sender})
	}
	if message.Gather != nil {
		c.stepGather(now, sender.ID, *message.Gather)
	}
	if message.Membership != nil {
		c.membership.Step(now, sender.ID, *message.Membership)
	}
	if message.Charge != nil {
		c.stepChargeMessage(now, sender, message)
	} else if message.Proof != nil {
		c.stepProof(now, sender, *message.Proof)
	}
	if message.Handover != nil {
		c.stepHandover(now, sender, *message.Handover)
	}
}

// takeOwners takes in what a status tells of owners: the sender itself and others.
func (c *Core) takeOwners(now time.Time, sender machine.ID, status *Status) {
	for index, epoch := range status.Owned {
		c.noteServing(sender, index, epoch)
		c.takeOwner(now, Owner{Partition: index, Epoch: epoch, Node: sender, Unable: !status.ReachesStore})
	}
	for _, owner := range status.Owners {
		c.takeOwner(now, owner)
	}
}

// notePeer takes over what a peer tells of itself.
func (c *Core) notePeer(now time.Time, peer machine.ID, status Status) {
	state := peerState{at: now, status: status, heard: true}
	if !status.ReachesStore {
		state.unableSince = now
		if before := c.peers[peer].unableSince; !before.IsZero() {
			state.unableSince = before
		}
	}
	c.setPeer(peer, state)
}

// setPeer takes over the state of a peer.
func (c *Core) setPeer(peer machine.ID, state peerState) {
	c.peers[peer] = state
	if state.status.ReachesStore {
		delete(c.unreaching, peer)
		return
	}
	c.unreaching[peer] = true
}

// forgetUnreaching drops the peers whose word of the store counts no longer.
func (c *Core) forgetUnreaching(now time.Time) {
	for peer := range c.unreaching {
		if !c.peers[peer].counts(now) {
			delete(c.unreaching, peer)
		}
	}
}

// noteContact takes over whether this node reaches the store.
func (c *Core) noteContact(now time.Time, contact Contact) {
	if contact.Reached && !c.reaches {
		c.reachedSince = now
	}
	lost := c.reaches && !contact.Reached
	changed := c.reaches != contact.Reached
	c.reaches = contact.Reached
	c.lastContact = contact.Last
	if changed {
		c.renewRecords(now)
	}
	if lost {
		c.tellHeirs(now)
	}
}

// renewRecords changes the records of the partitions that this node serves.
func (c *Core) renewRecords(now time.Time) {
	for _, one := range c.partitions {
		if one.state == stateServing || one.restoring.claimed {
			c.ownedHere(now, one)
		}
	}
}

// statusPeers returns the other nodes that are not dead. Those that leave are
// among them: they must hear who took their partitions over.
func (c *Core) statusPeers() []machine.Machine {
	return slices.DeleteFunc(c.membership.All(), func(node machine.Machine) bool {
		return node.ID == c.self().ID || node.Kind != machine.KindNode || node.Status == machine.StatusDead
	})
}

// sendStatus tells peers about this node at once.
func (c *Core) sendStatus(now time.Time) {
	peers := c.statusPeers()
	c.config.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), c.config.StatusFanout)] {
		c.ready.Messages = append(c.ready.Messages, Outbound{To: peer, Message: PeerMessage{From: c.self(), Status: c.status(now)}})
	}
}

// status returns what this node tells of itself, and now and then some of the
// nodes that it knows.
func (c *Core) status(now time.Time) *Status {
	status := &Status{
		ReachesStore: c.reaches, Owned: c.owned(), Owners: c.someOwners(), Loads: c.loads.Counts, Version: c.loads.Version,
		Evacuations: c.loads.Evacuations, Unable: c.unable(now),
	}
	if now.Before(c.nextKnown) {
		return status
	}
	c.nextKnown = now.Add(c.config.KnownPeriod)
	status.Known = c.someKnown()
	return status
}

// someKnown returns some of the nodes that this one knows, itself among them.
func (c *Core) someKnown() []machine.Machine {
	var known []machine.Machine
	for _, place := range c.config.Random.Perm(len(c.listing))[:min(len(c.listing), c.config.KnownPerStatus)] {
		known = append(known, c.listing[place])
	}
	return known
}

// regainFor is how long after this node reached the store again it may still hold
// that others do not: as long as their statuses count, and until they notice.
const regainFor = peerStateLifetime + time.Second

// reachesStore reports whether a node may own partitions. A peer that does not
// reach the store counts as able while the store may be down for all: until
// this node has had an answer after the peer told so, and for a while after the
// store came back.
func (c *Core) reachesStore(now time.Time, node machine.ID) bool {
	if node == c.self().ID {
		return c.reaches
	}
	if !c.unreaching[node] {
		return true
	}
	state := c.peers[node]
	if !state.counts(now) {
		return true
	}
	return !c.provesUnable(now, state.unableSince)
}

// provesUnable reports whether word that a node does not reach the store, heard at a
// time, tells of that node alone: the store has answered this one since, and for long.
func (c *Core) provesUnable(now, heardAt time.Time) bool {
	return c.lastContact.After(heardAt) && now.Sub(c.reachedSince) >= regainFor
}

// Owner returns the node that serves the partition as far as this node knows:
// the live one with the highest epoch, or the one that ranks first.
func (c *Core) Owner(now time.Time, index int) (machine.Machine, bool) {
	if c.partitions[index].state == stateServing {
		return c.self(), true
	}
	if peer, found := c.servingPeer(now, index); found {
		return peer, true
	}
	if heirs := c.ranking.heirs[index]; len(heirs) > 0 {
		return c.lookup(machine.ID(heirs[0]))
	}
	return machine.Machine{}, false
}

// servingPeer returns the node that serves a partition by the newest record, if it
// is live and reaches the store.
func (c *Core) servingPeer(now time.Time, index int) (machine.Machine, bool) {
	peer, found := c.recordedOwner(now, index)
	if !found {
		return machine.Machine{}, false
	}
	_, live := slices.BinarySearchFunc(c.membership.Nodes(), peer.ID, func(node machine.Machine, id machine.ID) int {
		return cmp.Compare(node.ID, id)
	})
	return peer, live
}

// Peers returns the live nodes besides this one that reach the store.
func (c *Core) Peers(now time.Time) []machine.Machine {
	return slices.DeleteFunc(slices.Clone(c.membership.Nodes()), func(node machine.Machine) bool {
		return node.ID == c.self().ID || !c.reachesStore(now, node.ID)
	})
}
