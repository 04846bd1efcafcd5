package coordinator

import (
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
)

// partitionState is where a partition stands on this node.
type partitionState int

const (
	// stateAbsent partitions are another node's, or nobody's.
	stateAbsent partitionState = iota
	// stateTaking partitions are being claimed, or their accounts are being read.
	stateTaking
	// stateServing partitions are this node's. Kept turns may still be read.
	stateServing
)

// partition is one partition as this node has it.
type partition struct {
	index int
	state partitionState
	epoch ownership.Epoch
	// highest is the highest epoch known of.
	highest  ownership.Epoch
	ledger   *ledger.Ledger
	sequence uint64
	inFlight bool
	// full says that the log had no space for the append under way.
	full      bool
	sentAt    time.Time
	nextClaim time.Time
	// vacantSince is since when this node, an heir, has known of no owner.
	vacantSince time.Time
	// claimedAt is when the takeover under way, or the last one, began.
	claimedAt time.Time
	restoring restoring
	contest   contest
	// begun counts appends; each verifier waits for one that began after it.
	begun     uint64
	waiters   []waiter
	verifiers []verifier
	held      []heldRequest
	handover  handover
}

// waiter waits for a position to be durable.
type waiter struct {
	id       uint64
	position uint64
}

// verifier waits for proof that the epoch was in force after it asked.
type verifier struct {
	id    uint64
	after uint64
	reply Reply
	// askedAt is when the question came.
	askedAt time.Time
}

// heldRequest waits for the takeover under way.
type heldRequest struct {
	request Requested
	until   time.Time
}

func (c *Core) tickPartition(now time.Time, one *partition) {
	c.expireHeld(now, one)
	if one.state == stateServing {
		one.ledger.Tick(now)
	}
	if one.state != stateAbsent || !c.mayClaim(now) || now.Before(one.nextClaim) {
		return
	}
	if !c.mayOwn(now, one) {
		one.handover = handover{}
		return
	}
	if !c.askOwner(now, one) {
		return
	}
	c.claim(now, one)
	one.handover = handover{}
}

// mayClaim reports whether this node knows enough to take partitions over.
func (c *Core) mayClaim(now time.Time) bool {
	return c.listed && c.reaches && !c.leaving && now.Sub(c.started) >= c.config.Settle
}

// appendDue reports whether the partition's next append may begin. What comes shortly
// after an append waits for a little and shares the next one, and a proof that a turn is
// not kept waits for an append that is needed anyway: each append is a call to the store,
// of which all nodes together may make so many.
func (c *Core) appendDue(now time.Time, one *partition) bool {
	switch {
	case c.leaving || one.handover.to != nil:
		return true
	case one.ledger.Pending():
		return now.Sub(one.sentAt) >= c.config.AppendPause
	case len(one.verifiers) > 0 && now.Sub(one.verifiers[0].askedAt) >= c.config.ProofWait:
		return true
	default:
		return c.renews(now, one)
	}
}

// collectAppend puts out the partition's next append if one is due.
func (c *Core) collectAppend(now time.Time, one *partition) {
	if one.state != stateServing || one.inFlight || !c.appendDue(now, one) {
		return
	}
	records := one.ledger.Ready()
	if records == nil && len(one.verifiers) == 0 && !c.renews(now, one) {
		return
	}
	one.inFlight = true
	one.begun++
	one.sequence++
	one.sentAt = now
	c.ready.Appends = append(c.ready.Appends, Append{
		Partition: one.index, Epoch: one.epoch, Sequence: one.sequence, Records: records,
	})
}

func (c *Core) stepAppended(now time.Time, appended Appended) {
	one := c.partitions[appended.Partition]
	if one.state != stateServing || appended.Epoch != one.epoch || appended.Sequence != one.sequence {
		return
	}
	switch appended.Outcome {
	case OutcomeDone:
	case OutcomeFailed:
		c.lose(one, "the log wants another sequence")
		one.nextClaim = now.Add(c.config.ClaimPause)
		return
	default:
		c.lose(one, "fenced by the log")
		c.stayAway(now, one)
		return
	}
	one.inFlight = false
	one.full = false
	one.ledger.Prove(one.sentAt)
	one.ledger.Stored()
	c.answerWaiters(one)
	c.answerVerifiers(one)
	c.giveUp(now, one)
}

// stalled reports whether the log has left an append unanswered for too long.
func (c *Core) stalled(now time.Time, one *partition) bool {
	return one.inFlight && (one.full || now.Sub(one.sentAt) > c.config.StallAfter)
}

// noteFull takes in that the log has no space for the append under way.
func (c *Core) noteFull(event LogFull) {
	if one := c.partitions[event.Partition]; one.state == stateServing && one.epoch == event.Epoch && one.inFlight {
		one.full = true
	}
}

// refusal is why a turn that needs the log is refused while appends do not get on.
func (p *partition) refusal() ReplyStatus {
	if p.full {
		return ReplyFull
	}
	return ReplyStalled
}

// KeptBytes estimates how much the newest records of each partition take in the log
// that this node serves.
func (c *Core) KeptBytes() map[int]int {
	kept := make(map[int]int)
	for _, one := range c.partitions {
		if one.state == stateServing {
			kept[one.index] = one.ledger.Size()
		}
	}
	return kept
}

// answerWaiters answers those whose position is durable.
func (c *Core) answerWaiters(one *partition) {
	durable := one.ledger.Durable()
	rest := one.waiters[:0]
	for _, waiting := range one.waiters {
		if waiting.position > durable {
			rest = append(rest, waiting)
			continue
		}
		c.reply(Reply{ID: waiting.id, Status: ReplyDone, Epoch: one.epoch})
	}
	one.waiters = rest
}

func (c *Core) answerVerifiers(one *partition) {
	rest := one.verifiers[:0]
	for _, waiting := range one.verifiers {
		if waiting.after >= one.begun {
			rest = append(rest, waiting)
			continue
		}
		c.reply(waiting.reply)
	}
	one.verifiers = rest
}

// hearOwned ends the ownership of partitions that a peer serves at a higher
// epoch.
func (c *Core) hearOwned(now time.Time, owned map[int]ownership.Epoch) {
	for index, epoch := range owned {
		if index < 0 || index >= len(c.partitions) {
			continue
		}
		one := c.partitions[index]
		one.highest = max(one.highest, epoch)
		if one.contest.active && epoch > one.contest.epoch {
			c.endContest(now, one)
		}
		if epoch <= one.epoch {
			continue
		}
		switch one.state {
		case stateServing:
			c.lose(one, "a peer serves a higher epoch")
			one.nextClaim = now.Add(c.config.ClaimPause)
		case stateTaking:
			c.abandon(one)
			one.nextClaim = now.Add(c.config.ClaimPause)
		case stateAbsent:
		}
	}
}

// lose ends the ownership of a partition and tells all that wait.
func (c *Core) lose(one *partition, reason string) {
	c.ready.Changes = append(c.ready.Changes, Change{Partition: one.index, Epoch: one.epoch, Reason: reason})
	for _, waiting := range one.waiters {
		c.reply(Reply{ID: waiting.id, Status: ReplyLost})
	}
	for _, waiting := range one.verifiers {
		c.reply(Reply{ID: waiting.id, Status: ReplyLost})
	}
	one.waiters = nil
	one.verifiers = nil
	one.inFlight = false
	one.full = false
	c.abandon(one)
}

func (c *Core) expireHeld(now time.Time, one *partition) {
	rest := one.held[:0]
	for _, waiting := range one.held {
		if (one.state == stateTaking || one.restoring.turns) && now.Before(waiting.until) {
			rest = append(rest, waiting)
			continue
		}
		c.reply(c.notYet(one, waiting.request))
	}
	one.held = rest
}

func (c *Core) reply(reply Reply) { c.ready.Replies = append(c.ready.Replies, reply) }
