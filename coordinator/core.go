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
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/tenant"
)

// Config sets up a Core.
type Config struct {
	Membership machine.Config
	Ledger     ledger.Config
	// Partitions is the number of partitions.
	Partitions int
	// Salt makes this process's epochs differ from those of other processes.
	Salt ownership.Salt
	// StartupDelay is how long after its start a node claims no partition and counts no
	// requests, so that it first discovers its peers.
	StartupDelay time.Duration
	// MinClaimInterval is the least time between two claims of one partition.
	MinClaimInterval time.Duration
	// StatusFanout bounds the number of peers that are notified at once of an urgent
	// change. All other statuses are piggybacked on the messages of the failure detector,
	// whose number per node does not depend on the size of the fleet.
	StatusFanout int
	// KnownNodesPeriod is the time between two statuses that list other nodes, and
	// KnownNodesPerStatus the number of nodes in such a list. It is small so that the
	// message fits into one packet.
	KnownNodesPeriod    time.Duration
	KnownNodesPerStatus int
	// HoldTimeout is how long a request is held for a takeover in progress.
	HoldTimeout time.Duration
	// StallTimeout is how long an append may go unanswered before turns that need the log
	// are refused.
	StallTimeout time.Duration
	// MinAppendInterval is the least time between the starts of two appends to one
	// partition. AbsenceProofDelay is how long a proof that a turn is not stored waits to
	// share an append with other records.
	MinAppendInterval time.Duration
	AbsenceProofDelay time.Duration
	// SkipClaimSearch leaves the turns of previous owners reserved until the time to settle
	// them is over, to measure what asking the nodes for them gains.
	SkipClaimSearch bool
	// SkipFormerState has owners that lost a partition keep its final state to themselves,
	// to measure what passing it on gains.
	SkipFormerState bool
	// SkipHandover claims partitions without requesting a handover from their owner, to
	// measure what clean handovers gain.
	SkipHandover bool
	// Tenants sets up the accounts that enforce the limits of tenants.
	Tenants tenant.Config
	// Quarantine sets up the tracking of requests that may end their replicas.
	Quarantine quarantine.Config
	// ColdReplicas sets up the accounts that limit the requests to cold replicas.
	ColdReplicas tenant.Config
	// CountLocally has each node count against an equal share of the limits, to measure
	// what one fleet-wide account gains.
	CountLocally bool
	// IgnoreRedirects has nodes select the counting node only by their own view, to measure
	// what following the redirects of other nodes gains.
	IgnoreRedirects bool
	// GrantFullLimits has nodes grant the full limits even if known but unreachable nodes
	// may be counting in another network partition, to show which guarantees that breaks.
	GrantFullLimits bool
	// DisableGathering has nodes of a large fleet receive loads in statuses only, to
	// measure what collectors gain.
	DisableGathering bool
	// Random selects the recipients of statuses, and makes all other random choices.
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
		Salt:                ownership.NewSalt(random.Uint64()),
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
		Quarantine:          quarantine.DefaultConfig(),
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
	// sortedNodes holds the nodes of the directory and this node, sorted by ID.
	sortedNodes []machine.Machine
	peers       map[machine.ID]peerState
	// owners holds the newest known owner record of each partition.
	owners []knownOwner
	// withoutStore holds the peers that, by their last status, cannot reach the store.
	withoutStore map[machine.ID]bool
	startedAt    time.Time
	listRead     bool
	leaving      bool
	// storeReachable reports whether this node reaches the store, and storeReachableSince
	// since when without interruption. lastStoreAnswer is when the store last answered, and
	// storeCallsFailing is set if calls have failed since then.
	storeReachable      bool
	storeCallsFailing   bool
	storeReachableSince time.Time
	lastStoreAnswer     time.Time
	loads               Loads
	nextKnownNodesAt    time.Time
	receiveTimes        receiveTimes
	ranking             ranking
	chargeState         chargeState
	quarantine          quarantineState
	freshness           freshness
	gatherer            *gather.Core
	ready               Ready
}

// New returns a core that knows no node but itself.
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
		quarantine:     newQuarantineState(&config),
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

// Step processes one event.
func (c *Core) Step(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
		c.tick(now)
	case NodeListRead:
		c.listRead = true
		c.addNodes(now, event.Nodes)
		c.ranking.checkedAt = time.Time{}
		c.updateRanking(now)
		c.tickSync(now)
	case NodesDiscovered:
		c.addNodes(now, event.Nodes)
	case StoreContact:
		c.stepStoreContact(now, event)
	case PeerReceived:
		c.stepPeer(now, event.Message)
	case RequestReceived:
		c.stepRequest(now, event)
	case TakeoverRead:
		c.stepTakeoverRead(now, event)
	case TakeoverEnded:
		c.stepTakenOver(now, event)
	case LogFull:
		c.stepLogFull(event)
	case Appended:
		c.stepAppended(now, event)
	case OwnerReported:
		c.mergeOwner(now, event.Owner)
	case OwnershipDenied:
		c.stepOwnershipDenied(event)
	case ChargeRequested:
		c.stepCharge(now, event)
	case FreshnessProven:
		c.stepFreshnessProven(event)
	case ChargeRefunded:
		c.stepChargeRefunded(event)
	case RunsReported:
		c.stepRunsReported(now, event)
	case RunRequested:
		c.stepRunRequested(now, event)
	case RequestReleased:
		c.stepRequestReleased(now, event)
	case RunsListed:
		c.stepRunsListed(now, event)
	case ClaimsListed:
		c.stepClaimsListed(now, event)
	case Leave:
		c.leave(now)
	case Loads:
		c.loads = event
		c.setRetention(event.RetainFor)
		c.gather(now)
	}
	c.collectReady(now)
}

// leave starts this node's planned stop.
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

// setRetention passes the retention time of programs to the ledgers.
func (c *Core) setRetention(retain time.Duration) {
	for _, p := range c.partitions {
		if p.state == stateServing {
			p.ledger.RetainFor(retain)
		}
	}
}

// Ready returns the output accumulated since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// tickPeriod is the longest time between two ticks.
const tickPeriod = 50 * time.Millisecond

// NextWake returns the latest time at which the next Tick is due.
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
	c.tickQuarantine(now)
	for _, p := range c.partitions {
		c.tickPartition(now, p)
	}
}

// collectReady moves the output of the components into that of the core.
func (c *Core) collectReady(now time.Time) {
	c.flushQuarantine(now)
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

// addNodes adds nodes to the directory.
func (c *Core) addNodes(now time.Time, nodes []machine.Machine) {
	var added []machine.Machine
	var restarted map[string]uint64
	for _, node := range nodes {
		if node.ID == c.self().ID || node.Address == "" {
			continue
		}
		known, found := c.directory[node.ID]
		if found && known.Incarnation >= node.Incarnation {
			continue
		}
		if found {
			if restarted == nil {
				restarted = make(map[string]uint64)
			}
			restarted[string(node.ID)] = node.Incarnation
		}
		node.Kind = machine.KindNode
		node.Status = machine.StatusLive
		c.directory[node.ID] = node
		c.addSorted(node)
		added = append(added, node)
	}
	if len(added) > 0 {
		c.membership.ObservePartial(now, added)
	}
	c.lapseLostTurns(now, restarted)
}

// addSorted inserts a node into sortedNodes, or replaces its entry.
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

// ownedPartitions returns the partitions that this node serves, with their epochs.
func (c *Core) ownedPartitions() map[int]ownership.Epoch {
	ownedPartitions := make(map[int]ownership.Epoch)
	for _, p := range c.partitions {
		if p.state == stateServing {
			ownedPartitions[p.index] = p.epoch
		}
	}
	return ownedPartitions
}

// Directory returns the known nodes including this one, sorted by ID, and whether this node
// has read the complete list. The caller must not change the slice.
func (c *Core) Directory() (nodes []machine.Machine, whole bool) { return c.sortedNodes, c.listRead }

// LiveCount returns the number of live nodes, including this one.
func (c *Core) LiveCount() int { return max(1, len(c.membership.Nodes())) }

// IsLive reports whether a node is considered live.
func (c *Core) IsLive(id machine.ID) bool {
	_, found := slices.BinarySearchFunc(c.membership.Nodes(), id, func(node machine.Machine, id machine.ID) int {
		return cmp.Compare(node.ID, id)
	})
	return found
}
