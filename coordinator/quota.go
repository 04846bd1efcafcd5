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
	Left []machine.ID `json:"left,omitempty"`
	// Return gives a grant back whose request did not run.
	Return *Charge `json:"return,omitempty"`
}

// chargeResend is after what time without an answer a charge is asked for again:
// several times the way between zones and back.
const chargeResend = 60 * time.Millisecond

// chargeSilences is the question in a row without an answer that goes to the node which
// counts if the one asked before is gone. One or two may be lost on the way.
const chargeSilences = 3

// charging is this node's part in keeping the limits of tenants and cold replicas.
type charging struct {
	books map[accountKind]*tenant.Book
	// owners are the nodes that count, as far as they were asked for since the nodes
	// were those of this version.
	owners  map[account]machine.ID
	version uint64
	nodes   []machine.ID
	// pending are this node's charges without an answer, by number.
	pending    map[uint64]*pendingCharge
	nextNumber uint64
}

// pendingCharge is a charge of this node's traffic that waits for its answer.
type pendingCharge struct {
	id     uint64
	charge Charge
	// askedAt is when the charge was asked for first, and until when it is given up.
	askedAt  time.Time
	until    time.Time
	resendAt time.Time
	askedOf  machine.ID
	// redirects is how often a node that was asked named another one.
	redirects int
	// left are the nodes that answered that they leave.
	left []machine.ID
	// silent is how often in a row no node that was asked answered.
	silent int
}

// maximumRedirects bounds how often a charge follows the views of the nodes that were
// asked, before the asker's own view is followed again: two views that name each other
// would send it back and forth.
const maximumRedirects = 4

func newCharging(now time.Time, config *Config) charging {
	return charging{
		books: map[accountKind]*tenant.Book{
			tenantAccount:  tenant.NewBook(now.Add(config.Settle), config.Tenants),
			replicaAccount: tenant.NewBook(now.Add(config.Settle), config.ColdReplicas),
		},
		owners: make(map[account]machine.ID), pending: make(map[uint64]*pendingCharge), nextNumber: firstNumber(config.Random),
	}
}

// firstNumber draws where the numbers of a process's questions begin, so that an answer
// to a question of the process before is none of this one's. Half of the numbers stay
// above it.
func firstNumber(random *rand.Rand) uint64 { return random.Uint64() >> 1 }

// spend decides a charge that this node counts.
func (h *charging) spend(now time.Time, charge *Charge) tenant.Decision {
	to := charge.account()
	return h.books[to.kind].Spend(now, to.name, charge.Request)
}

// giveBack takes back a charge that this node granted and whose request did not run.
func (h *charging) giveBack(charge *Charge) {
	to := charge.account()
	h.books[to.kind].Return(to.name, charge.Request)
}

// chargeOwner returns the node that counts for an account: the live one that ranks
// first for its name. Whether a node reaches the store does not matter.
func (c *Core) chargeOwner(name account) machine.ID {
	if c.config.CountAlone {
		return c.self().ID
	}
	if owner, known := c.charging.owners[name]; known {
		return owner
	}
	owner := c.chargeOwnerWithout(name)
	c.charging.owners[name] = owner
	return owner
}

// chargePlace stands for an account in the ranking, beside the partitions.
func chargePlace(one account) int {
	return int(xxhash.Sum64String(string(one.kind)+"/"+one.name) >> 1)
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
func (c *Core) renewCharging(now time.Time) {
	held := &c.charging
	if held.nodes != nil && held.version == c.membership.Version() {
		return
	}
	held.version = c.membership.Version()
	var nodes []machine.ID
	for _, node := range c.membership.Nodes() {
		nodes = append(nodes, node.ID)
	}
	lost := slices.ContainsFunc(held.nodes, func(id machine.ID) bool { return !slices.Contains(nodes, id) })
	changed := held.nodes == nil || !slices.Equal(held.nodes, nodes)
	if changed {
		clear(held.owners)
		held.nodes = nodes
	}
	for kind, book := range held.books {
		if lost {
			book.Inherit(now)
		}
		if changed {
			book.Keep(func(name string) bool { return c.chargeOwner(account{kind: kind, name: name}) == c.self().ID })
		}
		book.SetShare(c.chargeShare())
	}
}

// chargeShare is the part of each limit that the live nodes may grant. Nodes that are
// known and not live may be lost, or live on behind a cut and count for their side.
func (c *Core) chargeShare() float64 {
	if c.config.ShareWhole {
		return 1
	}
	if c.config.CountAlone {
		return 1 / float64(max(1, len(c.listing)))
	}
	live := float64(c.LiveCount())
	return min(1, live/float64(max(1, len(c.listing))))
}

// countsCharges reports whether this node knows its peers well enough to count.
func (c *Core) countsCharges(now time.Time) bool {
	return !c.leaving && now.Sub(c.started) >= c.config.Settle
}

// stepCharge takes in that a request of this node's traffic is to be counted.
func (c *Core) stepCharge(now time.Time, event ChargeRequested) {
	c.renewCharging(now)
	c.charging.nextNumber++
	asked := &pendingCharge{id: event.ID, charge: event.Charge, askedAt: now, until: now.Add(event.Patience)}
	c.charging.pending[c.charging.nextNumber] = asked
	c.askCharge(now, c.charging.nextNumber, asked)
}

// askCharge decides a charge, or asks the node that counts for its account.
func (c *Core) askCharge(now time.Time, number uint64, asked *pendingCharge) {
	asked.resendAt = now.Add(chargeResend)
	asked.redirects = 0
	owner := c.chargeOwner(asked.charge.account())
	if !c.config.AskOwnView && asked.silent%chargeSilences == chargeSilences-1 {
		// The node may be gone, which others may have noticed: the next one counts then.
		owner = c.chargeOwnerWithout(asked.charge.account(), owner)
	}
	asked.silent++
	asked.askedOf = owner
	if owner == c.self().ID {
		if c.countsCharges(now) {
			c.endCharge(number, asked, c.charging.spend(now, &asked.charge))
		}
		return
	}
	c.sendCharge(owner, ChargeMessage{Number: number, Ask: &asked.charge}, nil)
}

func (c *Core) sendCharge(to machine.ID, message ChargeMessage, word *ProofMessage) {
	if target, known := c.membership.Lookup(to); known {
		c.ready.Messages = append(c.ready.Messages, Outbound{
			To: target, Message: PeerMessage{From: c.self(), Charge: &message, Proof: word},
		})
	}
}

// endCharge hands a decision to the driver.
func (c *Core) endCharge(number uint64, asked *pendingCharge, decision tenant.Decision) {
	delete(c.charging.pending, number)
	status := ChargeRefused
	if decision.Granted {
		status = ChargeGranted
	}
	c.ready.Charged = append(c.ready.Charged, Charged{ID: asked.id, Status: status, Owner: asked.askedOf, Decision: decision})
}

// stepReturn gives back a grant whose request did not run.
func (c *Core) stepReturn(event ChargeReturned) {
	owner := c.chargeOwner(event.Charge.account())
	if owner == c.self().ID {
		c.charging.giveBack(&event.Charge)
		return
	}
	c.sendCharge(owner, ChargeMessage{Return: &event.Charge}, nil)
}

// stepChargeMessage takes in what another node says of a charge.
func (c *Core) stepChargeMessage(now time.Time, from machine.Machine, received PeerMessage) {
	message := *received.Charge
	asked := c.charging.pending[message.Number]
	switch {
	case message.Ask != nil:
		c.answerCharge(now, from, message)
	case message.Return != nil:
		c.charging.giveBack(message.Return)
	case asked == nil:
		// Too late: the charge counts at its owner, and its request does not run.
	case message.Answer != nil:
		c.endCharge(message.Number, asked, *message.Answer)
	default:
		c.redirectCharge(now, from, message, asked)
	}
	if asked != nil && received.Proof != nil {
		c.takeProof(from, *received.Proof, asked.askedAt)
	}
}

// redirectCharge follows the view of a node that does not count: the views of the nodes
// differ for a while after one comes or goes, and whoever was asked may have heard of it.
// Where that leads nowhere, the charge is asked for again when that is due.
func (c *Core) redirectCharge(now time.Time, from machine.Machine, message ChargeMessage, asked *pendingCharge) {
	if c.config.AskOwnView || from.ID != asked.askedOf || message.Owner == "" || message.Owner == c.self().ID || asked.redirects >= maximumRedirects {
		return
	}
	asked.redirects++
	asked.silent = 0
	asked.askedOf = message.Owner
	asked.resendAt = now.Add(chargeResend)
	if from.Status == machine.StatusLeaving && !slices.Contains(asked.left, from.ID) {
		asked.left = append(asked.left, from.ID)
	}
	c.sendCharge(message.Owner, ChargeMessage{Number: message.Number, Ask: &asked.charge, Left: asked.left}, nil)
}

// answerCharge decides a charge of another node's traffic.
func (c *Core) answerCharge(now time.Time, from machine.Machine, message ChargeMessage) {
	c.renewCharging(now)
	owner := c.chargeOwner(message.Ask.account())
	left := message.Left
	if c.leaving {
		left = append(slices.Clone(left), c.self().ID)
	}
	if slices.Contains(left, owner) {
		owner = c.chargeOwnerWithout(message.Ask.account(), left...)
	}
	if owner != c.self().ID || !c.countsCharges(now) {
		answer := ChargeMessage{Number: message.Number, NotOwner: true}
		if owner != c.self().ID {
			answer.Owner = owner
		}
		c.sendCharge(from.ID, answer, c.proofWord(now, 0))
		return
	}
	decision := c.charging.spend(now, message.Ask)
	c.sendCharge(from.ID, ChargeMessage{Number: message.Number, Answer: &decision}, c.proofWord(now, 0))
}

// chargeOwnerWithout returns the node that counts for an account once others are gone.
func (c *Core) chargeOwnerWithout(name account, gone ...machine.ID) machine.ID {
	rest := slices.DeleteFunc(c.chargeCandidates(), func(node ownership.Node) bool {
		return slices.Contains(gone, machine.ID(node.ID))
	})
	return machine.ID(ownership.Rank(chargePlace(name), rest))
}

// tickCharges asks again for charges without an answer, and gives up those whose time
// is over.
func (c *Core) tickCharges(now time.Time) {
	c.renewCharging(now)
	if len(c.charging.pending) == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(c.charging.pending)) {
		asked := c.charging.pending[number]
		switch {
		case !now.Before(asked.until):
			delete(c.charging.pending, number)
			c.ready.Charged = append(c.ready.Charged, Charged{ID: asked.id, Status: ChargeUnknown, Owner: asked.askedOf})
		case !now.Before(asked.resendAt):
			c.askCharge(now, number, asked)
		}
	}
}
