package coordinator

import (
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
	Given bool `json:"given,omitempty"`
	Kept  bool `json:"kept,omitempty"`
	// Epoch is the highest that the sender of an answer knows of.
	Epoch ownership.Epoch `json:"epoch,omitempty"`
}

// handoverPatience is how long a node waits for the owner's answer before it
// claims without it. An owner needs two appends.
const handoverPatience = 200 * time.Millisecond

// handoverContact is the age up to which an owner's last contact with the store
// says that it can settle what it owes. An owner that cannot goes on as before.
const handoverContact = 1200 * time.Millisecond

// handover is where a partition's change of owner stands on this node.
type handover struct {
	// askedAt is when this node asked the owner; given is set by the answer.
	askedAt time.Time
	given   bool
	// to is the node that this one, as the owner, gives the partition to, once
	// the position is durable.
	to       *machine.Machine
	position uint64
}

// askOwner asks the owner for the partition, once. It reports whether this node
// may claim.
func (c *Core) askOwner(now time.Time, one *partition) bool {
	if one.handover.given || c.config.ClaimWithoutAsking {
		return true
	}
	if !one.handover.askedAt.IsZero() {
		return now.Sub(one.handover.askedAt) >= handoverPatience
	}
	owner, known := c.presumedOwner(now, one.index)
	if !known || (c.peers[owner.ID].heard && !c.reachesStore(now, owner.ID)) {
		// A node that told itself that it has lost the store cannot give up.
		return true
	}
	one.handover.askedAt = now
	c.sendHandover(owner, Handover{Partition: one.index})
	return false
}

// lostFor is how long a node that went is asked before its partitions are
// claimed: it may live, and be taken for dead.
const lostFor = 3 * time.Second

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
		lost, wasLost := c.ranking.lost[string(node.ID)]
		recent := node.Status != machine.StatusDead || (wasLost && now.Sub(lost) < lostFor)
		if node.Kind == machine.KindNode && node.ID != c.self().ID && recent {
			others = append(others, ownership.Node{ID: string(node.ID), Weight: node.Weight})
		}
	}
	return c.membership.Lookup(machine.ID(ownership.Rank(index, others)))
}

// tellHeirs tells those that rank next after this node for its partitions that
// it has lost the store.
func (c *Core) tellHeirs(now time.Time) {
	told := make(map[machine.ID]bool)
	for _, one := range c.partitions {
		if one.state != stateServing {
			continue
		}
		heir, known := c.nextByRank(now, one.index)
		if known && !told[heir.ID] {
			told[heir.ID] = true
			c.ready.Messages = append(c.ready.Messages, Outbound{To: heir, Message: PeerMessage{From: c.self(), Status: c.status(now)}})
		}
	}
}

// stepHandover takes in a question for a partition, or its answer.
func (c *Core) stepHandover(now time.Time, from machine.Machine, message Handover) {
	if message.Partition < 0 || message.Partition >= len(c.partitions) {
		return
	}
	one := c.partitions[message.Partition]
	if message.Kept {
		one.handover = handover{}
		one.nextClaim = now.Add(c.config.ClaimPause)
		return
	}
	if message.Given {
		one.highest = max(one.highest, message.Epoch)
		if one.state == stateAbsent && !one.handover.askedAt.IsZero() {
			one.handover.given = true
			c.tickPartition(now, one)
		}
		return
	}
	switch one.state {
	case stateAbsent:
		c.sendHandover(from, Handover{Partition: one.index, Given: true, Epoch: one.highest})
	case stateServing:
		c.answerHandover(now, one, from)
	case stateTaking:
		// The asker claims when its patience is over.
	}
}

// answerHandover has an owner that is to own the partition keep it, and one that
// is not give it up. One that has lost the store does not answer.
func (c *Core) answerHandover(now time.Time, one *partition, from machine.Machine) {
	if now.Sub(c.lastContact) > handoverContact {
		return
	}
	c.rank(now)
	if c.ranksFirst(one.index) {
		c.sendHandover(from, Handover{Partition: one.index, Kept: true, Epoch: one.epoch})
		return
	}
	one.ledger.Close(now)
	one.handover.to = &from
	one.handover.position = one.ledger.Proposed()
	c.giveUp(now, one)
}

// giveUp hands the partition over if that is asked for and nothing is owed to
// the log any more.
func (c *Core) giveUp(now time.Time, one *partition) {
	to := one.handover.to
	if one.state != stateServing || to == nil || one.handover.position > one.ledger.Durable() {
		return
	}
	c.lose(one, "handed over")
	one.nextClaim = now.Add(c.config.ClaimPause)
	c.sendHandover(*to, Handover{Partition: one.index, Given: true, Epoch: one.epoch})
}

func (c *Core) sendHandover(to machine.Machine, message Handover) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: PeerMessage{From: c.self(), Handover: &message}})
}
