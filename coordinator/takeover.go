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
	takeoverStallTimeout = 4 * time.Second
	// progressPeriod is the least time between two records of one takeover's progress,
	// so that those of many leave room for others in the statuses.
	progressInterval = 500 * time.Millisecond
	// fencedPause is how long a node that was fenced waits, at first, before it looks
	// whether the owner that fenced it still appends. The wait doubles up to
	// fencedPauseMost. Word of that owner ends it.
	fencedBackoff    = 3 * time.Second
	maxFencedBackoff = 24 * time.Second
	// renewPeriod is the time after which an owner without appends makes one, so that
	// a node behind a cut sees that it lives: well under fencedPause.
	keepaliveInterval = time.Second
	// contestedFor is for how long after its claim an owner does so.
	recentLossWindow = time.Minute
	// epochLeapMost bounds by how far, as a power of two of seconds, a node whose
	// claims are refused raises its epochs.
	maxEpochLeapExponent = 10
)

// restoring is how far a takeover has got.
type takeover struct {
	// claimed says that the log has the claim of a takeover under way.
	claimed bool
	// forced says that nobody gave the partition up in order.
	forced bool
	// turns says that kept turns are still to be read.
	turnsPending bool
	// progressAt is when it last got on, and toldAt when peers were told of that.
	progressAt  time.Time
	publishedAt time.Time
}

// contest is what a node knows that was fenced and has not heard by whom.
type contested struct {
	active bool
	// epoch is the one that was fenced.
	epoch   ownership.Epoch
	backoff time.Duration
	// end is where the log ended when it was looked at last.
	logEnd uint64
	// refused counts claims that were fenced one after the other.
	refusals int
}

// claim begins a takeover.
func (c *Core) claim(now time.Time, p *partition) {
	p.nextClaimAt = now.Add(c.config.MinClaimInterval)
	p.state = stateTakingOver
	leap := time.Duration(0)
	if p.contested.refusals > 0 {
		leap = time.Second << min(p.contested.refusals, maxEpochLeapExponent)
	}
	p.epoch = c.config.Salt.Claim(p.highestEpoch, now.Add(leap))
	p.takeoverStartedAt = now
	p.takeover = takeover{progressAt: now, forced: !p.handover.clean}
	if p.takeover.forced && c.likelyMinority(now) {
		c.enterContested(p)
	}
	c.ready.Takeovers = append(c.ready.Takeovers, Takeover{
		Partition: p.index, Epoch: p.epoch, Contested: p.contested.active, Unmoved: p.contested.logEnd,
	})
}

// stayAway has this node, which was fenced, leave the partition to whoever did that.
func (c *Core) backOffAfterFencing(now time.Time, p *partition) {
	p.nextClaimAt = now
	if p.contested.active {
		p.nextClaimAt = now.Add(p.contested.backoff)
		return
	}
	c.enterContested(p)
}

// contend has this node claim the partition only once the log shows that nobody else
// appends to it.
func (c *Core) enterContested(p *partition) {
	if p.contested.active {
		return
	}
	p.contested = contested{active: true, epoch: p.highestEpoch, backoff: fencedBackoff, refusals: p.contested.refusals}
}

// zoneSilence is the time without a message of any node of a zone after which the zone
// counts as cut off: the failure detector names its nodes one by one, and later.
const zoneSilenceTimeout = 500 * time.Millisecond

// minority reports whether more nodes went lately than are left: this node may be
// behind a cut, and those beyond it follow the lost owners at once.
func (c *Core) likelyMinority(now time.Time) bool {
	if len(c.ranking.lostAt) > len(c.ranking.candidates) {
		return true
	}
	silent := 0
	for _, node := range c.sortedNodes {
		if c.zoneWentSilent(now, node.Zone, zoneSilenceTimeout) {
			silent++
		}
	}
	return 2*silent > len(c.sortedNodes)
}

// endContest forgets that this node was fenced: it knows the owner.
func (c *Core) leaveContested(now time.Time, p *partition) {
	if p.state == stateTakingOver && !p.takeover.claimed {
		c.abandon(p)
	}
	p.nextClaimAt = now.Add(c.config.MinClaimInterval)
	p.epoch = max(p.epoch, p.contested.epoch)
	p.contested = contested{}
}

// stepMoved takes in that another owner appends.
func (c *Core) stepLogAdvanced(now time.Time, p *partition, logEnd uint64) {
	c.abandon(p)
	p.epoch = p.contested.epoch
	first := p.contested.logEnd == 0
	p.contested.logEnd = logEnd
	p.nextClaimAt = now.Add(p.contested.backoff)
	if !first {
		p.contested.backoff = min(2*p.contested.backoff, maxFencedBackoff)
	}
}

// renews reports whether an owner without appends makes one: nodes that it does not
// reach may take it for dead.
func (c *Core) keepaliveDue(now time.Time, p *partition) bool {
	if now.Sub(p.takeoverStartedAt) > recentLossWindow || now.Sub(p.appendSentAt) < keepaliveInterval {
		return false
	}
	return c.storeReachable && len(c.ranking.lostAt) > 0
}

// abandon ends a takeover or an ownership on this node.
func (c *Core) abandon(p *partition) {
	if p.state == stateTakingOver || p.takeover.turnsPending {
		c.ready.Stopped = append(c.ready.Stopped, Stopped{Partition: p.index, Epoch: p.epoch})
	}
	p.state = stateAbsent
	p.ledger = nil
	p.takeover = takeover{}
	p.handover = handover{}
}

// stepTakeoverRead takes in the progress of a takeover.
func (c *Core) stepTakeoverRead(now time.Time, event TakeoverRead) {
	p := c.partitions[event.Partition]
	if !p.takingOver(event.Epoch) {
		return
	}
	if p.ledger == nil {
		p.ledger = ledger.New(c.config.Ledger)
	}
	c.restoreRecords(now, p, event.Records)
	if last := len(event.Records) - 1; p.state == stateTakingOver && last >= 0 && ledger.PastAccounts(event.Records[last].Key) {
		c.startServing(now, p, true)
	}
	if p.state == stateTakingOver {
		c.publishTakeover(now, p)
	}
}

// tellTaking tells peers of a takeover under way: at once that it has begun, the other
// heirs above all, and then now and again of its progress.
func (c *Core) publishTakeover(now time.Time, p *partition) {
	first := !p.takeover.claimed
	if !first && now.Sub(p.takeover.publishedAt) < progressInterval {
		return
	}
	p.takeover.claimed = true
	p.takeover.publishedAt = now
	c.publishOwnership(now, p)
	if !first {
		return
	}
	c.sendStatus(now)
	for _, id := range c.ranking.preferred[p.index] {
		node, known := c.membership.Lookup(machine.ID(id))
		if known && node.ID != c.self().ID {
			c.ready.Messages = append(c.ready.Messages, Outbound{To: node, Message: PeerMessage{
				From: c.self(), Status: &Status{ReachesStore: c.storeReachable, Owned: c.ownedPartitions(), Owners: []Owner{c.owners[p.index].Owner}, Loads: c.loads.Counts, Version: c.loads.Version},
			}})
		}
	}
}

// takes reports whether the takeover of an epoch is under way.
func (p *partition) takingOver(epoch ownership.Epoch) bool {
	return epoch == p.epoch && (p.state == stateTakingOver || p.takeover.turnsPending)
}

// restore takes records in, and serves those that waited for them.
func (c *Core) restoreRecords(now time.Time, p *partition, records []ledger.Record) {
	p.takeover.progressAt = now
	for _, record := range records {
		// A record that does not decode was written by no version of this
		// program; the others must not be lost for it.
		_ = p.ledger.Restore(now, record)
	}
	if p.state == stateServing {
		c.serveHeld(now, p)
	}
}

func (c *Core) stepTakenOver(now time.Time, event TakenOver) {
	p := c.partitions[event.Partition]
	if event.Outcome != OutcomeMoved {
		p.highestEpoch = max(p.highestEpoch, event.Epoch)
	}
	if !p.takingOver(event.Epoch) {
		return
	}
	switch event.Outcome {
	case OutcomeDone:
		c.finishTakeover(now, p, event.Records)
	case OutcomeFenced:
		p.contested.refusals++
		c.abandon(p)
		c.backOffAfterFencing(now, p)
	case OutcomeMoved:
		c.stepLogAdvanced(now, p, event.End)
	case OutcomeFailed:
		c.failTakeover(p)
	}
}

// failTakeover gives a takeover up that could not be read to its end.
func (c *Core) failTakeover(p *partition) {
	if p.state == stateServing {
		c.loseOwnership(p, "the log could not be read")
		return
	}
	c.abandon(p)
}

// finishTakeover takes the last records in.
func (c *Core) finishTakeover(now time.Time, p *partition, records []ledger.Record) {
	if p.ledger == nil {
		p.ledger = ledger.New(c.config.Ledger)
	}
	c.restoreRecords(now, p, records)
	p.ledger.Restored()
	if p.state == stateTakingOver {
		c.startServing(now, p, false)
		return
	}
	p.takeover.turnsPending = false
	c.serveHeld(now, p)
}

// open begins to serve a partition whose accounts are known. Turns says that kept
// turns are still to be read.
func (c *Core) startServing(now time.Time, p *partition, turnsPending bool) {
	p.contested = contested{}
	p.ledger.RetainFor(c.loads.RetainFor)
	p.ledger.Prove(p.takeoverStartedAt)
	p.ledger.Open(now)
	if c.leaving {
		p.ledger.Close(now)
	}
	p.state = stateServing
	p.takeover = takeover{turnsPending: turnsPending, progressAt: now, forced: p.takeover.forced}
	p.appendSequence = 0
	p.appendInFlight = false
	accounts, turns := p.ledger.Counts()
	c.ready.Changes = append(c.ready.Changes, Change{
		Partition: p.index, Epoch: p.epoch, Owned: true, Reason: "claimed", Accounts: accounts, Turns: turns,
		Inherited: p.ledger.Inherited(),
	})
	// The others are told at once, so that they ask here.
	c.publishOwnership(now, p)
	c.sendStatus(now)
	c.serveHeld(now, p)
}

// serveHeld serves the requests that waited, as far as what they need is known.
func (c *Core) serveHeld(now time.Time, p *partition) {
	heldRequests := p.heldRequests
	p.heldRequests = nil
	for _, held := range heldRequests {
		c.serveOrHold(now, p, held)
	}
}

// serveOrHold serves a request, or holds it for a kept turn that may still be read.
func (c *Core) serveOrHold(now time.Time, p *partition, held heldRequest) {
	if p.needsUnreadTurn(held.request.Request) {
		p.heldRequests = append(p.heldRequests, held)
		return
	}
	c.serve(now, p, held.request)
}

// awaits reports whether a request needs a kept turn that may still be read.
func (p *partition) needsUnreadTurn(request Request) bool {
	if !p.takeover.turnsPending {
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
func (c *Core) expiredReply(p *partition, request Requested) Reply {
	reply := Reply{ID: request.ID, Status: ReplyNotOwner}
	if known := c.owners[p.index].Owner; p.state != stateAbsent && known.Epoch == p.epoch {
		reply.Owner = &known
	}
	return reply
}

// noteServing takes in that a node serves whose takeover was known to be under way.
func (c *Core) markServing(node machine.ID, index int, epoch ownership.Epoch) {
	if index < 0 || index >= len(c.owners) {
		return
	}
	if known := &c.owners[index]; known.Node == node && known.Epoch == epoch {
		known.TakingOver = false
	}
}

// stuck reports whether the takeover that is known of a partition has made no
// progress for too long.
func (c *Core) takeoverStalled(now time.Time, index int) bool {
	known := &c.owners[index]
	return known.TakingOver && now.Sub(known.receivedAt) > takeoverStallTimeout
}
