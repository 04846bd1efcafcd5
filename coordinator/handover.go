package coordinator

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// Handover is the message of a clean change of owner. The node that should own the
// partition requests it, and the owner releases it once all its records are in the log.
type Handover struct {
	Partition int `json:"partition"`
	// Released is false in a request. In an answer it reports that the sender does not, or
	// no longer does, serve the partition, and Retained that it continues to.
	Released bool `json:"given,omitempty"`
	Retained bool `json:"kept,omitempty"`
	// Clean reports that the sender of Released was the owner, and that all its records are
	// in the log.
	Clean bool `json:"ordered,omitempty"`
	// Epoch is the highest epoch known to the sender of an answer.
	Epoch ownership.Epoch `json:"epoch,omitempty"`
}

// handoverTimeout is how long a node waits for the owner's answer before it claims the
// partition without it. An owner needs two appends to answer.
const handoverTimeout = 200 * time.Millisecond

// maxStoreAnswerAge is the age of the store's last answer up to which an owner takes part
// in a handover. Beyond it the owner may be unable to flush its records, and continues to
// serve.
const maxStoreAnswerAge = 1200 * time.Millisecond

// handover is the state of a partition's change of owner on this node.
type handover struct {
	// requestedAt is when this node requested the partition. unanswered holds the nodes
	// that have not answered, and repeated reports that they were sent the request twice.
	// released is set once all nodes have answered.
	requestedAt time.Time
	unanswered  map[machine.ID]machine.Machine
	repeated    bool
	released    bool
	// clean reports that the owner itself released the partition.
	clean bool
	// successor is the node to which this node, as the owner, releases the partition once
	// flushPosition is durable.
	successor     *machine.Machine
	flushPosition uint64
}

// requestHandover requests the partition from the nodes that may be serving it or taking it
// over. It reports whether this node may claim it.
func (c *Core) requestHandover(now time.Time, p *partition) bool {
	if p.handover.released || c.config.SkipHandover {
		return true
	}
	if !p.handover.requestedAt.IsZero() {
		c.repeatHandoverRequests(now, p)
		return now.Sub(p.handover.requestedAt) >= handoverTimeout
	}
	unanswered := c.higherRanked(now, p)
	owner, known := c.presumedOwner(now, p.index)
	// A node that reported itself that it cannot reach the store cannot release the
	// partition.
	if known && (!c.peers[owner.ID].direct || c.reachesStore(now, owner.ID)) {
		unanswered[owner.ID] = owner
	}
	if len(unanswered) == 0 {
		return true
	}
	p.handover.requestedAt = now
	p.handover.unanswered = unanswered
	c.sendHandoverRequests(p)
	return false
}

// higherRanked returns the live nodes that rank before this one for the partition.
func (c *Core) higherRanked(now time.Time, p *partition) map[machine.ID]machine.Machine {
	higher := make(map[machine.ID]machine.Machine)
	for _, id := range c.ranking.preferred[p.index] {
		if id == string(c.self().ID) {
			break
		}
		if c.ownerWithoutStore(now, p.index, machine.ID(id)) {
			continue
		}
		if node, known := c.membership.Lookup(machine.ID(id)); known && c.reachesStore(now, node.ID) {
			higher[node.ID] = node
		}
	}
	return higher
}

// ownerWithoutStore reports whether a node is recorded as the partition's owner and as
// unable to reach the store, and so cannot release the partition.
func (c *Core) ownerWithoutStore(now time.Time, index int, node machine.ID) bool {
	known := &c.owners[index]
	return known.Node == node && known.StoreUnreachable && c.failureIsLocal(now, known.receivedAt)
}

// repeatHandoverRequests repeats the request once to the nodes that have not answered,
// since a message may be lost.
func (c *Core) repeatHandoverRequests(now time.Time, p *partition) {
	if p.handover.repeated || now.Sub(p.handover.requestedAt) < handoverTimeout/2 {
		return
	}
	p.handover.repeated = true
	c.sendHandoverRequests(p)
}

func (c *Core) sendHandoverRequests(p *partition) {
	for _, id := range slices.Sorted(maps.Keys(p.handover.unanswered)) {
		c.sendHandover(p.handover.unanswered[id], Handover{Partition: p.index})
	}
}

// lostNodeGrace is how long after its loss a node still gets handover requests before its
// partitions are claimed. It may be alive and wrongly declared dead.
const lostNodeGrace = 3 * time.Second

// presumedOwner returns the node that serves the partition by the newest record, or else
// the other node that ranks first. Recently lost nodes are included.
func (c *Core) presumedOwner(now time.Time, index int) (machine.Machine, bool) {
	if owner, found := c.recordedOwner(now, index); found {
		return owner, true
	}
	return c.nextByRank(now, index)
}

// nextByRank returns the node that ranks first, excluding this one.
func (c *Core) nextByRank(now time.Time, index int) (machine.Machine, bool) {
	var others []ownership.Node
	for _, node := range c.membership.All() {
		lostAt, wasLost := c.ranking.lostAt[string(node.ID)]
		recent := node.Status != machine.StatusDead || (wasLost && now.Sub(lostAt) < lostNodeGrace)
		if node.Kind == machine.KindNode && node.ID != c.self().ID && recent {
			others = append(others, ownership.Node{ID: string(node.ID), Weight: node.Weight})
		}
	}
	return c.membership.Lookup(machine.ID(ownership.TopNode(index, others)))
}

// notifySuccessors sends this node's status, which reports that it cannot reach the store,
// to the next-ranked node of each of its partitions.
func (c *Core) notifySuccessors(now time.Time) {
	notified := make(map[machine.ID]bool)
	for _, p := range c.partitions {
		if p.state != stateServing {
			continue
		}
		successor, known := c.nextByRank(now, p.index)
		if known && !notified[successor.ID] {
			notified[successor.ID] = true
			c.ready.Messages = append(c.ready.Messages, Outbound{To: successor, Message: PeerMessage{From: c.self(), Status: c.status(now)}})
		}
	}
}

// stepHandover processes a request for a partition, or an answer to one.
func (c *Core) stepHandover(now time.Time, from machine.Machine, message Handover) {
	if message.Partition < 0 || message.Partition >= len(c.partitions) {
		return
	}
	p := c.partitions[message.Partition]
	if message.Clean {
		p.contested = contested{}
		p.handover.clean = true
	}
	if message.Retained {
		p.handover = handover{}
		p.nextClaimAt = now.Add(c.retainedPause(now, p))
		return
	}
	if message.Released {
		p.highestEpoch = max(p.highestEpoch, message.Epoch)
		if p.state == stateAbsent && !p.handover.requestedAt.IsZero() {
			delete(p.handover.unanswered, from.ID)
			p.handover.released = len(p.handover.unanswered) == 0
			c.tickPartition(now, p)
		}
		return
	}
	switch p.state {
	case stateAbsent:
		c.answerAsNonOwner(now, p, from)
	case stateServing:
		c.answerAsOwner(now, p, from)
	case stateTakingOver:
		if c.storeReachable && now.Sub(p.takeover.progressAt) < takeoverStallTimeout {
			c.sendHandover(from, Handover{Partition: p.index, Retained: true, Epoch: p.epoch})
		}
		// Otherwise the requester claims the partition after handoverTimeout.
	}
}

// yieldPause is how long a node that left a partition to another preferred node does not
// claim it. By then the other node's claim is known.
const yieldPause = 400 * time.Millisecond

// retainedPause is how long a node does not claim a partition after another node answered
// that it retains it: the full claim interval if the owner is known, otherwise the time
// until its claim is known.
func (c *Core) retainedPause(now time.Time, p *partition) time.Duration {
	if _, serving := c.servingPeer(now, p.index); serving {
		return c.config.MinClaimInterval
	}
	return successionDelay
}

// answerAsNonOwner answers another preferred node. If both intend to claim the partition,
// the higher-ranked one proceeds.
func (c *Core) answerAsNonOwner(now time.Time, p *partition, from machine.Machine) {
	if !p.handover.requestedAt.IsZero() && c.mayClaim(now) && c.outranks(p.index, from.ID) {
		c.sendHandover(from, Handover{Partition: p.index, Retained: true, Epoch: p.highestEpoch})
		return
	}
	p.handover.resetRequest()
	p.nextClaimAt = laterOf(p.nextClaimAt, now.Add(yieldPause))
	c.sendHandover(from, Handover{Partition: p.index, Released: true, Epoch: p.highestEpoch})
}

// outranks reports whether this node ranks before another one for a partition.
func (c *Core) outranks(index int, other machine.ID) bool {
	for _, id := range c.ranking.preferred[index] {
		switch id {
		case string(c.self().ID):
			return true
		case string(other):
			return false
		}
	}
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// resetRequest discards the request in progress.
func (h *handover) resetRequest() {
	h.requestedAt, h.unanswered, h.repeated, h.released, h.clean = time.Time{}, nil, false, false, false
}

// ranksFirst reports whether a node ranks first for a partition in this node's view.
func (c *Core) ranksFirst(index int, node machine.ID) bool {
	preferred := c.ranking.preferred[index]
	return len(preferred) > 0 && preferred[0] == string(node)
}

// answerAsOwner releases the partition if the requester should own it, and retains it
// otherwise. A node that cannot reach the store does not answer.
func (c *Core) answerAsOwner(now time.Time, p *partition, from machine.Machine) {
	if !c.storeReachable || now.Sub(c.lastStoreAnswer) > maxStoreAnswerAge {
		return
	}
	c.updateRanking(now)
	if !c.leaving && (!c.ranksFirst(p.index, from.ID) || c.recentlyTakenOver(now, p)) {
		c.sendHandover(from, Handover{Partition: p.index, Retained: true, Epoch: p.epoch})
		return
	}
	p.ledger.Close(now)
	p.handover.successor = &from
	p.handover.flushPosition = p.ledger.Proposed()
	c.completeHandover(now, p)
}

// minTenure is how long an owner retains a partition that it claimed without a clean
// handover. By then the nodes agree again on which nodes are live, so that the partition
// does not move repeatedly before that.
const minTenure = 5 * time.Second

// recentlyTakenOver reports whether this node's takeover is too recent for another one to
// follow.
func (c *Core) recentlyTakenOver(now time.Time, p *partition) bool {
	return p.takeover.turnsPending || (p.takeover.forced && now.Sub(p.takeoverStartedAt) < minTenure)
}

// completeHandover releases the partition if that was requested and everything up to
// flushPosition is durable.
func (c *Core) completeHandover(now time.Time, p *partition) {
	successor := p.handover.successor
	if p.state != stateServing || successor == nil || p.handover.flushPosition > p.ledger.Durable() {
		return
	}
	// Turns were settled since the last record of their programs.
	c.keepFormerState(now, p)
	c.loseOwnership(p, "handed over")
	p.nextClaimAt = now.Add(c.config.MinClaimInterval)
	c.sendHandover(*successor, Handover{Partition: p.index, Released: true, Clean: true, Epoch: p.epoch})
}

func (c *Core) sendHandover(to machine.Machine, message Handover) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: PeerMessage{From: c.self(), Handover: &message}})
}
