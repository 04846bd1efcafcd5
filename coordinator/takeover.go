package coordinator

import (
	"strconv"
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

const (
	// takeoverStallTimeout is how long a takeover may make no progress before other nodes
	// stop waiting for it. It is longer than a slow store needs for one page.
	takeoverStallTimeout = 4 * time.Second
	// progressInterval is the least time between two published records of one takeover's
	// progress, so that many takeovers leave space for other records in the statuses.
	progressInterval = 500 * time.Millisecond
	// fencedBackoff is how long a fenced node first waits before it checks whether the owner
	// that fenced it still appends. The wait doubles up to maxFencedBackoff. It ends once
	// the node receives that owner's record.
	fencedBackoff    = 3 * time.Second
	maxFencedBackoff = 24 * time.Second
	// keepaliveInterval is the time after which an owner without appends makes one, so that
	// a node in another network partition detects that it is alive. It is well below
	// fencedBackoff.
	keepaliveInterval = time.Second
	// recentLossWindow is how long a lost node counts as recently lost, and for how long
	// after its takeover an owner makes keepalive appends.
	recentLossWindow = time.Minute
	// idBase is the base of the IDs of owners in the log, which are their epochs.
	idBase = 36
	// maxEpochLeapExponent bounds how far a node whose claims are refused advances its
	// epochs: up to 2^10 seconds.
	maxEpochLeapExponent = 10
)

// takeover is the progress of a takeover.
type takeover struct {
	// claimed reports that the claim of the takeover in progress is in the log.
	claimed bool
	// forced reports that no owner released the partition cleanly.
	forced bool
	// turnsPending reports that stored turns are still to be read.
	turnsPending bool
	// progressAt is when the takeover last made progress, and publishedAt when peers were
	// last notified of it.
	progressAt  time.Time
	publishedAt time.Time
}

// contested is the state of a node that was fenced, or may be in the minority of a network
// partition, and does not know the present owner.
type contested struct {
	active bool
	// epoch is the highest epoch known when the state began. A higher one means that the
	// owner is known.
	epoch   ownership.Epoch
	backoff time.Duration
	// logEnd is the end of the log when it was last checked.
	logEnd uint64
	// refusals counts consecutive claims that were fenced.
	refusals int
}

// claim starts a takeover.
func (c *Core) claim(now time.Time, p *partition) {
	p.nextClaimAt = now.Add(c.config.MinClaimInterval)
	p.state = stateTakingOver
	leap := time.Duration(0)
	if p.contested.refusals > 0 {
		leap = time.Second << min(p.contested.refusals, maxEpochLeapExponent)
	}
	p.epoch = c.config.Salt.ClaimEpoch(p.highestEpoch, now.Add(leap))
	p.takeoverStartedAt = now
	p.takeover = takeover{progressAt: now, forced: !p.handover.clean}
	if p.takeover.forced && c.likelyMinority(now) {
		c.enterContested(p)
	}
	c.ready.Takeovers = append(c.ready.Takeovers, Takeover{
		Partition: p.index, Epoch: p.epoch, Contested: p.contested.active, ExpectedEnd: p.contested.logEnd,
	})
}

// backOffAfterFencing leaves the partition to the owner that fenced this node.
func (c *Core) backOffAfterFencing(now time.Time, p *partition) {
	p.nextClaimAt = now
	if p.contested.active {
		p.nextClaimAt = now.Add(p.contested.backoff)
		return
	}
	c.enterContested(p)
}

// enterContested has this node claim the partition only once the log shows that nobody else
// appends to it.
func (c *Core) enterContested(p *partition) {
	if p.contested.active {
		return
	}
	p.contested = contested{active: true, epoch: p.highestEpoch, backoff: fencedBackoff, refusals: p.contested.refusals}
}

// zoneSilenceTimeout is the time without messages after which a zone counts as partitioned
// off. The failure detector declares its nodes dead one by one, and later.
const zoneSilenceTimeout = 500 * time.Millisecond

// likelyMinority reports whether more nodes were recently lost than are left. This node may
// then be in the minority of a network partition, and nodes on the other side replace the
// lost owners at once.
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

// leaveContested ends the contested state because the owner is known.
func (c *Core) leaveContested(now time.Time, p *partition) {
	if p.state == stateTakingOver && !p.takeover.claimed {
		c.abandon(p)
	}
	p.nextClaimAt = now.Add(c.config.MinClaimInterval)
	p.epoch = max(p.epoch, p.contested.epoch)
	p.contested = contested{}
}

// stepLogAdvanced ends a contested takeover because another owner appends.
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

// keepaliveDue reports whether an owner without appends should make one. While nodes were
// recently lost, nodes that the owner cannot reach may consider it dead.
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
	p.search = claimSearch{}
}

// stepTakeoverRead processes the progress of a takeover.
func (c *Core) stepTakeoverRead(now time.Time, event TakeoverRead) {
	p := c.partitions[event.Partition]
	if !p.takingOver(event.Epoch) {
		return
	}
	if p.ledger == nil {
		p.ledger = ledger.New(c.config.Ledger)
	}
	c.restoreRecords(now, p, event.Records)
	if last := len(event.Records) - 1; p.state == stateTakingOver && last >= 0 && ledger.SortsAfterAccounts(event.Records[last].Key) {
		c.startServing(now, p, true)
	}
	if p.state == stateTakingOver {
		c.publishTakeover(now, p)
	}
}

// publishTakeover notifies peers of a takeover in progress: at once when it has started,
// first of all the other preferred nodes, and then from time to time of its progress.
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

// takingOver reports whether the takeover with the epoch is in progress.
func (p *partition) takingOver(epoch ownership.Epoch) bool {
	return epoch == p.epoch && (p.state == stateTakingOver || p.takeover.turnsPending)
}

// restoreRecords adds records to the ledger, and serves the requests that waited for them.
func (c *Core) restoreRecords(now time.Time, p *partition, records []ledger.Record) {
	p.takeover.progressAt = now
	for _, record := range records {
		// A record that does not decode was not written by any version of this program. It
		// must not cause the loss of the others.
		_ = p.ledger.Restore(now, record)
	}
	if p.state == stateServing {
		c.serveHeld(now, p)
	}
}

func (c *Core) stepTakenOver(now time.Time, event TakeoverEnded) {
	p := c.partitions[event.Partition]
	if event.Outcome != OutcomeLogAdvanced {
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
	case OutcomeLogAdvanced:
		c.stepLogAdvanced(now, p, event.End)
	case OutcomeFailed:
		c.failTakeover(p)
	}
}

// failTakeover ends a takeover whose records could not all be read.
func (c *Core) failTakeover(p *partition) {
	if p.state == stateServing {
		c.loseOwnership(p, "the log could not be read")
		return
	}
	c.abandon(p)
}

// finishTakeover adds the last records.
func (c *Core) finishTakeover(now time.Time, p *partition, records []ledger.Record) {
	if p.ledger == nil {
		p.ledger = ledger.New(c.config.Ledger)
	}
	c.restoreRecords(now, p, records)
	p.ledger.FinishRestore()
	if p.state == stateTakingOver {
		c.startServing(now, p, false)
		return
	}
	p.takeover.turnsPending = false
	c.serveHeld(now, p)
}

// startServing starts to serve a partition whose accounts are known. turnsPending reports
// that stored turns are still to be read.
func (c *Core) startServing(now time.Time, p *partition, turnsPending bool) {
	p.contested = contested{}
	p.ledger.RetainFor(c.loads.RetainFor)
	p.ledger.ConfirmOwnership(p.takeoverStartedAt)
	p.ledger.Identify(strconv.FormatUint(uint64(p.epoch), idBase))
	p.ledger.Open(now)
	if c.leaving {
		p.ledger.Close(now)
	}
	p.state = stateServing
	p.takeover = takeover{turnsPending: turnsPending, progressAt: now, forced: p.takeover.forced}
	p.appendSequence = 0
	p.appendInFlight = false
	accounts, turns, origins := p.ledger.Counts()
	c.ready.Changes = append(c.ready.Changes, Change{
		Partition: p.index, Epoch: p.epoch, Owned: true, Reason: "claimed", Accounts: accounts, Turns: turns, Origins: origins,
		Inherited: p.ledger.Inherited(),
	})
	// Notify the peers at once, so that they send their requests here.
	c.publishOwnership(now, p)
	c.sendStatus(now)
	c.startClaimSearch(now, p)
	c.serveHeld(now, p)
}

// serveHeld serves the held requests whose records have been read.
func (c *Core) serveHeld(now time.Time, p *partition) {
	heldRequests := p.heldRequests
	p.heldRequests = nil
	for _, held := range heldRequests {
		c.serveOrHold(now, p, held)
	}
}

// serveOrHold serves a request, or holds it if it needs a stored turn that may still be
// read.
func (c *Core) serveOrHold(now time.Time, p *partition, held heldRequest) {
	if p.needsUnreadTurn(held.request.Request) {
		p.heldRequests = append(p.heldRequests, held)
		return
	}
	c.serve(now, p, held.request)
}

// needsUnreadTurn reports whether a request needs a stored turn that may still be read.
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

// expiredReply answers a request that was held for too long. It names this node as owner
// while the takeover is in progress, so that the requester retries here.
func (c *Core) expiredReply(p *partition, request RequestReceived) Reply {
	reply := Reply{ID: request.ID, Status: ReplyNotOwner}
	if known := c.owners[p.index].Owner; p.state != stateAbsent && known.Epoch == p.epoch {
		reply.Owner = &known
	}
	return reply
}

// markServing notes that a node now serves whose takeover was known to be in progress.
func (c *Core) markServing(node machine.ID, index int, epoch ownership.Epoch) {
	if index < 0 || index >= len(c.owners) {
		return
	}
	if known := &c.owners[index]; known.Node == node && known.Epoch == epoch {
		known.TakingOver = false
	}
}

// takeoverStalled reports whether a known takeover of a partition has made no progress for
// too long.
func (c *Core) takeoverStalled(now time.Time, index int) bool {
	known := &c.owners[index]
	return known.TakingOver && now.Sub(known.receivedAt) > takeoverStallTimeout
}
