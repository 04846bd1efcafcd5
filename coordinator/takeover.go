package coordinator

import (
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

const (
	// takingPatience is how long a takeover may stay without progress until others
	// stop waiting for it: longer than a slow store needs for one page.
	takingPatience = 4 * time.Second
	// progressPeriod is the least time between two records of one takeover's progress,
	// so that those of many leave room for others in the statuses.
	progressPeriod = 500 * time.Millisecond
	// fencedPause is how long a node that was fenced waits, at first, before it looks
	// whether the owner that fenced it still appends. The wait doubles up to
	// fencedPauseMost. Word of that owner ends it.
	fencedPause     = 3 * time.Second
	fencedPauseMost = 24 * time.Second
	// renewPeriod is the time after which an owner without appends makes one, so that
	// a node behind a cut sees that it lives: well under fencedPause.
	renewPeriod = time.Second
	// contestedFor is for how long after its claim an owner does so.
	contestedFor = time.Minute
	// epochLeapMost bounds by how far, as a power of two of seconds, a node whose
	// claims are refused raises its epochs.
	epochLeapMost = 10
)

// restoring is how far a takeover has got.
type restoring struct {
	// claimed says that the log has the claim of a takeover under way.
	claimed bool
	// forced says that nobody gave the partition up in order.
	forced bool
	// turns says that kept turns are still to be read.
	turns bool
	// progressAt is when it last got on, and toldAt when peers were told of that.
	progressAt time.Time
	toldAt     time.Time
}

// contest is what a node knows that was fenced and has not heard by whom.
type contest struct {
	active bool
	// epoch is the one that was fenced.
	epoch ownership.Epoch
	pause time.Duration
	// end is where the log ended when it was looked at last.
	end uint64
	// refused counts claims that were fenced one after the other.
	refused int
}

// claim begins a takeover.
func (c *Core) claim(now time.Time, one *partition) {
	one.nextClaim = now.Add(c.config.ClaimPause)
	one.state = stateTaking
	leap := time.Duration(0)
	if one.contest.refused > 0 {
		leap = time.Second << min(one.contest.refused, epochLeapMost)
	}
	one.epoch = c.config.Salt.Claim(one.highest, now.Add(leap))
	one.claimedAt = now
	one.restoring = restoring{progressAt: now, forced: !one.handover.ordered}
	if one.restoring.forced && c.minority(now) {
		c.contend(one)
	}
	c.ready.Takeovers = append(c.ready.Takeovers, Takeover{
		Partition: one.index, Epoch: one.epoch, Contested: one.contest.active, Unmoved: one.contest.end,
	})
}

// stayAway has this node, which was fenced, leave the partition to whoever did that.
func (c *Core) stayAway(now time.Time, one *partition) {
	one.nextClaim = now
	if one.contest.active {
		one.nextClaim = now.Add(one.contest.pause)
		return
	}
	c.contend(one)
}

// contend has this node claim the partition only once the log shows that nobody else
// appends to it.
func (c *Core) contend(one *partition) {
	if one.contest.active {
		return
	}
	one.contest = contest{active: true, epoch: one.highest, pause: fencedPause, refused: one.contest.refused}
}

// zoneSilence is the time without a message of any node of a zone after which the zone
// counts as cut off: the failure detector names its nodes one by one, and later.
const zoneSilence = 500 * time.Millisecond

// minority reports whether more nodes went lately than are left: this node may be
// behind a cut, and those beyond it follow the lost owners at once.
func (c *Core) minority(now time.Time) bool {
	if len(c.ranking.lost) > len(c.ranking.candidates) {
		return true
	}
	silent := 0
	for _, node := range c.listing {
		if c.zoneLost(now, node.Zone, zoneSilence) {
			silent++
		}
	}
	return 2*silent > len(c.listing)
}

// endContest forgets that this node was fenced: it knows the owner.
func (c *Core) endContest(now time.Time, one *partition) {
	if one.state == stateTaking && !one.restoring.claimed {
		c.abandon(one)
	}
	one.nextClaim = now.Add(c.config.ClaimPause)
	one.epoch = max(one.epoch, one.contest.epoch)
	one.contest = contest{}
}

// stepMoved takes in that another owner appends.
func (c *Core) stepMoved(now time.Time, one *partition, end uint64) {
	c.abandon(one)
	one.epoch = one.contest.epoch
	first := one.contest.end == 0
	one.contest.end = end
	one.nextClaim = now.Add(one.contest.pause)
	if !first {
		one.contest.pause = min(2*one.contest.pause, fencedPauseMost)
	}
}

// renews reports whether an owner without appends makes one: nodes that it does not
// reach may take it for dead.
func (c *Core) renews(now time.Time, one *partition) bool {
	if now.Sub(one.claimedAt) > contestedFor || now.Sub(one.sentAt) < renewPeriod {
		return false
	}
	return c.reaches && len(c.ranking.lost) > 0
}

// abandon ends a takeover or an ownership on this node.
func (c *Core) abandon(one *partition) {
	if one.state == stateTaking || one.restoring.turns {
		c.ready.Stopped = append(c.ready.Stopped, Stopped{Partition: one.index, Epoch: one.epoch})
	}
	one.state = stateAbsent
	one.ledger = nil
	one.restoring = restoring{}
	one.handover = handover{}
}

// stepTakeoverRead takes in the progress of a takeover.
func (c *Core) stepTakeoverRead(now time.Time, read TakeoverRead) {
	one := c.partitions[read.Partition]
	if !one.takes(read.Epoch) {
		return
	}
	if one.ledger == nil {
		one.ledger = ledger.New(c.config.Ledger)
	}
	c.restore(now, one, read.Records)
	if last := len(read.Records) - 1; one.state == stateTaking && last >= 0 && ledger.PastAccounts(read.Records[last].Key) {
		c.open(now, one, true)
	}
	if one.state == stateTaking {
		c.tellTaking(now, one)
	}
}

// tellTaking tells peers of a takeover under way: at once that it has begun, the other
// heirs above all, and then now and again of its progress.
func (c *Core) tellTaking(now time.Time, one *partition) {
	begun := !one.restoring.claimed
	if !begun && now.Sub(one.restoring.toldAt) < progressPeriod {
		return
	}
	one.restoring.claimed = true
	one.restoring.toldAt = now
	c.ownedHere(now, one)
	if !begun {
		return
	}
	c.sendStatus(now)
	for _, id := range c.ranking.heirs[one.index] {
		heir, known := c.membership.Lookup(machine.ID(id))
		if known && heir.ID != c.self().ID {
			c.ready.Messages = append(c.ready.Messages, Outbound{To: heir, Message: PeerMessage{
				From: c.self(), Status: &Status{ReachesStore: c.reaches, Owned: c.owned(), Owners: []Owner{c.owners[one.index].Owner}, Loads: c.loads.Counts, Version: c.loads.Version},
			}})
		}
	}
}

// takes reports whether the takeover of an epoch is under way.
func (p *partition) takes(epoch ownership.Epoch) bool {
	return epoch == p.epoch && (p.state == stateTaking || p.restoring.turns)
}

// restore takes records in, and serves those that waited for them.
func (c *Core) restore(now time.Time, one *partition, records []ledger.Record) {
	one.restoring.progressAt = now
	for _, record := range records {
		// A record that does not decode was written by no version of this
		// program; the others must not be lost for it.
		_ = one.ledger.Restore(now, record)
	}
	if one.state == stateServing {
		c.serveHeld(now, one)
	}
}

func (c *Core) stepTakenOver(now time.Time, taken TakenOver) {
	one := c.partitions[taken.Partition]
	if taken.Outcome != OutcomeMoved {
		one.highest = max(one.highest, taken.Epoch)
	}
	if !one.takes(taken.Epoch) {
		return
	}
	switch taken.Outcome {
	case OutcomeDone:
		c.finishTakeover(now, one, taken.Records)
	case OutcomeFenced:
		one.contest.refused++
		c.abandon(one)
		c.stayAway(now, one)
	case OutcomeMoved:
		c.stepMoved(now, one, taken.End)
	case OutcomeFailed:
		c.failTakeover(one)
	}
}

// failTakeover gives a takeover up that could not be read to its end.
func (c *Core) failTakeover(one *partition) {
	if one.state == stateServing {
		c.lose(one, "the log could not be read")
		return
	}
	c.abandon(one)
}

// finishTakeover takes the last records in.
func (c *Core) finishTakeover(now time.Time, one *partition, records []ledger.Record) {
	if one.ledger == nil {
		one.ledger = ledger.New(c.config.Ledger)
	}
	c.restore(now, one, records)
	one.ledger.Restored()
	if one.state == stateTaking {
		c.open(now, one, false)
		return
	}
	one.restoring.turns = false
	c.serveHeld(now, one)
}

// open begins to serve a partition whose accounts are known. Turns says that kept
// turns are still to be read.
func (c *Core) open(now time.Time, one *partition, turns bool) {
	one.contest = contest{}
	one.ledger.RetainFor(c.loads.RetainFor)
	one.ledger.Prove(one.claimedAt)
	one.ledger.Open(now)
	if c.leaving {
		one.ledger.Close(now)
	}
	one.state = stateServing
	one.restoring = restoring{turns: turns, progressAt: now, forced: one.restoring.forced}
	one.sequence = 0
	one.inFlight = false
	accounts, kept := one.ledger.Counts()
	c.ready.Changes = append(c.ready.Changes, Change{
		Partition: one.index, Epoch: one.epoch, Owned: true, Reason: "claimed", Accounts: accounts, Turns: kept,
		Inherited: one.ledger.Inherited(),
	})
	// The others are told at once, so that they ask here.
	c.ownedHere(now, one)
	c.sendStatus(now)
	c.serveHeld(now, one)
}

// serveHeld serves the requests that waited, as far as what they need is known.
func (c *Core) serveHeld(now time.Time, one *partition) {
	held := one.held
	one.held = nil
	for _, waiting := range held {
		c.serveOrHold(now, one, waiting)
	}
}

// serveOrHold serves a request, or holds it for a kept turn that may still be read.
func (c *Core) serveOrHold(now time.Time, one *partition, waiting heldRequest) {
	if one.awaits(waiting.request.Request) {
		one.held = append(one.held, waiting)
		return
	}
	c.serve(now, one, waiting.request)
}

// awaits reports whether a request needs a kept turn that may still be read.
func (p *partition) awaits(request Request) bool {
	if !p.restoring.turns {
		return false
	}
	switch {
	case request.Admit != nil:
		previous := request.Admit.Previous
		return previous != "" && !request.Admit.HasChain && !p.ledger.HoldsChain(previous)
	case request.Find != nil:
		return !p.ledger.HoldsChain(request.Find.Turn)
	default:
		return false
	}
}

// notYet answers a request that was held for too long: it is to be asked here again
// while the takeover is under way.
func (c *Core) notYet(one *partition, request Requested) Reply {
	reply := Reply{ID: request.ID, Status: ReplyNotOwner}
	if known := c.owners[one.index].Owner; one.state != stateAbsent && known.Epoch == one.epoch {
		reply.Owner = &known
	}
	return reply
}

// noteServing takes in that a node serves whose takeover was known to be under way.
func (c *Core) noteServing(node machine.ID, index int, epoch ownership.Epoch) {
	if index < 0 || index >= len(c.owners) {
		return
	}
	if known := &c.owners[index]; known.Node == node && known.Epoch == epoch {
		known.Taking = false
	}
}

// stuck reports whether the takeover that is known of a partition has made no
// progress for too long.
func (c *Core) stuck(now time.Time, index int) bool {
	known := &c.owners[index]
	return known.Taking && now.Sub(known.heardAt) > takingPatience
}
