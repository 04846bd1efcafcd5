package coordinator

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
)

// peerState is the last known status of a peer.
type peerState struct {
	receivedAt time.Time
	status     Status
	// direct is set if the peer reported the status itself, not through another node.
	direct bool
	// storeUnreachableSince is when the peer first reported that it cannot reach the store;
	// zero while it reaches it.
	storeUnreachableSince time.Time
}

// peerStateLifetime is how long a peer's status is valid.
const peerStateLifetime = 3 * time.Second

// fresh reports whether the status is recent enough to be valid. The zero state of a peer
// without any status is not.
func (s peerState) fresh(now time.Time) bool { return now.Sub(s.receivedAt) <= peerStateLifetime }

func (c *Core) stepPeer(now time.Time, message PeerMessage) {
	sender := message.From
	c.receiveTimes.record(now, sender)
	if message.Status != nil {
		c.addNodes(now, append(message.Status.Known, sender))
		c.updatePeer(now, sender.ID, *message.Status)
		c.mergeStoreUnreachable(now, message.Status.StoreUnreachable)
		c.ready.Loads = append(c.ready.Loads, PeerLoad{
			Node: string(sender.ID), Counts: message.Status.Loads, Version: message.Status.Version,
			Evacuations: message.Status.Evacuations, From: sender,
		})
		c.mergeOwners(now, sender.ID, message.Status)
	} else {
		c.addNodes(now, []machine.Machine{sender})
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
		c.stepFreshness(now, sender, *message.Proof)
	}
	if message.Handover != nil {
		c.stepHandover(now, sender, *message.Handover)
	}
	if message.Former != nil {
		c.stepFormer(now, sender.ID, message.Former)
	}
	if message.Quarantine != nil {
		c.stepQuarantine(now, sender, message.Quarantine)
	}
	if message.Claim != nil {
		c.stepClaims(now, sender, message.Claim)
	}
}

// mergeOwners merges the owner records of a status: those of the sender itself and those of
// others.
func (c *Core) mergeOwners(now time.Time, sender machine.ID, status *Status) {
	for index, epoch := range status.Owned {
		c.markServing(sender, index, epoch)
		c.mergeOwner(now, Owner{Partition: index, Epoch: epoch, Node: sender, StoreUnreachable: !status.ReachesStore})
	}
	for _, owner := range status.Owners {
		c.mergeOwner(now, owner)
	}
}

// updatePeer stores the status that a peer reported of itself.
func (c *Core) updatePeer(now time.Time, peer machine.ID, status Status) {
	state := peerState{receivedAt: now, status: status, direct: true}
	if !status.ReachesStore {
		state.storeUnreachableSince = now
		if before := c.peers[peer].storeUnreachableSince; !before.IsZero() {
			state.storeUnreachableSince = before
		}
	}
	c.setPeer(peer, state)
}

// setPeer stores the state of a peer.
func (c *Core) setPeer(peer machine.ID, state peerState) {
	c.peers[peer] = state
	if state.status.ReachesStore {
		delete(c.withoutStore, peer)
		return
	}
	c.withoutStore[peer] = true
}

// expireWithoutStore removes the peers from withoutStore whose status is no longer valid.
func (c *Core) expireWithoutStore(now time.Time) {
	for peer := range c.withoutStore {
		if !c.peers[peer].fresh(now) {
			delete(c.withoutStore, peer)
		}
	}
}

// stepStoreContact updates whether this node reaches the store.
func (c *Core) stepStoreContact(now time.Time, contact StoreContact) {
	if contact.Reached && !c.storeReachable {
		c.storeReachableSince = now
	}
	lost := c.storeReachable && !contact.Reached
	changed := c.storeReachable != contact.Reached
	c.storeReachable = contact.Reached
	c.lastStoreAnswer, c.storeCallsFailing = contact.Last, contact.Failing
	if changed {
		c.republishOwnership(now)
	}
	if lost {
		c.notifySuccessors(now)
	}
}

// republishOwnership revises the owner records of the partitions that this node serves or
// has claimed.
func (c *Core) republishOwnership(now time.Time) {
	for _, p := range c.partitions {
		if p.state == stateServing || p.takeover.claimed {
			c.publishOwnership(now, p)
		}
	}
}

// statusPeers returns the other nodes that are not dead. Leaving nodes are included because
// they need the records of the new owners of their partitions.
func (c *Core) statusPeers() []machine.Machine {
	return slices.DeleteFunc(c.membership.All(), func(node machine.Machine) bool {
		return node.ID == c.self().ID || node.Kind != machine.KindNode || node.Status == machine.StatusDead
	})
}

// randomPeers returns at most count of the statusPeers, drawn at random.
func (c *Core) randomPeers(count int) []machine.Machine {
	peers := c.statusPeers()
	c.config.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// sendStatus sends this node's status to some peers at once.
func (c *Core) sendStatus(now time.Time) {
	for _, peer := range c.randomPeers(c.config.StatusFanout) {
		c.ready.Messages = append(c.ready.Messages, Outbound{To: peer, Message: PeerMessage{From: c.self(), Status: c.status(now)}})
	}
}

// status returns this node's status, which from time to time includes a sample of the known
// nodes.
func (c *Core) status(now time.Time) *Status {
	status := &Status{
		ReachesStore: c.storeReachable, Owned: c.ownedPartitions(), Owners: c.nextOwners(), Loads: c.loads.Counts, Version: c.loads.Version,
		Evacuations: c.loads.Evacuations, StoreUnreachable: c.sampleWithoutStore(now),
	}
	if now.Before(c.nextKnownNodesAt) {
		return status
	}
	c.nextKnownNodesAt = now.Add(c.config.KnownNodesPeriod)
	status.Known = c.sampleKnownNodes()
	return status
}

// sampleKnownNodes returns a random sample of the known nodes, which may include this one.
func (c *Core) sampleKnownNodes() []machine.Machine {
	var known []machine.Machine
	for _, index := range c.config.Random.Perm(len(c.sortedNodes))[:min(len(c.sortedNodes), c.config.KnownNodesPerStatus)] {
		known = append(known, c.sortedNodes[index])
	}
	return known
}

// storeRecoveryGrace is how long after this node reached the store again it may still
// consider others unable to reach it: while their old statuses are valid, and until they
// detect the recovery.
const storeRecoveryGrace = peerStateLifetime + time.Second

// reachesStore reports whether a node may own partitions. A peer that reports that it cannot
// reach the store may still own them while the store may be unavailable to all: until this
// node has had an answer from the store after that report, and for storeRecoveryGrace after
// the store became reachable again.
func (c *Core) reachesStore(now time.Time, node machine.ID) bool {
	if node == c.self().ID {
		return c.storeReachable
	}
	if !c.withoutStore[node] {
		return true
	}
	state := c.peers[node]
	if !state.fresh(now) {
		return true
	}
	return !c.failureIsLocal(now, state.storeUnreachableSince)
}

// failureIsLocal reports whether a node's failure to reach the store, reported at
// reportedAt, concerns that node alone: the store has answered this node since, and has been
// reachable for storeRecoveryGrace.
func (c *Core) failureIsLocal(now, reportedAt time.Time) bool {
	return c.lastStoreAnswer.After(reportedAt) && now.Sub(c.storeReachableSince) >= storeRecoveryGrace
}

// Owner returns the node that serves the partition as far as this node knows: the owner by
// the newest record if it is live, or else the node that ranks first.
func (c *Core) Owner(now time.Time, index int) (machine.Machine, bool) {
	if c.partitions[index].state == stateServing {
		return c.self(), true
	}
	if peer, found := c.servingPeer(now, index); found {
		return peer, true
	}
	if preferred := c.ranking.preferred[index]; len(preferred) > 0 {
		return c.lookup(machine.ID(preferred[0]))
	}
	return machine.Machine{}, false
}

// servingPeer returns the node that serves a partition by the newest record, and whether
// that node is live and may serve.
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

// Peers returns the other live nodes that reach the store.
func (c *Core) Peers(now time.Time) []machine.Machine {
	return slices.DeleteFunc(slices.Clone(c.membership.Nodes()), func(node machine.Machine) bool {
		return node.ID == c.self().ID || !c.reachesStore(now, node.ID)
	})
}
