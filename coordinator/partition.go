package coordinator

import (
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
)

// partitionState is the state of a partition on this node.
type partitionState int

const (
	// stateAbsent means that another node, or none, owns the partition.
	stateAbsent partitionState = iota
	// stateTakingOver means that this node is claiming the partition or reading its
	// accounts.
	stateTakingOver
	// stateServing means that this node owns the partition. Stored turns may still be
	// unread.
	stateServing
)

// partition is this node's state of one partition.
type partition struct {
	index int
	state partitionState
	epoch ownership.Epoch
	// highestEpoch is the highest known epoch of any owner.
	highestEpoch   ownership.Epoch
	ledger         *ledger.Ledger
	appendSequence uint64
	appendInFlight bool
	// logFull reports that the log had no space for the append in progress.
	logFull      bool
	appendSentAt time.Time
	nextClaimAt  time.Time
	// vacantSince is since when this node, a preferred node of the partition, has known no
	// owner.
	vacantSince time.Time
	// takeoverStartedAt is when the current or last takeover started.
	takeoverStartedAt time.Time
	takeover          takeover
	contested         contested
	// appendsBegun counts appends. Each epoch check waits for one that started after it.
	appendsBegun uint64
	waiters      []waiter
	epochChecks  []epochCheck
	heldRequests []heldRequest
	handover     handover
	search       claimSearch
	// former is the state of the last ownership that this node lost; nil once the new owner
	// has it.
	former *former
}

// waiter waits until a position is durable.
type waiter struct {
	id       uint64
	position uint64
}

// epochCheck is a reply that waits for proof that the epoch was still in force after the
// request arrived.
type epochCheck struct {
	id          uint64
	afterAppend uint64
	reply       Reply
	// requestedAt is when the request arrived.
	requestedAt time.Time
}

// heldRequest is a request that waits for the takeover in progress.
type heldRequest struct {
	request RequestReceived
	until   time.Time
}

func (c *Core) tickPartition(now time.Time, p *partition) {
	c.expireHeld(now, p)
	c.tickFormer(now, p)
	if p.state == stateServing {
		p.ledger.Tick(now)
		c.tickClaimSearch(now, p)
	}
	if p.state != stateAbsent || !c.mayClaim(now) || now.Before(p.nextClaimAt) {
		return
	}
	if !c.shouldOwn(now, p) {
		p.handover = handover{}
		return
	}
	if !c.requestHandover(now, p) {
		return
	}
	c.claim(now, p)
	p.handover = handover{}
}

// mayClaim reports whether this node is in a state to take partitions over.
func (c *Core) mayClaim(now time.Time) bool {
	return c.listRead && c.storeReachable && !c.leaving && now.Sub(c.startedAt) >= c.config.StartupDelay
}

// appendDue reports whether the partition's next append may start. Each append is a call to
// the store, whose rate is limited for all nodes together. Records that follow an append
// closely therefore wait and share the next one, and a proof that a turn is not stored
// waits for an append that is needed anyway.
func (c *Core) appendDue(now time.Time, p *partition) bool {
	switch {
	case c.leaving || p.handover.successor != nil:
		return true
	case p.ledger.Pending():
		return now.Sub(p.appendSentAt) >= c.config.MinAppendInterval
	case len(p.epochChecks) > 0 && now.Sub(p.epochChecks[0].requestedAt) >= c.config.AbsenceProofDelay:
		return true
	default:
		return c.keepaliveDue(now, p)
	}
}

// collectAppend emits the partition's next append if one is due.
func (c *Core) collectAppend(now time.Time, p *partition) {
	if p.state != stateServing || p.appendInFlight || !c.appendDue(now, p) {
		return
	}
	records := p.ledger.Ready()
	if records == nil && len(p.epochChecks) == 0 && !c.keepaliveDue(now, p) {
		return
	}
	p.appendInFlight = true
	p.appendsBegun++
	p.appendSequence++
	p.appendSentAt = now
	c.ready.Appends = append(c.ready.Appends, Append{
		Partition: p.index, Epoch: p.epoch, Sequence: p.appendSequence, Records: records,
	})
}

func (c *Core) stepAppended(now time.Time, appended Appended) {
	p := c.partitions[appended.Partition]
	if p.state != stateServing || appended.Epoch != p.epoch || appended.Sequence != p.appendSequence {
		return
	}
	switch appended.Outcome {
	case OutcomeDone:
	case OutcomeFailed:
		c.keepFormerState(now, p)
		c.loseOwnership(p, "the log expects another append sequence")
		p.nextClaimAt = now.Add(c.config.MinClaimInterval)
		return
	default:
		c.keepFormerState(now, p)
		c.loseOwnership(p, "fenced by the log")
		c.backOffAfterFencing(now, p)
		return
	}
	p.appendInFlight = false
	p.logFull = false
	p.ledger.ConfirmOwnership(p.appendSentAt)
	p.ledger.BatchCommitted()
	c.answerWaiters(p)
	c.answerEpochChecks(p)
	c.completeHandover(now, p)
}

// stalled reports whether an append has been unanswered for too long, or found the log
// full.
func (c *Core) stalled(now time.Time, p *partition) bool {
	return p.appendInFlight && (p.logFull || now.Sub(p.appendSentAt) > c.config.StallTimeout)
}

// stepLogFull notes that the log has no space for the append in progress.
func (c *Core) stepLogFull(event LogFull) {
	if p := c.partitions[event.Partition]; p.state == stateServing && p.epoch == event.Epoch && p.appendInFlight {
		p.logFull = true
	}
}

// refusalStatus is the status of turns that are refused because appends make no progress.
func (p *partition) refusalStatus() ReplyStatus {
	if p.logFull {
		return ReplyFull
	}
	return ReplyStalled
}

// KeptBytes estimates the size in the log of the newest records of each partition that this
// node serves.
func (c *Core) KeptBytes() map[int]int {
	kept := make(map[int]int)
	for _, p := range c.partitions {
		if p.state == stateServing {
			kept[p.index] = p.ledger.Size()
		}
	}
	return kept
}

// answerWaiters answers the requests whose position is durable.
func (c *Core) answerWaiters(p *partition) {
	durable := p.ledger.Durable()
	remaining := p.waiters[:0]
	for _, waiting := range p.waiters {
		if waiting.position > durable {
			remaining = append(remaining, waiting)
			continue
		}
		c.reply(Reply{ID: waiting.id, Status: ReplyDone, Epoch: p.epoch})
	}
	p.waiters = remaining
}

func (c *Core) answerEpochChecks(p *partition) {
	remaining := p.epochChecks[:0]
	for _, check := range p.epochChecks {
		if check.afterAppend >= p.appendsBegun {
			remaining = append(remaining, check)
			continue
		}
		c.reply(check.reply)
	}
	p.epochChecks = remaining
}

// stepPeerEpochs ends this node's ownership or takeover of partitions that a peer serves at
// a higher epoch.
func (c *Core) stepPeerEpochs(now time.Time, owned map[int]ownership.Epoch) {
	for index, epoch := range owned {
		if index < 0 || index >= len(c.partitions) {
			continue
		}
		p := c.partitions[index]
		p.highestEpoch = max(p.highestEpoch, epoch)
		if p.contested.active && epoch > p.contested.epoch {
			c.leaveContested(now, p)
		}
		if epoch <= p.epoch {
			continue
		}
		switch p.state {
		case stateServing:
			c.keepFormerState(now, p)
			c.loseOwnership(p, "a peer serves a higher epoch")
			p.nextClaimAt = now.Add(c.config.MinClaimInterval)
		case stateTakingOver:
			c.abandon(p)
			p.nextClaimAt = now.Add(c.config.MinClaimInterval)
		case stateAbsent:
		}
	}
}

// loseOwnership ends the ownership of a partition and answers the waiting requests.
func (c *Core) loseOwnership(p *partition, reason string) {
	c.ready.Changes = append(c.ready.Changes, Change{Partition: p.index, Epoch: p.epoch, Reason: reason})
	for _, waiting := range p.waiters {
		c.reply(Reply{ID: waiting.id, Status: ReplyLost})
	}
	for _, waiting := range p.epochChecks {
		c.reply(Reply{ID: waiting.id, Status: ReplyLost})
	}
	p.waiters = nil
	p.epochChecks = nil
	p.appendInFlight = false
	p.logFull = false
	c.abandon(p)
}

func (c *Core) expireHeld(now time.Time, p *partition) {
	remaining := p.heldRequests[:0]
	for _, held := range p.heldRequests {
		if (p.state == stateTakingOver || p.takeover.turnsPending) && now.Before(held.until) {
			remaining = append(remaining, held)
			continue
		}
		c.reply(c.expiredReply(p, held.request))
	}
	p.heldRequests = remaining
}

func (c *Core) reply(reply Reply) { c.ready.Replies = append(c.ready.Replies, reply) }
