package coordinator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/tenant"
)

// Charge asks for one request of a tenant, or one to a cold replica, of the node that
// counts for it. Exactly one of Tenant and Replica is set.
type Charge struct {
	Tenant  string         `json:"tenant,omitempty"`
	Replica string         `json:"replica,omitempty"`
	Request tenant.Request `json:"request"`
}

// account names what the request counts to.
func (c *Charge) account() account {
	if c.Replica != "" {
		return account{kind: replicaAccount, name: c.Replica}
	}
	return account{kind: tenantAccount, name: c.Tenant}
}

// account is what one node counts requests for.
type account struct {
	kind accountKind
	name string
}

// accountKind tells accounts of tenants from those of cold replicas.
type accountKind string

const (
	tenantAccount  accountKind = "tenant"
	replicaAccount accountKind = "replica"
)

// Charged answers a Charge.
type Charged struct {
	// ID is that of the ChargeRequested.
	ID     uint64
	Status ChargeStatus
	// Owner is the node that counts.
	Owner    machine.ID
	Decision tenant.Decision
}

// ChargeStatus tells how a Charge ended.
type ChargeStatus string

// The statuses of a charge.
const (
	// ChargeGranted lets the request run.
	ChargeGranted ChargeStatus = "granted"
	// ChargeRefused says that the limit does not hold the request.
	ChargeRefused ChargeStatus = "refused"
	// ChargeUnknown says that no node that counts answered in time.
	ChargeUnknown ChargeStatus = "unknown"
)

// ChargeMessage is what nodes say to each other about charges. Exactly one of Ask,
// Answer, NotOwner and Return is set.
type ChargeMessage struct {
	// Number correlates an answer with its question.
	Number uint64           `json:"number,omitempty"`
	Ask    *Charge          `json:"ask,omitempty"`
	Answer *tenant.Decision `json:"answer,omitempty"`
	// NotOwner says that the asked node does not count for the account, and Owner, if
	// named, which one does by its view.
	NotOwner bool       `json:"not_owner,omitempty"`
	Owner    machine.ID `json:"owner,omitempty"`
	// Left are nodes that told the asker that they leave, and so count no more.
	Leaving []machine.ID `json:"left,omitempty"`
	// Return gives a grant back whose request did not run.
	Refund *Charge `json:"return,omitempty"`
}

// chargeResend is after what time without an answer a charge is asked for again:
// several times the way between zones and back.
const chargeResendInterval = 60 * time.Millisecond

// chargeSilences is the question in a row without an answer that goes to the node which
// counts if the one asked before is gone. One or two may be lost on the way.
const attemptsPerFallback = 3

// charging is this node's part in keeping the limits of tenants and cold replicas.
type chargeState struct {
	books map[accountKind]*tenant.Book
	// owners are the nodes that count, as far as they were asked for since the nodes
	// were those of this version.
	countingNodes     map[account]machine.ID
	membershipVersion uint64
	liveNodes         []machine.ID
	// pending are this node's charges without an answer, by number.
	pending    map[uint64]*pendingCharge
	nextNumber uint64
}

// pendingCharge is a charge of this node's traffic that waits for its answer.
type pendingCharge struct {
	id     uint64
	charge Charge
	// askedAt is when the charge was asked for first, and until when it is given up.
	requestedAt time.Time
	deadline    time.Time
	resendAt    time.Time
	target      machine.ID
	// redirects is how often a node that was asked named another one.
	redirects int
	// left are the nodes that answered that they leave.
	leavingNodes []machine.ID
	// silent is how often in a row no node that was asked answered.
	unanswered int
}

// maximumRedirects bounds how often a charge follows the views of the nodes that were
// asked, before the asker's own view is followed again: two views that name each other
// would send it back and forth.
const maxRedirects = 4

func newChargeState(now time.Time, config *Config) chargeState {
	return chargeState{
		books: map[accountKind]*tenant.Book{
			tenantAccount:  tenant.NewBook(now.Add(config.StartupDelay), config.Tenants),
			replicaAccount: tenant.NewBook(now.Add(config.StartupDelay), config.ColdReplicas),
		},
		countingNodes: make(map[account]machine.ID), pending: make(map[uint64]*pendingCharge), nextNumber: firstNumber(config.Random),
	}
}

// firstNumber draws where the numbers of a process's questions begin, so that an answer
// to a question of the process before is none of this one's. Half of the numbers stay
// above it.
func firstNumber(random *rand.Rand) uint64 { return random.Uint64() >> 1 }

// spend decides a charge that this node counts.
func (h *chargeState) spend(now time.Time, charge *Charge) tenant.Decision {
	key := charge.account()
	return h.books[key.kind].Spend(now, key.name, charge.Request)
}

// giveBack takes back a charge that this node granted and whose request did not run.
func (h *chargeState) refund(charge *Charge) {
	key := charge.account()
	h.books[key.kind].Return(key.name, charge.Request)
}

// chargeOwner returns the node that counts for an account: the live one that ranks
// first for its name. Whether a node reaches the store does not matter.
func (c *Core) countingNode(key account) machine.ID {
	if c.config.CountAlone {
		return c.self().ID
	}
	if node, known := c.chargeState.countingNodes[key]; known {
		return node
	}
	node := c.countingNodeExcluding(key)
	c.chargeState.countingNodes[key] = node
	return node
}

// chargePlace stands for an account in the ranking, beside the partitions.
func accountRankKey(key account) int {
	return int(xxhash.Sum64String(string(key.kind)+"/"+key.name) >> 1)
}

func (c *Core) chargeCandidates() []ownership.Node {
	nodes := c.membership.Nodes()
	candidates := make([]ownership.Node, 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, ownership.Node{ID: string(node.ID), Weight: node.Weight})
	}
	return candidates
}

// renewCharging follows the live nodes: accounts that another node counts for by now
// are dropped, and where a node was lost, accounts that are opened begin empty.
func (c *Core) updateCountingNodes(now time.Time) {
	state := &c.chargeState
	if state.liveNodes != nil && state.membershipVersion == c.membership.Version() {
		return
	}
	state.membershipVersion = c.membership.Version()
	var liveNodes []machine.ID
	for _, node := range c.membership.Nodes() {
		liveNodes = append(liveNodes, node.ID)
	}
	lost := slices.ContainsFunc(state.liveNodes, func(id machine.ID) bool { return !slices.Contains(liveNodes, id) })
	changed := state.liveNodes == nil || !slices.Equal(state.liveNodes, liveNodes)
	if changed {
		clear(state.countingNodes)
		state.liveNodes = liveNodes
	}
	for kind, book := range state.books {
		if lost {
			book.Inherit(now)
		}
		if changed {
			book.Keep(func(name string) bool { return c.countingNode(account{kind: kind, name: name}) == c.self().ID })
		}
		book.SetShare(c.grantableShare())
	}
}

// chargeShare is the part of each limit that the live nodes may grant. Nodes that are
// known and not live may be lost, or live on behind a cut and count for their side.
func (c *Core) grantableShare() float64 {
	if c.config.GrantFullLimits {
		return 1
	}
	if c.config.CountAlone {
		return 1 / float64(max(1, len(c.sortedNodes)))
	}
	live := float64(c.LiveCount())
	return min(1, live/float64(max(1, len(c.sortedNodes))))
}

// countsCharges reports whether this node knows its peers well enough to count.
func (c *Core) canCount(now time.Time) bool {
	return !c.leaving && now.Sub(c.startedAt) >= c.config.StartupDelay
}

// stepCharge takes in that a request of this node's traffic is to be counted.
func (c *Core) stepCharge(now time.Time, event ChargeRequested) {
	c.updateCountingNodes(now)
	c.chargeState.nextNumber++
	waiting := &pendingCharge{id: event.ID, charge: event.Charge, requestedAt: now, deadline: now.Add(event.Patience)}
	c.chargeState.pending[c.chargeState.nextNumber] = waiting
	c.requestCharge(now, c.chargeState.nextNumber, waiting)
}

// askCharge decides a charge, or asks the node that counts for its account.
func (c *Core) requestCharge(now time.Time, number uint64, waiting *pendingCharge) {
	waiting.resendAt = now.Add(chargeResendInterval)
	waiting.redirects = 0
	node := c.countingNode(waiting.charge.account())
	if !c.config.AskOwnView && waiting.unanswered%attemptsPerFallback == attemptsPerFallback-1 {
		// The node may be gone, which others may have noticed: the next one counts then.
		node = c.countingNodeExcluding(waiting.charge.account(), node)
	}
	waiting.unanswered++
	waiting.target = node
	if node == c.self().ID {
		if c.canCount(now) {
			c.finishCharge(number, waiting, c.chargeState.spend(now, &waiting.charge))
		}
		return
	}
	c.sendCharge(node, ChargeMessage{Number: number, Ask: &waiting.charge}, nil)
}

func (c *Core) sendCharge(to machine.ID, message ChargeMessage, freshness *FreshnessMessage) {
	if target, known := c.membership.Lookup(to); known {
		c.ready.Messages = append(c.ready.Messages, Outbound{
			To: target, Message: PeerMessage{From: c.self(), Charge: &message, Proof: freshness},
		})
	}
}

// endCharge hands a decision to the driver.
func (c *Core) finishCharge(number uint64, waiting *pendingCharge, decision tenant.Decision) {
	delete(c.chargeState.pending, number)
	status := ChargeRefused
	if decision.Granted {
		status = ChargeGranted
	}
	c.ready.Charged = append(c.ready.Charged, Charged{ID: waiting.id, Status: status, Owner: waiting.target, Decision: decision})
}

// stepReturn gives back a grant whose request did not run.
func (c *Core) stepChargeRefunded(event ChargeReturned) {
	node := c.countingNode(event.Charge.account())
	if node == c.self().ID {
		c.chargeState.refund(&event.Charge)
		return
	}
	c.sendCharge(node, ChargeMessage{Refund: &event.Charge}, nil)
}

// stepChargeMessage takes in what another node says of a charge.
func (c *Core) stepChargeMessage(now time.Time, from machine.Machine, received PeerMessage) {
	message := *received.Charge
	waiting := c.chargeState.pending[message.Number]
	switch {
	case message.Ask != nil:
		c.answerCharge(now, from, message)
	case message.Refund != nil:
		c.chargeState.refund(message.Refund)
	case waiting == nil:
		// Too late: the charge counts at its owner, and its request does not run.
	case message.Answer != nil:
		c.finishCharge(message.Number, waiting, *message.Answer)
	default:
		c.redirectCharge(now, from, message, waiting)
	}
	if waiting != nil && received.Proof != nil {
		c.acceptFreshness(from, *received.Proof, waiting.requestedAt)
	}
}

// redirectCharge follows the view of a node that does not count: the views of the nodes
// differ for a while after one comes or goes, and whoever was asked may have heard of it.
// Where that leads nowhere, the charge is asked for again when that is due.
func (c *Core) redirectCharge(now time.Time, from machine.Machine, message ChargeMessage, waiting *pendingCharge) {
	if c.config.AskOwnView || from.ID != waiting.target || message.Owner == "" || message.Owner == c.self().ID || waiting.redirects >= maxRedirects {
		return
	}
	waiting.redirects++
	waiting.unanswered = 0
	waiting.target = message.Owner
	waiting.resendAt = now.Add(chargeResendInterval)
	if from.Status == machine.StatusLeaving && !slices.Contains(waiting.leavingNodes, from.ID) {
		waiting.leavingNodes = append(waiting.leavingNodes, from.ID)
	}
	c.sendCharge(message.Owner, ChargeMessage{Number: message.Number, Ask: &waiting.charge, Leaving: waiting.leavingNodes}, nil)
}

// answerCharge decides a charge of another node's traffic.
func (c *Core) answerCharge(now time.Time, from machine.Machine, message ChargeMessage) {
	c.updateCountingNodes(now)
	node := c.countingNode(message.Ask.account())
	leavingNodes := message.Leaving
	if c.leaving {
		leavingNodes = append(slices.Clone(leavingNodes), c.self().ID)
	}
	if slices.Contains(leavingNodes, node) {
		node = c.countingNodeExcluding(message.Ask.account(), leavingNodes...)
	}
	if node != c.self().ID || !c.canCount(now) {
		answer := ChargeMessage{Number: message.Number, NotOwner: true}
		if node != c.self().ID {
			answer.Owner = node
		}
		c.sendCharge(from.ID, answer, c.freshnessClaim(now, 0))
		return
	}
	decision := c.chargeState.spend(now, message.Ask)
	c.sendCharge(from.ID, ChargeMessage{Number: message.Number, Answer: &decision}, c.freshnessClaim(now, 0))
}

// chargeOwnerWithout returns the node that counts for an account once others are gone.
func (c *Core) countingNodeExcluding(key account, excluded ...machine.ID) machine.ID {
	candidates := slices.DeleteFunc(c.chargeCandidates(), func(node ownership.Node) bool {
		return slices.Contains(excluded, machine.ID(node.ID))
	})
	return machine.ID(ownership.Rank(accountRankKey(key), candidates))
}

// tickCharges asks again for charges without an answer, and gives up those whose time
// is over.
func (c *Core) tickCharges(now time.Time) {
	c.updateCountingNodes(now)
	if len(c.chargeState.pending) == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(c.chargeState.pending)) {
		waiting := c.chargeState.pending[number]
		switch {
		case !now.Before(waiting.deadline):
			delete(c.chargeState.pending, number)
			c.ready.Charged = append(c.ready.Charged, Charged{ID: waiting.id, Status: ChargeUnknown, Owner: waiting.target})
		case !now.Before(waiting.resendAt):
			c.requestCharge(now, number, waiting)
		}
	}
}
