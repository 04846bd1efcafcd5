package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/membudget"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/retry"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
	"birchwood.example/birchwood/zone"
)

// Error is the class of this package's errors.
var Error = errs.Class("edge")

// Node is one node of the system. New creates it, Start makes it serve, and Stop ends it
// without cutting off requests.
type Node struct {
	settings Settings
	adapter  Adapter
	logger   *log.Logger
	self     machine.Machine

	routes routing.LatestTable
	config latestConfiguration
	// evacuations is this node's view of the evacuated zones.
	evacuations evacuations
	replicas    *replicas
	pool        *upstream.Pool
	// memory bounds the memory of the bodies of all requests under way.
	memory        *membudget.Budget
	callStats     *callStats
	turnEstimates *turnEstimates
	shares        *shares
	chains        *chains
	unsettled     *unsettledTurns
	// processes holds the doubts about the replicas' processes.
	processes *processes
	// suspects tracks requests that may end their replicas; nil if that is switched off.
	suspects *suspects
	// takeovers are the takeovers in progress at this node.
	takeovers *takeovers
	// space tracks how much the partitions occupy in the store.
	space   *space
	clients *ingress.Server
	control *control
	peers   *peers
	metrics *Metrics
	// waitQueue holds the requests that wait for capacity.
	waitQueue *waitQueue
	// scheduling holds the remaining-time estimates of programs.
	scheduling *scheduling
	// refusals spreads the times at which refused callers retry.
	refusals refusals
	// coldChargeCount numbers the charges for cold replicas, to give them unique ids.
	coldChargeCount atomic.Uint64
	// strippedFields are the header fields of clients that are not forwarded to replicas.
	strippedFields []string

	// randomMutex guards random, used for request handling, and adaptiveAppendTimeout,
	// which bounds each try of an append.
	randomMutex           sync.Mutex
	random                *rand.Rand
	adaptiveAppendTimeout retry.AdaptiveTimeout

	store          storeContact
	freshnessProof *freshnessProof
	// replicasAsOf is when the list of replicas was last equal to that of the store, in
	// nanoseconds since started.
	started      time.Time
	replicasAsOf atomic.Int64
	listPosition listPosition
	// recorded are the versions known to be recorded, and versionsRead reads them for requests.
	recorded     recordedVersions
	versionsRead *sharedRead[versionSet]
	// joinedRead reads the versions that joined since this node's list, for requests.
	joinedRead *sharedRead[versionSet]
	stopping   atomic.Bool
	durations  requestDurations
	// stop is the plan of a planned stop; nil before that.
	stop atomic.Pointer[stopPlan]
	// syncedConfiguration and syncedReplicas are set once the stream was read completely.
	syncedConfiguration atomic.Bool
	syncedReplicas      atomic.Bool
	// knowsMarked is set once this node knows the marked requests of the others.
	knowsMarked atomic.Bool
	// roles are the tasks that nodes perform for others in a large fleet.
	roles atomic.Pointer[coordinator.Roles]
	// following is set while this node follows another one, and readerAnsweredAt is when
	// that node answered last, in nanoseconds since started.
	following        atomic.Bool
	readerAnsweredAt atomic.Int64
	// holdsAllReplicas is set while this node holds all replicas that the store lists,
	// rather than a part of them.
	holdsAllReplicas atomic.Bool
	// readsWithoutProof counts the consecutive reads of the configuration that did not
	// yield a freshness proof in time.
	readsWithoutProof atomic.Int64
	// unusable are the entries of the list of replicas that are invalid.
	unusable unusableEntries
	// nodeListKnown is closed once this node has the list of nodes.
	nodeListKnown chan struct{}
	nodeListOnce  sync.Once
	// cancelWatch cancels the read by which a follower checks that the store can be
	// reached; nil while there is none.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// pendingReader is the reader whose first answer is awaited; nil while there is none.
	pendingReader atomic.Pointer[pendingReader]
	// liveNodes is the number of live nodes, including this one.
	liveNodes atomic.Int32
	// isolatedSince is since when the node has reached neither the store nor most of the
	// zones in its view; nil while it reaches them.
	isolatedSince atomic.Pointer[time.Time]

	ctx    context.Context
	cancel context.CancelFunc
	failed chan error
}

// The garbage collector trades memory for processor time: a node has little memory and a
// small heap, so collecting often costs little.
const (
	// heapLimitShare is the soft memory limit as a share of Settings.MemoryBytes.
	heapLimitShare = 0.7
	// gcPercent is how much the heap may grow before the next collection, in percent of
	// what the last one left.
	gcPercent = 25
)

// limitHeap has the garbage collector keep to a memory limit; 0 for none.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * heapLimitShare))
		debug.SetGCPercent(gcPercent)
	}
}

// New creates a node. It opens no sockets yet.
func New(settings Settings, adapter Adapter, logger *log.Logger) (*Node, error) {
	limitHeap(settings.MemoryBytes)
	stats, err := newCallStats()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	now := time.Now()
	seed := xxhash.Sum64String(settings.Node)
	random := rand.New(rand.NewPCG(seed, uint64(now.UnixNano())))
	node := &Node{
		settings: settings,
		adapter:  adapter,
		logger:   logger,
		self: machine.Machine{
			ID: machine.ID(settings.Node), Kind: machine.KindNode, Zone: zone.Name(settings.Zone),
			Address: settings.Peers, Status: machine.StatusLive, Incarnation: uint64(now.UnixNano()),
			Weight: settings.Cores * settings.LinkMegabits,
		},
		replicas:              newReplicas(&settings),
		pool:                  upstream.NewPool(upstream.DefaultConfig(adapter.Names)),
		processes:             newProcesses(),
		memory:                membudget.New(bodyMemory(settings)),
		callStats:             stats,
		durations:             newRequestDurations(),
		turnEstimates:         newTurnEstimates(),
		shares:                newShares(),
		chains:                newChains(settings.uses(CacheChains)),
		unsettled:             newUnsettledTurns(),
		takeovers:             newTakeovers(),
		space:                 newSpace(),
		scheduling:            newScheduling(),
		waitQueue:             newWaitQueue(&settings),
		metrics:               newMetrics(settings.LogLinesDropped),
		random:                random,
		adaptiveAppendTimeout: retry.AdaptiveTimeout{Minimum: appendTimeoutMin, Maximum: appendTimeout, Factor: appendFactor},
		store:                 storeContact{last: now},
		freshnessProof:        newFreshnessProof(now),
		started:               now,
		strippedFields:        fieldsToStrip(adapter.Names),
		failed:                make(chan error, 4),
		nodeListKnown:         make(chan struct{}),
	}
	if settings.uses(QuarantineRequests) {
		node.suspects = newSuspects(settings.Node, node.self.Incarnation)
	}
	node.wire()
	node.ctx, node.cancel = context.WithCancel(context.Background())
	coreRandom := rand.New(rand.NewPCG(seed+1, uint64(now.UnixNano())))
	core, err := coordinator.New(now, coreConfig(settings, node.self, coreRandom))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	node.peers = newPeers(node)
	node.control = newControl(node, core)
	node.clients = ingress.NewServer(ingress.Config{
		Handler: node.handle, Limits: node.limits, MaxConnections: maximumConnections(settings), Memory: node.memory,
		OnPanic: func(value any) { logger.Error().Any("panic", value).Msg("edge: request handler panicked") },
	})
	return node, nil
}

// wire connects parts that call the node.
func (n *Node) wire() {
	n.replicas.forget = n.replicaSucceeded
	n.versionsRead = newSharedRead(n.readVersionsInTime)
	n.joinedRead = newSharedRead(n.readJoinedVersions)
}

// replicaSucceeded drops what is kept of a replica's process in whose place another one is listed.
func (n *Node) replicaSucceeded(gone replica.Entry) {
	n.forgetReplica(gone)
	// The caller may hold locks that reports need.
	n.run(func(context.Context) { n.processGone(gone, "another process is listed") })
}

// replicaUnlisted drops what is kept of a replica's process that is no longer listed.
func (n *Node) replicaUnlisted(gone replica.Entry) {
	n.forgetReplica(gone)
	n.run(func(context.Context) { n.entryGone(gone) })
}

func (n *Node) forgetReplica(gone replica.Entry) {
	n.pool.RemoveTarget(targetOf(gone))
	n.processes.forget(gone.ID)
}

// The bodies of all requests under way, with those of their answers, may take up to a quarter of the
// memory: buffers grow by copies, and the collector frees them late.
const (
	bodyMemoryDivisor = 4
	defaultBodyMemory = 64 << 20
)

func bodyMemory(settings Settings) int64 {
	if settings.BodyMemoryBytes > 0 {
		return settings.BodyMemoryBytes
	}
	if settings.MemoryBytes == 0 {
		return defaultBodyMemory
	}
	return settings.MemoryBytes / bodyMemoryDivisor
}

// The clients' connections may take up to half of the memory.
const (
	connectionBytes           = 48 << 10
	connectionMemoryDivisor   = 2
	defaultMaximumConnections = 2048
)

func maximumConnections(settings Settings) int {
	if settings.MemoryBytes == 0 {
		return defaultMaximumConnections
	}
	return int(settings.MemoryBytes / connectionMemoryDivisor / connectionBytes)
}

// Programs may use a part of their budgets before the log has a record of them, so that
// they can begin and end while the store accepts no records.
const (
	unrecordedShare = 1.0 / 3
	// unrecordedMinBudget is the lowest budget of which that share may be used. With a
	// smaller one, a program uses one turn: the share counts as used after the loss of an
	// owner, also by programs that start later, and the rest would not hold them.
	unrecordedMinBudget = 6000
	// afterFailureShare is the share that remains if the previous owner failed, for budgets
	// of at least afterFailureMinBudget tokens, the usual maximum of ten turns. Two
	// failures in a row leave five twelfths of such a budget.
	afterFailureShare     = 1.0 / 4
	afterFailureMinBudget = 6000
	ownershipProofTTL     = 8 * time.Second
)

// coreConfig returns the configuration of the coordinator, within the limits of the store.
func coreConfig(settings Settings, self machine.Machine, random *rand.Rand) coordinator.Config {
	config := coordinator.DefaultConfig(self, settings.Partitions, random)
	if settings.uses(BeginUnrecorded) {
		config.Ledger.UnrecordedShare, config.Ledger.UnrecordedMinBudget = unrecordedShare, unrecordedMinBudget
		config.Ledger.OwnershipProofTTL = ownershipProofTTL
		if settings.uses(BeginAfterFailure) {
			config.Ledger.AfterFailureShare, config.Ledger.AfterFailureMinBudget = afterFailureShare, afterFailureMinBudget
		}
	}
	if !settings.uses(MarkAhead) {
		config.Ledger.MarkAheadShare, config.Ledger.MarkAheadTurns = 0, 0
	}
	config.Ledger.ExtraTurnAfterFailure = settings.uses(GrantTurnAfterFailure)
	config.SkipClaimSearch = !settings.uses(AskForTurns)
	config.SkipFormerState = !settings.uses(ReportFormerState)
	config.SkipHandover = !settings.uses(HandOver)
	if settings.Quota.Window > 0 {
		config.Tenants = settings.Quota
	}
	if settings.Quarantine.Limit > 0 {
		config.Quarantine = settings.Quarantine
	}
	if settings.ColdReplicas.Window > 0 {
		config.ColdReplicas = settings.ColdReplicas
	}
	config.Tenants.ArrivalOrder = !settings.uses(PreferStartedPrograms)
	config.Tenants.RetriesAsNew = !settings.uses(RankRetriesLast)
	config.CountLocally = !settings.uses(CountCentrally)
	config.IgnoreRedirects = !settings.uses(RedirectCharges)
	config.DisableGathering = !settings.uses(GatherLoads) || !settings.uses(CountPeerLoads)
	if settings.RecordBytes > 0 {
		config.Ledger.RecordBytes = min(config.Ledger.RecordBytes, settings.RecordBytes/2)
	}
	if settings.AppendBytes > 0 {
		config.Ledger.BatchBytes = min(config.Ledger.BatchBytes, settings.AppendBytes/2)
	}
	return config
}

// limits returns the limits in force, or defaults before any configuration is known.
func (n *Node) limits() routing.Limits {
	if table := n.routes.Current(); table != nil {
		return table.Limits
	}
	return routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// draw returns a uniformly distributed random number in [0, 1).
func (n *Node) draw() float64 {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	return n.random.Float64()
}

// Start opens the listeners and begins to serve.
func (n *Node) Start() error {
	peerListener, err := net.Listen("tcp", n.settings.Peers)
	if err != nil {
		return Error.Wrap(err)
	}
	readyListener, err := net.Listen("tcp", n.settings.Readiness)
	if err != nil {
		return Error.Wrap(errors.Join(err, peerListener.Close()))
	}
	clientListener, err := net.Listen("tcp", n.settings.Clients)
	if err != nil {
		return Error.Wrap(errors.Join(err, peerListener.Close(), readyListener.Close()))
	}
	if n.peers.datagrams, err = listenDatagrams(n); err != nil {
		return Error.Wrap(errors.Join(err, peerListener.Close(), readyListener.Close(), clientListener.Close()))
	}
	n.serve("peers", func() error { return n.peers.serve(peerListener) })
	n.serve("datagrams", n.peers.datagrams.serve)
	n.serve("readiness", func() error { return n.serveReadiness(readyListener) })
	n.serve("clients", func() error { return n.clients.Serve(clientListener) })
	n.startMetrics()
	n.run(n.control.loop)
	n.run(n.followConfiguration)
	n.run(n.followReplicas)
	n.run(n.followNodes)
	n.run(n.joinThroughPeers)
	n.run(n.followPeers)
	n.run(n.closeUnusable)
	n.run(n.keepVersions)
	n.logger.Info().Str("zone", n.settings.Zone).Int("partitions", n.settings.Partitions).Msg("edge: started")
	return nil
}

// serve runs a server until its listener is closed.
func (n *Node) serve(name string, serve func() error) {
	go func() {
		if err := serve(); err != nil && !n.stopping.Load() {
			n.failed <- Error.New("serving %s ended: %w", name, err)
		}
	}()
}

// run starts a goroutine whose context ends with the node.
func (n *Node) run(loop func(ctx context.Context)) {
	go loop(n.ctx)
}

// Failed returns a channel that yields the error of a server that ended unexpectedly.
func (n *Node) Failed() <-chan error { return n.failed }

// Kill ends the node at once, like a crash of its process.
func (n *Node) Kill() {
	n.stopping.Store(true)
	n.cancel()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.clients.Shutdown(ended)
}

// Ready reports whether the node can serve clients.
func (n *Node) Ready() bool { return n.ready() }
