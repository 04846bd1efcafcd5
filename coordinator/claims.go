package coordinator

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// ClaimMessage asks a node which turns of a partition it has not settled yet, and which
// ended lately, or answers that question.
type ClaimMessage struct {
	Partition int `json:"partition"`
	// Epoch is that of the owner that asks.
	Epoch  ownership.Epoch `json:"epoch"`
	Ask    bool            `json:"ask,omitempty"`
	Claims []ledger.Claim  `json:"claims,omitempty"`
}

// ClaimQuery instructs the driver to list this node's unsettled turns of a partition. A
// ClaimsListed answers it.
type ClaimQuery struct {
	From      machine.Machine
	Partition int
	Epoch     ownership.Epoch
}

// ClaimsListed answers a ClaimQuery.
type ClaimsListed struct {
	Query  ClaimQuery
	Claims []ledger.Claim
}

// ClaimsCollected reports, for logging, the end of an owner's search for the nodes of the
// turns that its predecessors granted.
type ClaimsCollected struct {
	Partition int
	Epoch     ownership.Epoch
	// Claims is the number of turns that nodes have, and Lapsed that of the turns that no
	// node has.
	Claims int
	Lapsed int
	// Unanswered is the number of nodes that did not answer.
	Unanswered int
	Took       time.Duration
}

const (
	// claimTimeout bounds the search: a node that does not answer for so long cannot
	// settle its turns here either.
	claimTimeout = 3 * time.Second
	// claimRetryInterval is the time after which a node is asked again, since messages may
	// be lost.
	claimRetryInterval = 200 * time.Millisecond
	// claimFanout bounds the nodes that are asked in one tick.
	claimFanout = 128
)

// claimSearch is an owner's search for the nodes of the turns that its predecessors
// granted.
type claimSearch struct {
	active    bool
	startedAt time.Time
	// unanswered holds the nodes that have not answered, with the time at which each was
	// last asked.
	unanswered map[machine.ID]time.Time
	claims     []ledger.Claim
}

// startClaimSearch asks all nodes for the unsettled turns of a partition that was taken
// over, if it has any.
func (c *Core) startClaimSearch(now time.Time, p *partition) {
	if c.config.SkipClaimSearch || !p.ledger.HasInherited() {
		return
	}
	p.search = claimSearch{active: true, startedAt: now, unanswered: map[machine.ID]time.Time{c.self().ID: {}}}
	for _, node := range c.statusPeers() {
		p.search.unanswered[node.ID] = time.Time{}
	}
	c.tickClaimSearch(now, p)
}

// tickClaimSearch asks nodes, and ends the search once all live nodes have answered.
func (c *Core) tickClaimSearch(now time.Time, p *partition) {
	search := &p.search
	if !search.active {
		return
	}
	maps.DeleteFunc(search.unanswered, func(id machine.ID, _ time.Time) bool { return id != c.self().ID && !c.mayAnswer(id) })
	if len(search.unanswered) == 0 || now.Sub(search.startedAt) >= claimTimeout {
		c.finishClaimSearch(now, p)
		return
	}
	asked := 0
	for _, id := range slices.Sorted(maps.Keys(search.unanswered)) {
		if asked < claimFanout && now.Sub(search.unanswered[id]) >= claimRetryInterval {
			search.unanswered[id] = now
			c.askForClaims(p, id)
			asked++
		}
	}
}

// mayAnswer reports whether a node is not known to be dead.
func (c *Core) mayAnswer(id machine.ID) bool {
	status, known := c.membership.Status(id)
	return known && status != machine.StatusDead
}

func (c *Core) askForClaims(p *partition, id machine.ID) {
	if id == c.self().ID {
		c.ready.ClaimQueries = append(c.ready.ClaimQueries, ClaimQuery{From: c.self(), Partition: p.index, Epoch: p.epoch})
		return
	}
	if node, known := c.membership.Lookup(id); known {
		c.sendClaims(node, ClaimMessage{Partition: p.index, Epoch: p.epoch, Ask: true})
	}
}

func (c *Core) sendClaims(to machine.Machine, message ClaimMessage) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: PeerMessage{From: c.self(), Claim: &message}})
}

// stepClaims processes a question for this node's turns, or an answer of another node.
func (c *Core) stepClaims(now time.Time, from machine.Machine, message *ClaimMessage) {
	if message.Ask {
		c.ready.ClaimQueries = append(c.ready.ClaimQueries, ClaimQuery{From: from, Partition: message.Partition, Epoch: message.Epoch})
		return
	}
	c.addClaims(now, from.ID, message)
}

// stepClaimsListed passes this node's turns on to the owner that asked for them.
func (c *Core) stepClaimsListed(now time.Time, listed ClaimsListed) {
	message := ClaimMessage{Partition: listed.Query.Partition, Epoch: listed.Query.Epoch, Claims: listed.Claims}
	if listed.Query.From.ID == c.self().ID {
		c.addClaims(now, c.self().ID, &message)
		return
	}
	c.sendClaims(listed.Query.From, message)
}

func (c *Core) addClaims(now time.Time, from machine.ID, message *ClaimMessage) {
	if message.Partition < 0 || message.Partition >= len(c.partitions) {
		return
	}
	p := c.partitions[message.Partition]
	if _, waiting := p.search.unanswered[from]; !waiting || p.epoch != message.Epoch || p.state != stateServing {
		return
	}
	delete(p.search.unanswered, from)
	p.search.claims = append(p.search.claims, message.Claims...)
	if len(p.search.unanswered) == 0 {
		c.finishClaimSearch(now, p)
	}
}

// finishClaimSearch settles the turns that have ended, and lets those lapse that no node
// has.
func (c *Core) finishClaimSearch(now time.Time, p *partition) {
	search := p.search
	p.search = claimSearch{}
	p.ledger.SettleEnded(now, search.claims)
	c.ready.ClaimsCollected = append(c.ready.ClaimsCollected, ClaimsCollected{
		Partition: p.index, Epoch: p.epoch, Claims: len(search.claims), Lapsed: p.ledger.LapseUnclaimed(now, search.claims),
		Unanswered: len(search.unanswered), Took: now.Sub(search.startedAt),
	})
}
