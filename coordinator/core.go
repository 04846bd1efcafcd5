package coordinator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/tenant"
)

// Config sets up a Core.
type Config struct {
	Membership machine.Config
	Ledger     ledger.Config
	// Partitions is how many partitions there are.
	Partitions int
	// Salt is this process's part of its epochs.
	Salt ownership.Salt
	// Settle is how long after its start a node claims nothing and counts for no
	// tenant, so that it knows its peers.
	StartupDelay time.Duration
	// ClaimPause is the least time between two claims of one partition.
	MinClaimInterval time.Duration
	// StatusFanout bounds the peers that are told at once of a change that
	// cannot wait. All other statuses travel on the messages of the failure
	// detector, whose number does not depend on the number of nodes.
	StatusFanout int
	// KnownPeriod is the time between two statuses that name other nodes, and
	// KnownPerStatus how many of them one names: few, so that the message with them
	// fits into one packet.
	KnownNodesPeriod    time.Duration
	KnownNodesPerStatus int
	// HoldFor is how long a request waits for a takeover under way.
	HoldTimeout time.Duration
	// StallAfter is how long an append may go unanswered before turns that
	// need the log are refused.
	StallTimeout time.Duration
	// AppendPause is the least time between the beginnings of two appends to one
	// partition, and ProofWait how long a proof that a turn is not kept waits for an
	// append that is needed anyway.
	MinAppendInterval time.Duration
	AbsenceProofDelay time.Duration
	// ClaimWithoutAsking takes partitions over without asking their owner first,
	// to measure what a hand-over in order is worth.
	ClaimWithoutAsking bool
	// Tenants sets up the accounts by which the limits of tenants are kept.
	Tenants tenant.Config
	// ColdReplicas sets up the accounts by which the requests to cold replicas are
	// counted.
	ColdReplicas tenant.Config
	// CountAlone has each node count to its own part of the limits, alike for all
	// nodes, to measure what one account for the fleet is worth.
	CountAlone bool
	// AskOwnView has nodes ask for charges by their own view of who counts alone, to
	// measure what it is worth to follow that of the nodes asked.
	AskOwnView bool
	// ShareWhole has nodes grant the whole of the limits though others that they
	// know of may count behind a cut, to show what that would break.
	GrantFullLimits bool
	// GatherNothing leaves nodes of a large fleet to hear loads by statuses alone, to
	// measure what collectors are worth.
	GatherNothing bool
	// Random picks the peers of a status.
	Random *rand.Rand
}

// DefaultConfig returns the settings used in production.
func DefaultConfig(self machine.Machine, partitions int, random *rand.Rand) Config {
	membership := machine.DefaultConfig(self, random)
	membership.ProbePeriod = 200 * time.Millisecond
	membership.ProbeTimeout = 100 * time.Millisecond
	membership.SuspectTimeout = 250 * time.Millisecond
	membership.GossipPeriod = 100 * time.Millisecond
	membership.DeadProbePeriod = time.Second
	membership.ViewPeriod = 50 * time.Millisecond
	membership.ListTimeout = time.Hour
	membership.ProbesPerPeriod = 2
	membership.MaximumHealthScore = 4
	return Config{
		Membership:          membership,
		Ledger:              ledger.DefaultConfig(),
		Partitions:          partitions,
		Salt:                ownership.SaltOf(random.Uint64()),
		StartupDelay:        350 * time.Millisecond,
		MinClaimInterval:    time.Second,
		StatusFanout:        12,
		KnownNodesPeriod:    time.Second,
		KnownNodesPerStatus: 4,
		HoldTimeout:         800 * time.Millisecond,
		StallTimeout:        700 * time.Millisecond,
		MinAppendInterval:   40 * time.Millisecond,
		AbsenceProofDelay:   150 * time.Millisecond,
		Tenants:             tenant.DefaultConfig(),
		ColdReplicas:        tenant.ColdReplicaConfig(),
		Random:              random,
	}
}

// Core is one node's control state. It is not safe for concurrent use.
type Core struct {
	config     Config
	membership *machine.Membership
	partitions []*partition
	directory  map[machine.ID]machine.Machine
	// listing is the directory and this node, sorted by id.
	sortedNodes []machine.Machine
	peers       map[machine.ID]peerState
	// owners are the newest records of who serves each partition.
	owners []knownOwner
	// unreaching are the peers that last counted as not reaching the store.
	withoutStore map[machine.ID]bool
	startedAt    time.Time
	listRead     bool
	leaving      bool
	// reaches says whether this node reaches the store, reachedSince since
	// when without a break, failing whether calls have failed since it answered last,
	// and lastContact when that was.
	storeReachable      bool
	storeCallsFailing   bool
	storeReachableSince time.Time
	lastStoreAnswer     time.Time
	loads               Loads
	nextKnownNodesAt    time.Time
	receiveTimes        receiveTimes
	ranking             ranking
	chargeState         chargeState
	freshness           freshness
	gatherer            *gather.Core
	ready               Ready
}

// New returns a core that knows of no node but itself.
func New(now time.Time, config Config) (*Core, error) {
	membership, err := machine.NewMembership(config.Membership)
	if err != nil {
		return nil, err
	}
	core := &Core{
		config:         config,
		membership:     membership,
		directory:      make(map[machine.ID]machine.Machine),
		peers:          make(map[machine.ID]peerState),
		withoutStore:   make(map[machine.ID]bool),
		startedAt:      now,
		storeReachable: true,
		chargeState:    newChargeState(now, &config),
		freshness:      freshness{queryNumber: firstNumber(config.Random)},
		gatherer:       gather.New(uint64(now.UnixMilli())),
	}
	core.addSorted(config.Membership.Self)
	for index := range config.Partitions {
		core.partitions = append(core.partitions, &partition{index: index})
	}
	core.owners = make([]knownOwner, config.Partitions)
	core.updateRanking(now)
	return core, nil
}

// Step takes in one event.
func (c *Core) Step(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
		c.tick(now)
	case Listed:
		c.listRead = true
		c.addNodes(now, event.Nodes)
		c.ranking.checkedAt = time.Time{}
		c.updateRanking(now)
	case Learned:
		c.addNodes(now, event.Nodes)
	case Contact:
		c.stepStoreContact(now, event)
	case PeerReceived:
		c.stepPeer(now, event.Message)
	case Requested:
		c.stepRequest(now, event)
	case TakeoverRead:
		c.stepTakeoverRead(now, event)
	case TakenOver:
		c.stepTakenOver(now, event)
	case LogFull:
		c.stepLogFull(event)
	case Appended:
		c.stepAppended(now, event)
	case OwnerHeard:
		c.mergeOwner(now, event.Owner)
	case Disowned:
		c.stepOwnershipDenied(event)
	case ChargeRequested:
		c.stepCharge(now, event)
	case ProofNoted:
		c.stepFreshnessProven(event)
	case ChargeReturned:
		c.stepChargeRefunded(event)
	case Leave:
		c.leave(now)
	case Loads:
		c.loads = event
		c.setRetention(event.RetainFor)
		c.gather(now)
	}
	c.collectReady(now)
}

// leave begins this node's planned stop.
func (c *Core) leave(now time.Time) {
	c.leaving = true
	c.membership.Leave(now)
	for _, p := range c.partitions {
		if p.state == stateServing {
			p.ledger.Close(now)
		}
	}
	c.sendStatus(now)
}

// retainFor tells the ledgers how long programs are kept.
func (c *Core) setRetention(retain time.Duration) {
	for _, p := range c.partitions {
		if p.state == stateServing {
			p.ledger.RetainFor(retain)
		}
	}
}

// Ready returns what has accumulated since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// tickPeriod is the longest time between two ticks.
const tickPeriod = 50 * time.Millisecond

// NextWake returns when a Tick is due at the latest.
func (c *Core) NextWake(now time.Time) time.Time {
	wake := now.Add(tickPeriod)
	if due := c.membership.NextWake(); due.Before(wake) {
		return due
	}
	return wake
}

func (c *Core) tick(now time.Time) {
	c.membership.Tick(now)
	c.updateRanking(now)
	c.tickCharges(now)
	c.tickFreshness(now)
	for _, p := range c.partitions {
		c.tickPartition(now, p)
	}
}

// collect turns what the parts have ready into the core's own.
func (c *Core) collectReady(now time.Time) {
	for _, outbound := range c.membership.Ready().Messages {
		target, known := c.membership.Lookup(outbound.To)
		if !known {
			continue
		}
		message := outbound.Message
		c.ready.Messages = append(c.ready.Messages, Outbound{
			To: target, Message: PeerMessage{From: c.self(), Membership: &message, Status: c.status(now)},
		})
	}
	for _, p := range c.partitions {
		c.collectAppend(now, p)
	}
}

func (c *Core) self() machine.Machine {
	self := c.config.Membership.Self
	if c.leaving {
		self.Status = machine.StatusLeaving
	}
	return self
}

// learn adds nodes to the directory.
func (c *Core) addNodes(now time.Time, nodes []machine.Machine) {
	var added []machine.Machine
	for _, node := range nodes {
		if node.ID == c.self().ID || node.Address == "" {
			continue
		}
		known, found := c.directory[node.ID]
		if found && known.Incarnation >= node.Incarnation {
			continue
		}
		node.Kind = machine.KindNode
		node.Status = machine.StatusLive
		c.directory[node.ID] = node
		c.addSorted(node)
		added = append(added, node)
	}
	if len(added) > 0 {
		c.membership.ObserveSome(now, added)
	}
}

// list puts a node into the sorted listing, or renews its entry there.
func (c *Core) addSorted(node machine.Machine) {
	index, found := slices.BinarySearchFunc(c.sortedNodes, node.ID, func(listed machine.Machine, id machine.ID) int {
		return cmp.Compare(listed.ID, id)
	})
	if found {
		c.sortedNodes[index] = node
		return
	}
	c.sortedNodes = slices.Insert(c.sortedNodes, index, node)
}

// owned returns the partitions that this node serves.
func (c *Core) ownedPartitions() map[int]ownership.Epoch {
	ownedPartitions := make(map[int]ownership.Epoch)
	for _, p := range c.partitions {
		if p.state == stateServing {
			ownedPartitions[p.index] = p.epoch
		}
	}
	return ownedPartitions
}

// Directory returns the nodes that this one knows of, itself included, sorted by id, and
// whether it has read the whole list of them. The caller must not change the slice.
func (c *Core) Directory() (nodes []machine.Machine, whole bool) { return c.sortedNodes, c.listRead }

// LiveCount returns how many nodes are live, this one included.
func (c *Core) LiveCount() int { return max(1, len(c.membership.Nodes())) }

// Lives reports whether a node counts as live.
func (c *Core) Lives(id machine.ID) bool {
	_, found := slices.BinarySearchFunc(c.membership.Nodes(), id, func(node machine.Machine, id machine.ID) int {
		return cmp.Compare(node.ID, id)
	})
	return found
}
