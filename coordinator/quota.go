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

// Charge requests that the counting node count one request of a tenant, or one to a cold
// replica. Exactly one of Tenant and Replica is set.
type Charge struct {
	Tenant  string         `json:"tenant,omitempty"`
	Replica string         `json:"replica,omitempty"`
	Request tenant.Request `json:"request"`
}

// account returns the account that the request counts against.
func (c *Charge) account() account {
	if c.Replica != "" {
		return account{kind: replicaAccount, name: c.Replica}
	}
	return account{kind: tenantAccount, name: c.Tenant}
}

// account identifies what one node counts requests for: a tenant or a cold replica.
type account struct {
	kind accountKind
	name string
}

// accountKind distinguishes accounts of tenants from those of cold replicas.
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
	// Owner is the counting node.
	Owner    machine.ID
	Decision tenant.Decision
}

// ChargeStatus is how a Charge ended.
type ChargeStatus string

// Statuses of a charge.
const (
	// ChargeGranted permits the request to run.
	ChargeGranted ChargeStatus = "granted"
	// ChargeRefused means that the request exceeds the limit.
	ChargeRefused ChargeStatus = "refused"
	// ChargeUnknown means that no counting node answered in time.
	ChargeUnknown ChargeStatus = "unknown"
)

// ChargeMessage is a message between nodes about charges. Exactly one of Ask, Answer,
// NotOwner and Refund is set.
type ChargeMessage struct {
	// Number correlates an answer with its request.
	Number uint64           `json:"number,omitempty"`
	Ask    *Charge          `json:"ask,omitempty"`
	Answer *tenant.Decision `json:"answer,omitempty"`
	// NotOwner reports that the requested node is not the counting node of the account.
	// Owner, if set, is the counting node in its view.
	NotOwner bool       `json:"not_owner,omitempty"`
	Owner    machine.ID `json:"owner,omitempty"`
	// Leaving are nodes that reported to the requester that they are leaving, and so no
	// longer count.
	Leaving []machine.ID `json:"left,omitempty"`
	// Refund undoes a grant whose request did not run.
	Refund *Charge `json:"return,omitempty"`
}

// chargeResendInterval is the time without an answer after which a charge is sent again:
// several round trips between zones.
const chargeResendInterval = 60 * time.Millisecond

// attemptsPerFallback is how many consecutive attempts without an answer include one
// fallback: the last of them goes to the node that would count if the counting node were
// gone. One or two messages may merely be lost in transit.
const attemptsPerFallback = 3

// chargeState is this node's state for enforcing the limits of tenants and cold replicas.
type chargeState struct {
	limiters map[accountKind]*tenant.Limiter
	// countingNodes caches the counting nodes of accounts for the live nodes of
	// membershipVersion.
	countingNodes     map[account]machine.ID
	membershipVersion uint64
	liveNodes         []machine.ID
	// pending holds this node's unanswered charges by number.
	pending    map[uint64]*pendingCharge
	nextNumber uint64
}

// pendingCharge is an unanswered charge of a request that this node received.
type pendingCharge struct {
	id     uint64
	charge Charge
	// requestedAt is when the charge was first requested, and deadline when it ends as
	// ChargeUnknown.
	requestedAt time.Time
	deadline    time.Time
	resendAt    time.Time
	target      machine.ID
	// redirects counts the redirects followed since the last attempt started.
	redirects int
	// leavingNodes are the nodes that answered that they are leaving.
	leavingNodes []machine.ID
	// unanswered counts consecutive attempts without an answer.
	unanswered int
}

// maxRedirects bounds the redirects that one attempt follows before the requester uses its
// own view again. Two nodes that each name the other would redirect the charge forever.
const maxRedirects = 4

func newChargeState(now time.Time, config *Config) chargeState {
	return chargeState{
		limiters: map[accountKind]*tenant.Limiter{
			tenantAccount:  tenant.NewLimiter(now.Add(config.StartupDelay), config.Tenants),
			replicaAccount: tenant.NewLimiter(now.Add(config.StartupDelay), config.ColdReplicas),
		},
		countingNodes: make(map[account]machine.ID), pending: make(map[uint64]*pendingCharge), nextNumber: firstNumber(config.Random),
	}
}

// firstNumber returns a random first request number for a process, so that an answer to the
// previous process is not taken for one to this process. At least half of the number space
// remains above it.
func firstNumber(random *rand.Rand) uint64 { return random.Uint64() >> 1 }

// decide decides a charge that this node counts.
func (s *chargeState) decide(now time.Time, charge *Charge) tenant.Decision {
	key := charge.account()
	return s.limiters[key.kind].Take(now, key.name, charge.Request)
}

// refund undoes a charge that this node granted and whose request did not run.
func (s *chargeState) refund(charge *Charge) {
	key := charge.account()
	s.limiters[key.kind].Refund(key.name, charge.Request)
}

// countingNode returns the counting node of an account: the live node that ranks first for
// its name, whether or not it reaches the store.
func (c *Core) countingNode(key account) machine.ID {
	if c.config.CountLocally {
		return c.self().ID
	}
	if node, known := c.chargeState.countingNodes[key]; known {
		return node
	}
	node := c.countingNodeExcluding(key)
	c.chargeState.countingNodes[key] = node
	return node
}

// accountRankKey returns the key that stands for an account in the rendezvous ranking,
// where partitions use their index.
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

// updateCountingNodes follows changes of the live nodes. It drops the accounts that other
// nodes now count, and after the loss of a node lets newly opened accounts start empty.
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
	for kind, limiter := range state.limiters {
		if lost {
			limiter.NodeLost(now)
		}
		if changed {
			limiter.Retain(func(name string) bool { return c.countingNode(account{kind: kind, name: name}) == c.self().ID })
		}
		limiter.SetShare(c.grantableShare())
	}
}

// grantableShare returns the share of each limit that the live nodes may grant. Known nodes
// that are not live may be lost, or alive in another network partition and counting there.
func (c *Core) grantableShare() float64 {
	if c.config.GrantFullLimits {
		return 1
	}
	if c.config.CountLocally {
		return 1 / float64(max(1, len(c.sortedNodes)))
	}
	live := float64(c.LiveCount())
	return min(1, live/float64(max(1, len(c.sortedNodes))))
}

// canCount reports whether this node may count requests: it has had the time to discover
// its peers, and is not leaving.
func (c *Core) canCount(now time.Time) bool {
	return !c.leaving && now.Sub(c.startedAt) >= c.config.StartupDelay
}

// stepCharge starts counting a request that this node received.
func (c *Core) stepCharge(now time.Time, event ChargeRequested) {
	c.updateCountingNodes(now)
	c.chargeState.nextNumber++
	waiting := &pendingCharge{id: event.ID, charge: event.Charge, requestedAt: now, deadline: now.Add(event.Timeout)}
	c.chargeState.pending[c.chargeState.nextNumber] = waiting
	c.requestCharge(now, c.chargeState.nextNumber, waiting)
}

// requestCharge decides a charge, or sends it to the counting node of its account.
func (c *Core) requestCharge(now time.Time, number uint64, waiting *pendingCharge) {
	waiting.resendAt = now.Add(chargeResendInterval)
	waiting.redirects = 0
	node := c.countingNode(waiting.charge.account())
	if !c.config.IgnoreRedirects && waiting.unanswered%attemptsPerFallback == attemptsPerFallback-1 {
		// The node may have failed, and other nodes may have detected this, so that the
		// next one counts.
		node = c.countingNodeExcluding(waiting.charge.account(), node)
	}
	waiting.unanswered++
	waiting.target = node
	if node == c.self().ID {
		if c.canCount(now) {
			c.finishCharge(number, waiting, c.chargeState.decide(now, &waiting.charge))
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

// finishCharge passes a decision to the driver.
func (c *Core) finishCharge(number uint64, waiting *pendingCharge, decision tenant.Decision) {
	delete(c.chargeState.pending, number)
	status := ChargeRefused
	if decision.Granted {
		status = ChargeGranted
	}
	c.ready.Charged = append(c.ready.Charged, Charged{ID: waiting.id, Status: status, Owner: waiting.target, Decision: decision})
}

// stepChargeRefunded undoes a grant whose request did not run.
func (c *Core) stepChargeRefunded(event ChargeRefunded) {
	node := c.countingNode(event.Charge.account())
	if node == c.self().ID {
		c.chargeState.refund(&event.Charge)
		return
	}
	c.sendCharge(node, ChargeMessage{Refund: &event.Charge}, nil)
}

// stepChargeMessage processes a message about a charge.
func (c *Core) stepChargeMessage(now time.Time, from machine.Machine, received PeerMessage) {
	message := *received.Charge
	waiting := c.chargeState.pending[message.Number]
	switch {
	case message.Ask != nil:
		c.answerCharge(now, from, message)
	case message.Refund != nil:
		c.chargeState.refund(message.Refund)
	case waiting == nil:
		// The answer is too late: the counting node has counted the charge, but its request
		// does not run.
	case message.Answer != nil:
		c.finishCharge(message.Number, waiting, *message.Answer)
	default:
		c.redirectCharge(now, from, message, waiting)
	}
	if waiting != nil && received.Proof != nil {
		c.acceptFreshness(from, *received.Proof, waiting.requestedAt)
	}
}

// redirectCharge follows the view of a node that is not the counting node. After a node
// joins or leaves, the views of nodes differ for a while, and the requested node may be
// ahead. If the redirect fails, the charge is resent when that is due.
func (c *Core) redirectCharge(now time.Time, from machine.Machine, message ChargeMessage, waiting *pendingCharge) {
	if c.config.IgnoreRedirects || from.ID != waiting.target || message.Owner == "" || message.Owner == c.self().ID || waiting.redirects >= maxRedirects {
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

// answerCharge decides a charge of another node.
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
	decision := c.chargeState.decide(now, message.Ask)
	c.sendCharge(from.ID, ChargeMessage{Number: message.Number, Answer: &decision}, c.freshnessClaim(now, 0))
}

// countingNodeExcluding returns the node that counts an account if the excluded nodes have
// left.
func (c *Core) countingNodeExcluding(key account, excluded ...machine.ID) machine.ID {
	candidates := slices.DeleteFunc(c.chargeCandidates(), func(node ownership.Node) bool {
		return slices.Contains(excluded, machine.ID(node.ID))
	})
	return machine.ID(ownership.TopNode(accountRankKey(key), candidates))
}

// tickCharges resends unanswered charges, and ends those past their deadline as
// ChargeUnknown.
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
