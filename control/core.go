package control

import (
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// Core is the control state of one node. It is not safe for concurrent use: one
// goroutine owns it, passes it events and performs its actions.
type Core struct {
	config     Config
	membership *machine.Membership
	follower   *contract.Follower
	mirrors    *partition.MirrorStore

	// partitions holds the partitions that this node owns, takes over or is
	// about to hand over.
	partitions map[partition.ID]*ownedPartition
	// ownerHints holds the last known owner of each partition.
	ownerHints map[partition.ID]machine.ID
	// hintExpiry holds the expiry times of hints that rest on the view alone.
	hintExpiry map[partition.ID]time.Time
	// knownPartitions lists all partitions that can hold programs, sorted.
	knownPartitions []partition.ID
	// nodes lists the nodes that are not known to be dead, including leaving ones.
	nodes []machine.Machine

	backendManager backendManager
	delayed        delayedEffects
	parked         []parkedRequest
	actions        []Action
	// unsent holds attempts that ended before they were sent.
	unsent []AttemptEnded

	nextListAt time.Time
	// listed is set once the machine list has settled; see settleList.
	listed          bool
	lastListedNodes []machine.ID
	stopping        bool
	drainDeadline   time.Time
	stopped         bool
	// routingChanged is set until RoutingChanged is called.
	routingChanged bool
}

// mirrorMessageBytes limits the entries in one answer of a mirror.
const mirrorMessageBytes = 1 << 20

// New returns the Core of a node that has just started and has no state yet.
func New(config Config) (*Core, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	membership, err := machine.NewMembership(config.Membership)
	if err != nil {
		return nil, err
	}
	follower, err := contract.NewFollower(config.Follower)
	if err != nil {
		return nil, err
	}
	mirrors, err := partition.NewMirrorStore(partition.MirrorStoreConfig{
		Instance:            config.Writer,
		MaximumBytes:        config.MirrorBytes,
		MaximumMessageBytes: mirrorMessageBytes,
	})
	if err != nil {
		return nil, err
	}
	core := &Core{
		config:         config,
		membership:     membership,
		follower:       follower,
		mirrors:        mirrors,
		partitions:     make(map[partition.ID]*ownedPartition),
		ownerHints:     make(map[partition.ID]machine.ID),
		hintExpiry:     make(map[partition.ID]time.Time),
		backendManager: newBackendManager(config),
	}
	return core, nil
}

// Step processes one event at the given time. Ready then returns the resulting
// actions.
func (c *Core) Step(now time.Time, event Event) {
	switch event := event.(type) {
	case Tick:
	case MessageReceived:
		c.stepMessage(now, event.Message)
	case MachinesListed:
		c.stepMachines(now, event)
	case StreamAppended:
		c.stepReplica(now, event.Partition, event.Result)
	case StreamRead:
		c.stepReplica(now, event.Partition, event.Result)
	case SettingsRead:
		c.follower.Step(now, event.Result)
	case SettingsFetched:
		c.stepSettingsFetched(now, event)
	case SettingsAppended:
		c.follower.ObserveRevision(now, event.Revision)
		c.announceSettings(now)
	case RequestReceived:
		c.stepRequest(now, event.Handle, event.Request)
	case RequestAbandoned:
		c.abandon(event.Handle)
	case AttemptEnded:
		c.stepAttemptEnded(now, event)
	case LookupReturned:
		c.stepLookup(now, event.Result)
	case BackendObserved:
		c.stepBackendObserved(now, event)
	case PrefixesListed:
		c.stepPrefixesListed(now, event)
	case PrefixReleased:
		c.backendManager.released(event)
	case LossAccepted:
		c.acceptLoss(now, event.Partition)
	case DrainRequested:
		c.requestDrain(now, event.Node)
	case StopRequested:
		c.requestStop(now)
	}
	c.advance(now)
}

// Ready returns the pending actions in order and clears them.
func (c *Core) Ready() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// emit queues an action for the driver.
func (c *Core) emit(action Action) {
	c.actions = append(c.actions, action)
}

// advance runs the timers that are due, then passes the results of each part to
// the parts that depend on it until nothing changes any more.
func (c *Core) advance(now time.Time) {
	c.tickTimers(now)
	for {
		progress := c.advanceMembership(now)
		progress = c.advanceSettings(now) || progress
		progress = c.advancePartitions(now) || progress
		progress = c.advanceSchedule(now) || progress
		progress = c.endUnsent(now) || progress
		if !progress {
			break
		}
	}
	c.finishStop(now)
}

// tickTimers runs all timers that are due.
func (c *Core) tickTimers(now time.Time) {
	if !now.Before(c.nextListAt) {
		c.nextListAt = now.Add(c.config.ListPeriod)
		c.emit(ListMachines{Self: c.self()})
	}
	c.membership.Tick(now)
	c.follower.Tick(now)
	for _, owned := range c.sortedPartitions() {
		c.tickPartition(now, owned)
	}
	c.releaseDelayed(now)
	c.expireHints(now)
	c.expireParked(now)
	c.tickBackends(now)
}

// NextWake returns when a Tick is needed if no other event comes first.
func (c *Core) NextWake() time.Time {
	wake := c.nextListAt
	earliest(&wake, c.membership.NextWake())
	earliest(&wake, c.follower.NextWake())
	earliest(&wake, c.config.Policy.NextWake())
	earliest(&wake, c.delayed.nextDue())
	earliest(&wake, c.backendManager.nextWake())
	for _, owned := range c.partitions {
		earliest(&wake, owned.replica.NextWake())
		if owned.acquired {
			earliest(&wake, owned.store.NextWake())
		}
	}
	for _, request := range c.parked {
		earliest(&wake, request.until)
	}
	for _, until := range c.hintExpiry {
		earliest(&wake, until)
	}
	if c.stopping && !c.stopped {
		earliest(&wake, c.drainDeadline)
	}
	return wake
}

// earliest sets wake to candidate if candidate is earlier, unless candidate is
// the zero time.
func earliest(wake *time.Time, candidate time.Time) {
	if candidate.IsZero() {
		return
	}
	if wake.IsZero() || candidate.Before(*wake) {
		*wake = candidate
	}
}

// self returns this node's entry for the machine list.
func (c *Core) self() machine.Machine {
	self := c.config.Self
	self.Status = machine.StatusLive
	if c.stopping {
		self.Status = machine.StatusLeaving
	}
	return self
}

// Tree returns the settings in force on this node.
func (c *Core) Tree() *contract.Tree { return c.follower.Tree() }

// Freshness reports whether the settings are recent enough for new work.
func (c *Core) Freshness(now time.Time) contract.Freshness { return c.follower.Freshness(now) }

// SettingsOfPeers returns the settings state of every node, as last reported to
// this node.
func (c *Core) SettingsOfPeers(now time.Time) []contract.PeerSettings { return c.follower.Peers(now) }

// Machines returns all machines known to this node, for operators.
func (c *Core) Machines() []machine.Machine { return c.membership.All() }

// Owned describes the partitions that this node owns or takes over, for
// operators.
func (c *Core) Owned() []PartitionStatus {
	var statuses []PartitionStatus
	for _, owned := range c.sortedPartitions() {
		statuses = append(statuses, owned.status())
	}
	return statuses
}

// storeConfig returns the configuration of one partition's program store.
func (c *Core) storeConfig() program.Config {
	config := c.config.Store
	config.Random = c.config.Random
	return config
}
