package coordinator

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// Handover is how a partition changes its owner in order: the node that is to
// own it asks the owner, which gives it up once the log has all that it owes.
type Handover struct {
	Partition int `json:"partition"`
	// Given is false in the question. In the answer it says that the sender
	// does not serve the partition, or no longer does; Kept that it goes on.
	Released bool `json:"given,omitempty"`
	Retained bool `json:"kept,omitempty"`
	// Ordered says that the sender of Given was the owner, and that the log has all
	// that it owed.
	Clean bool `json:"ordered,omitempty"`
	// Epoch is the highest that the sender of an answer knows of.
	Epoch ownership.Epoch `json:"epoch,omitempty"`
}

// handoverPatience is how long a node waits for the owner's answer before it
// claims without it. An owner needs two appends.
const handoverTimeout = 200 * time.Millisecond

// handoverContact is the age up to which an owner's last contact with the store
// says that it can settle what it owes. An owner that cannot goes on as before.
const maxStoreAnswerAge = 1200 * time.Millisecond

// handover is where a partition's change of owner stands on this node.
type handover struct {
	// askedAt is when this node asked; asked are those that have not answered, and
	// again says that they were asked twice. given is set once all have answered.
	requestedAt time.Time
	unanswered  map[machine.ID]machine.Machine
	repeated    bool
	released    bool
	// ordered says that the owner itself gave the partition up.
	clean bool
	// to is the node that this one, as the owner, gives the partition to, once
	// the position is durable.
	successor     *machine.Machine
	flushPosition uint64
}

// askOwner asks those that may serve the partition, or be taking it over, for it. It
// reports whether this node may claim.
func (c *Core) requestHandover(now time.Time, p *partition) bool {
	if p.handover.released || c.config.ClaimWithoutAsking {
		return true
	}
	if !p.handover.requestedAt.IsZero() {
		c.repeatHandoverRequests(now, p)
		return now.Sub(p.handover.requestedAt) >= handoverTimeout
	}
	unanswered := c.higherRanked(now, p)
	owner, known := c.presumedOwner(now, p.index)
	// A node that told itself that it has lost the store cannot give up.
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

// heirsBefore returns the live nodes that rank before this one for the partition.
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

// unableOwner reports whether a node is recorded as the partition's owner and as one
// that does not reach the store: it cannot give up.
func (c *Core) ownerWithoutStore(now time.Time, index int, node machine.ID) bool {
	known := &c.owners[index]
	return known.Node == node && known.StoreUnreachable && c.failureIsLocal(now, known.receivedAt)
}

// askAgain repeats the question once to those that have not answered: a message may
// be lost.
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

// lostFor is how long a node that went is asked before its partitions are
// claimed: it may live, and be taken for dead.
const lostNodeGrace = 3 * time.Second

// presumedOwner returns the node that serves the partition as far as is known,
// or the one that ranks next after this one. Nodes that went lately count.
func (c *Core) presumedOwner(now time.Time, index int) (machine.Machine, bool) {
	if owner, found := c.recordedOwner(now, index); found {
		return owner, true
	}
	return c.nextByRank(now, index)
}

// nextByRank returns the node that ranks first besides this one.
func (c *Core) nextByRank(now time.Time, index int) (machine.Machine, bool) {
	var others []ownership.Node
	for _, node := range c.membership.All() {
		lostAt, wasLost := c.ranking.lostAt[string(node.ID)]
		recent := node.Status != machine.StatusDead || (wasLost && now.Sub(lostAt) < lostNodeGrace)
		if node.Kind == machine.KindNode && node.ID != c.self().ID && recent {
			others = append(others, ownership.Node{ID: string(node.ID), Weight: node.Weight})
		}
	}
	return c.membership.Lookup(machine.ID(ownership.Rank(index, others)))
}

// tellHeirs tells those that rank next after this node for its partitions that
// it has lost the store.
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

// stepHandover takes in a question for a partition, or its answer.
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
		// Otherwise the asker claims when its patience is over.
	}
}

// yieldFor is how long a node that has left a partition to another heir does not claim
// it: until word of the other's claim has come.
const yieldPause = 400 * time.Millisecond

// keptPause is how long a node that was answered that the partition is kept leaves it
// alone: for long where it knows who serves, or else until word of the claim has come.
func (c *Core) retainedPause(now time.Time, p *partition) time.Duration {
	if _, serving := c.servingPeer(now, p.index); serving {
		return c.config.MinClaimInterval
	}
	return successionDelay
}

// answerAbsent answers another heir. Of two that would claim, the one that ranks first
// goes on.
func (c *Core) answerAsNonOwner(now time.Time, p *partition, from machine.Machine) {
	if !p.handover.requestedAt.IsZero() && c.mayClaim(now) && c.outranks(p.index, from.ID) {
		c.sendHandover(from, Handover{Partition: p.index, Retained: true, Epoch: p.highestEpoch})
		return
	}
	p.handover.resetRequest()
	p.nextClaimAt = laterOf(p.nextClaimAt, now.Add(yieldPause))
	c.sendHandover(from, Handover{Partition: p.index, Released: true, Epoch: p.highestEpoch})
}

// ranksBefore reports whether this node ranks before another one for a partition.
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

func laterOf(p, other time.Time) time.Time {
	if p.After(other) {
		return p
	}
	return other
}

// forget drops a question that is under way.
func (h *handover) resetRequest() {
	h.requestedAt, h.unanswered, h.repeated, h.released, h.clean = time.Time{}, nil, false, false, false
}

// toOwn reports whether a node is to own a partition by rank, as this node sees it.
func (c *Core) ranksFirst(index int, node machine.ID) bool {
	preferred := c.ranking.preferred[index]
	return len(preferred) > 0 && preferred[0] == string(node)
}

// answerHandover has an owner give the partition up to the node that is to own it, and
// keep it otherwise. One that has lost the store does not answer.
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

// tenureLeast is how long an owner keeps what it took over: until nodes agree again on
// who lives, so that a partition does not pass from heir to heir meanwhile.
const minTenure = 5 * time.Second

// settling reports whether this owner's takeover is too young for it to be followed.
func (c *Core) recentlyTakenOver(now time.Time, p *partition) bool {
	return p.takeover.turnsPending || (p.takeover.forced && now.Sub(p.takeoverStartedAt) < minTenure)
}

// giveUp hands the partition over if that is asked for and nothing is owed to
// the log any more.
func (c *Core) completeHandover(now time.Time, p *partition) {
	successor := p.handover.successor
	if p.state != stateServing || successor == nil || p.handover.flushPosition > p.ledger.Durable() {
		return
	}
	c.loseOwnership(p, "handed over")
	p.nextClaimAt = now.Add(c.config.MinClaimInterval)
	c.sendHandover(*successor, Handover{Partition: p.index, Released: true, Clean: true, Epoch: p.epoch})
}

func (c *Core) sendHandover(to machine.Machine, message Handover) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: PeerMessage{From: c.self(), Handover: &message}})
}
