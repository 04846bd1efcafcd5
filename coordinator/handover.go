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
	Given bool `json:"given,omitempty"`
	Kept  bool `json:"kept,omitempty"`
	// Ordered says that the sender of Given was the owner, and that the log has all
	// that it owed.
	Ordered bool `json:"ordered,omitempty"`
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
	// askedAt is when this node asked; asked are those that have not answered, and
	// again says that they were asked twice. given is set once all have answered.
	askedAt time.Time
	asked   map[machine.ID]machine.Machine
	again   bool
	given   bool
	// ordered says that the owner itself gave the partition up.
	ordered bool
	// to is the node that this one, as the owner, gives the partition to, once
	// the position is durable.
	to       *machine.Machine
	position uint64
}

// askOwner asks those that may serve the partition, or be taking it over, for it. It
// reports whether this node may claim.
func (c *Core) askOwner(now time.Time, one *partition) bool {
	if one.handover.given || c.config.ClaimWithoutAsking {
		return true
	}
	if !one.handover.askedAt.IsZero() {
		c.askAgain(now, one)
		return now.Sub(one.handover.askedAt) >= handoverPatience
	}
	asked := c.heirsBefore(now, one)
	owner, known := c.presumedOwner(now, one.index)
	// A node that told itself that it has lost the store cannot give up.
	if known && (!c.peers[owner.ID].heard || c.reachesStore(now, owner.ID)) {
		asked[owner.ID] = owner
	}
	if len(asked) == 0 {
		return true
	}
	one.handover.askedAt = now
	one.handover.asked = asked
	c.sendQuestions(one)
	return false
}

// heirsBefore returns the live nodes that rank before this one for the partition.
func (c *Core) heirsBefore(now time.Time, one *partition) map[machine.ID]machine.Machine {
	before := make(map[machine.ID]machine.Machine)
	for _, id := range c.ranking.heirs[one.index] {
		if id == string(c.self().ID) {
			break
		}
		if c.unableOwner(now, one.index, machine.ID(id)) {
			continue
		}
		if heir, known := c.membership.Lookup(machine.ID(id)); known && c.reachesStore(now, heir.ID) {
			before[heir.ID] = heir
		}
	}
	return before
}

// unableOwner reports whether a node is recorded as the partition's owner and as one
// that does not reach the store: it cannot give up.
func (c *Core) unableOwner(now time.Time, index int, node machine.ID) bool {
	known := &c.owners[index]
	return known.Node == node && known.Unable && c.provesUnable(now, known.heardAt)
}

// askAgain repeats the question once to those that have not answered: a message may
// be lost.
func (c *Core) askAgain(now time.Time, one *partition) {
	if one.handover.again || now.Sub(one.handover.askedAt) < handoverPatience/2 {
		return
	}
	one.handover.again = true
	c.sendQuestions(one)
}

func (c *Core) sendQuestions(one *partition) {
	for _, id := range slices.Sorted(maps.Keys(one.handover.asked)) {
		c.sendHandover(one.handover.asked[id], Handover{Partition: one.index})
	}
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
	if message.Ordered {
		one.contest = contest{}
		one.handover.ordered = true
	}
	if message.Kept {
		one.handover = handover{}
		one.nextClaim = now.Add(c.keptPause(now, one))
		return
	}
	if message.Given {
		one.highest = max(one.highest, message.Epoch)
		if one.state == stateAbsent && !one.handover.askedAt.IsZero() {
			delete(one.handover.asked, from.ID)
			one.handover.given = len(one.handover.asked) == 0
			c.tickPartition(now, one)
		}
		return
	}
	switch one.state {
	case stateAbsent:
		c.answerAbsent(now, one, from)
	case stateServing:
		c.answerHandover(now, one, from)
	case stateTaking:
		if c.reaches && now.Sub(one.restoring.progressAt) < takingPatience {
			c.sendHandover(from, Handover{Partition: one.index, Kept: true, Epoch: one.epoch})
		}
		// Otherwise the asker claims when its patience is over.
	}
}

// yieldFor is how long a node that has left a partition to another heir does not claim
// it: until word of the other's claim has come.
const yieldFor = 400 * time.Millisecond

// keptPause is how long a node that was answered that the partition is kept leaves it
// alone: for long where it knows who serves, or else until word of the claim has come.
func (c *Core) keptPause(now time.Time, one *partition) time.Duration {
	if _, served := c.servingPeer(now, one.index); served {
		return c.config.ClaimPause
	}
	return heirPatience
}

// answerAbsent answers another heir. Of two that would claim, the one that ranks first
// goes on.
func (c *Core) answerAbsent(now time.Time, one *partition, from machine.Machine) {
	if !one.handover.askedAt.IsZero() && c.mayClaim(now) && c.ranksBefore(one.index, from.ID) {
		c.sendHandover(from, Handover{Partition: one.index, Kept: true, Epoch: one.highest})
		return
	}
	one.handover.forget()
	one.nextClaim = later(one.nextClaim, now.Add(yieldFor))
	c.sendHandover(from, Handover{Partition: one.index, Given: true, Epoch: one.highest})
}

// ranksBefore reports whether this node ranks before another one for a partition.
func (c *Core) ranksBefore(index int, other machine.ID) bool {
	for _, id := range c.ranking.heirs[index] {
		switch id {
		case string(c.self().ID):
			return true
		case string(other):
			return false
		}
	}
	return false
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// forget drops a question that is under way.
func (h *handover) forget() {
	h.askedAt, h.asked, h.again, h.given, h.ordered = time.Time{}, nil, false, false, false
}

// toOwn reports whether a node is to own a partition by rank, as this node sees it.
func (c *Core) toOwn(index int, node machine.ID) bool {
	heirs := c.ranking.heirs[index]
	return len(heirs) > 0 && heirs[0] == string(node)
}

// answerHandover has an owner give the partition up to the node that is to own it, and
// keep it otherwise. One that has lost the store does not answer.
func (c *Core) answerHandover(now time.Time, one *partition, from machine.Machine) {
	if !c.reaches || now.Sub(c.lastContact) > handoverContact {
		return
	}
	c.rank(now)
	if !c.leaving && (!c.toOwn(one.index, from.ID) || c.settling(now, one)) {
		c.sendHandover(from, Handover{Partition: one.index, Kept: true, Epoch: one.epoch})
		return
	}
	one.ledger.Close(now)
	one.handover.to = &from
	one.handover.position = one.ledger.Proposed()
	c.giveUp(now, one)
}

// tenureLeast is how long an owner keeps what it took over: until nodes agree again on
// who lives, so that a partition does not pass from heir to heir meanwhile.
const tenureLeast = 5 * time.Second

// settling reports whether this owner's takeover is too young for it to be followed.
func (c *Core) settling(now time.Time, one *partition) bool {
	return one.restoring.turns || (one.restoring.forced && now.Sub(one.claimedAt) < tenureLeast)
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
	c.sendHandover(*to, Handover{Partition: one.index, Given: true, Ordered: true, Epoch: one.epoch})
}

func (c *Core) sendHandover(to machine.Machine, message Handover) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: PeerMessage{From: c.self(), Handover: &message}})
}
