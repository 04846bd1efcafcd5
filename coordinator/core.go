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
	Settle time.Duration
	// ClaimPause is the least time between two claims of one partition.
	ClaimPause time.Duration
	// StatusFanout bounds the peers that are told at once of a change that
	// cannot wait. All other statuses travel on the messages of the failure
	// detector, whose number does not depend on the number of nodes.
	StatusFanout int
	// KnownPeriod is the time between two statuses that name other nodes, and
	// KnownPerStatus how many of them one names: few, so that the message with them
	// fits into one packet.
	KnownPeriod    time.Duration
	KnownPerStatus int
	// HoldFor is how long a request waits for a takeover under way.
	HoldFor time.Duration
	// StallAfter is how long an append may go unanswered before turns that
	// need the log are refused.
	StallAfter time.Duration
	// AppendPause is the least time between the beginnings of two appends to one
	// partition, and ProofWait how long a proof that a turn is not kept waits for an
	// append that is needed anyway.
	AppendPause time.Duration
	ProofWait   time.Duration
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
	ShareWhole bool
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
		Membership:     membership,
		Ledger:         ledger.DefaultConfig(),
		Partitions:     partitions,
		Salt:           ownership.SaltOf(random.Uint64()),
		Settle:         350 * time.Millisecond,
		ClaimPause:     time.Second,
		StatusFanout:   12,
		KnownPeriod:    time.Second,
		KnownPerStatus: 4,
		HoldFor:        800 * time.Millisecond,
		StallAfter:     700 * time.Millisecond,
		AppendPause:    40 * time.Millisecond,
		ProofWait:      150 * time.Millisecond,
		Tenants:        tenant.DefaultConfig(),
		ColdReplicas:   tenant.ColdReplicaConfig(),
		Random:         random,
	}
}

// Core is one node's control state. It is not safe for concurrent use.
type Core struct {
	config     Config
	membership *machine.Membership
	partitions []*partition
	directory  map[machine.ID]machine.Machine
	// listing is the directory and this node, sorted by id.
	listing []machine.Machine
	peers   map[machine.ID]peerState
	// owners are the newest records of who serves each partition.
	owners []ownerRecord
	// unreaching are the peers that last counted as not reaching the store.
	unreaching map[machine.ID]bool
	started    time.Time
	listed     bool
	leaving    bool
	// reaches says whether this node reaches the store, reachedSince since
	// when without a break, failing whether calls have failed since it answered last,
	// and lastContact when that was.
	reaches      bool
	failing      bool
	reachedSince time.Time
	lastContact  time.Time
	loads        Loads
	nextKnown    time.Time
	hearing      hearing
	ranking      ranking
	charging     charging
	proving      proving
	gathering    *gather.Core
	ready        Ready
}

// New returns a core that knows of no node but itself.
func New(now time.Time, config Config) (*Core, error) {
	membership, err := machine.NewMembership(config.Membership)
	if err != nil {
		return nil, err
	}
	core := &Core{
		config:     config,
		membership: membership,
		directory:  make(map[machine.ID]machine.Machine),
		peers:      make(map[machine.ID]peerState),
		unreaching: make(map[machine.ID]bool),
		started:    now,
		reaches:    true,
		charging:   newCharging(now, &config),
		proving:    proving{number: firstNumber(config.Random)},
		gathering:  gather.New(uint64(now.UnixMilli())),
	}
	core.list(config.Membership.Self)
	for index := range config.Partitions {
		core.partitions = append(core.partitions, &partition{index: index})
	}
	core.owners = make([]ownerRecord, config.Partitions)
	core.rank(now)
	return core, nil
}

// Step takes in one event.
func (c *Core) Step(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
		c.tick(now)
	case Listed:
		c.listed = true
		c.learn(now, event.Nodes)
		c.ranking.lookedAt = time.Time{}
		c.rank(now)
	case Learned:
		c.learn(now, event.Nodes)
	case Contact:
		c.noteContact(now, event)
	case PeerReceived:
		c.stepPeer(now, event.Message)
	case Requested:
		c.stepRequest(now, event)
	case TakeoverRead:
		c.stepTakeoverRead(now, event)
	case TakenOver:
		c.stepTakenOver(now, event)
	case LogFull:
		c.noteFull(event)
	case Appended:
		c.stepAppended(now, event)
	case OwnerHeard:
		c.takeOwner(now, event.Owner)
	case Disowned:
		c.disown(event)
	case ChargeRequested:
		c.stepCharge(now, event)
	case ProofNoted:
		c.noteProof(event)
	case ChargeReturned:
		c.stepReturn(event)
	case Leave:
		c.leave(now)
	case Loads:
		c.loads = event
		c.retainFor(event.RetainFor)
		c.gather(now)
	}
	c.collect(now)
}

// leave begins this node's planned stop.
func (c *Core) leave(now time.Time) {
	c.leaving = true
	c.membership.Leave(now)
	for _, one := range c.partitions {
		if one.state == stateServing {
			one.ledger.Close(now)
		}
	}
	c.sendStatus(now)
}

// retainFor tells the ledgers how long programs are kept.
func (c *Core) retainFor(retain time.Duration) {
	for _, one := range c.partitions {
		if one.state == stateServing {
			one.ledger.RetainFor(retain)
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
	c.rank(now)
	c.tickCharges(now)
	c.tickProof(now)
	for _, one := range c.partitions {
		c.tickPartition(now, one)
	}
}

// collect turns what the parts have ready into the core's own.
func (c *Core) collect(now time.Time) {
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
	for _, one := range c.partitions {
		c.collectAppend(now, one)
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
func (c *Core) learn(now time.Time, nodes []machine.Machine) {
	var fresh []machine.Machine
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
		c.list(node)
		fresh = append(fresh, node)
	}
	if len(fresh) > 0 {
		c.membership.ObserveSome(now, fresh)
	}
}

// list puts a node into the sorted listing, or renews its entry there.
func (c *Core) list(node machine.Machine) {
	place, found := slices.BinarySearchFunc(c.listing, node.ID, func(listed machine.Machine, id machine.ID) int {
		return cmp.Compare(listed.ID, id)
	})
	if found {
		c.listing[place] = node
		return
	}
	c.listing = slices.Insert(c.listing, place, node)
}

// owned returns the partitions that this node serves.
func (c *Core) owned() map[int]ownership.Epoch {
	owned := make(map[int]ownership.Epoch)
	for _, one := range c.partitions {
		if one.state == stateServing {
			owned[one.index] = one.epoch
		}
	}
	return owned
}

// Directory returns the nodes that this one knows of, itself included, sorted by id, and
// whether it has read the whole list of them. The caller must not change the slice.
func (c *Core) Directory() (nodes []machine.Machine, whole bool) { return c.listing, c.listed }

// LiveCount returns how many nodes are live, this one included.
func (c *Core) LiveCount() int { return max(1, len(c.membership.Nodes())) }

// Lives reports whether a node counts as live.
func (c *Core) Lives(id machine.ID) bool {
	_, found := slices.BinarySearchFunc(c.membership.Nodes(), id, func(node machine.Machine, id machine.ID) int {
		return cmp.Compare(node.ID, id)
	})
	return found
}
