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
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/retry"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
	"birchwood.example/birchwood/zone"
)

// Error is the class of this package's errors.
var Error = errs.Class("edge")

// Node is one node of the system. New builds it, Start has it serve, and Stop
// ends it without cutting a request.
type Node struct {
	settings Settings
	adapter  Adapter
	logger   *log.Logger
	self     machine.Machine

	routes routing.LatestTable
	config latestConfiguration
	// evacuations is what this node knows of evacuated zones.
	evacuations   evacuations
	replicas      *replicas
	pool          *upstream.Pool
	callStats     *callStats
	turnEstimates *turnEstimates
	shares        *shares
	chains        *chains
	// takeovers are those under way here.
	takeovers *takeovers
	// space is what the partitions take in the store.
	space   *space
	clients *ingress.Server
	control *control
	peers   *peers
	metrics *Metrics
	// waiting are the requests that wait for room.
	waitQueue *waitQueue
	// standings know how much longer programs take.
	scheduling *scheduling
	// returns spreads the times at which refused callers come back.
	refusals refusals
	// coldOffers counts the offers to cold replicas, for their ids.
	coldOffers atomic.Uint64
	// withheld are the fields of clients that no replica gets.
	strippedFields []string

	// randomMutex guards random, which draws for traffic, and patience, which
	// bounds the appends.
	randomMutex           sync.Mutex
	random                *rand.Rand
	adaptiveAppendTimeout retry.AdaptiveTimeout

	store          storeContact
	freshnessProof *freshnessProof
	// listedAt is when the list of replicas was last that of the store, in
	// nanoseconds since started.
	started      time.Time
	replicasAsOf atomic.Int64
	stopping     atomic.Bool
	// The streams that were read whole.
	syncedConfiguration atomic.Bool
	syncedReplicas      atomic.Bool
	// roles are what nodes do for others in a large fleet.
	roles atomic.Pointer[coordinator.Roles]
	// following is set while this node follows another one, and relayedAt is when that
	// one answered last, in nanoseconds since started.
	following        atomic.Bool
	readerAnsweredAt atomic.Int64
	// holdsAll says that this node holds all replicas that the store lists, and not a
	// part of them.
	holdsAllReplicas atomic.Bool
	// unproven counts the reads in a row that brought no proof in time.
	readsWithoutProof atomic.Int64
	// unusable are the entries of the list that name no replica to use.
	unusable unusableEntries
	// listed is closed once this node has the list of nodes.
	nodeListKnown chan struct{}
	nodeListOnce  sync.Once
	// watching ends the read by which a follower notes that the store is reached; nil
	// while there is none.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// askedReader is the reader whose first answer is waited for; nil while none is.
	pendingReader atomic.Pointer[pendingReader]
	// liveNodes is how many nodes are live, this one included.
	liveNodes atomic.Int32
	// isolatedSince is since when the node has reached neither the store nor most of
	// the zones it knows; nil while it does.
	isolatedSince atomic.Pointer[time.Time]

	ctx    context.Context
	cancel context.CancelFunc
	failed chan error
}

// A node's memory is dear and its heap small, so that the collector costs little.
const (
	// memoryShare is the share of the memory bound that the heap may take before
	// the collector works harder.
	heapLimitShare = 0.7
	// heapGrowth is how much the heap may grow before a collection, in
	// hundredths of what the last one left.
	gcPercent = 25
)

// New builds a node. It opens nothing yet.
func New(settings Settings, adapter Adapter, logger *log.Logger) (*Node, error) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * heapLimitShare))
		debug.SetGCPercent(gcPercent)
	}
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
		callStats:             stats,
		turnEstimates:         newTurnEstimates(),
		shares:                newShares(),
		chains:                newChains(settings.uses(CacheChains)),
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
	node.replicas.forget = node.pool.Forget
	node.ctx, node.cancel = context.WithCancel(context.Background())
	coreRandom := rand.New(rand.NewPCG(seed+1, uint64(now.UnixNano())))
	core, err := coordinator.New(now, coreConfig(settings, node.self, coreRandom))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	node.peers = newPeers(node)
	node.control = newControl(node, core)
	node.clients = ingress.NewServer(ingress.Config{
		Handler: node.handle, Limits: node.limits, MaxConnections: maximumConnections(settings),
		Panicked: func(value any) { logger.Error().Any("panic", value).Msg("edge: a request's handler panicked") },
	})
	return node, nil
}

// The clients' connections get half of the memory at most.
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

// Programs may use a part of their budgets before the log knows of them, so that
// they can begin and end while the store takes no records.
const (
	unrecordedShare = 1.0 / 3
	// againShare is what is left where an owner follows a lost one, of budgets from
	// againBudget on: ten turns of the users' deployments at their most. Two losses in
	// a row leave five twelfths of such a budget.
	afterFailureShare     = 1.0 / 4
	afterFailureMinBudget = 6000
	ownershipProofTTL     = 8 * time.Second
)

// coreConfig returns the core's settings, within what the store takes.
func coreConfig(settings Settings, self machine.Machine, random *rand.Rand) coordinator.Config {
	config := coordinator.DefaultConfig(self, settings.Partitions, random)
	if settings.uses(BeginUnrecorded) {
		config.Ledger.UnrecordedShare = unrecordedShare
		config.Ledger.OwnershipProofTTL = ownershipProofTTL
		if settings.uses(BeginAfterFailure) {
			config.Ledger.AfterFailureShare, config.Ledger.AfterFailureMinBudget = afterFailureShare, afterFailureMinBudget
		}
	}
	if !settings.uses(MarkAhead) {
		config.Ledger.MarkAheadShare, config.Ledger.MarkAheadTurns = 0, 0
	}
	config.Ledger.ExtraTurnAfterFailure = settings.uses(GrantTurnAfterFailure)
	config.SkipHandover = !settings.uses(HandOver)
	if settings.Quota.Window > 0 {
		config.Tenants = settings.Quota
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

// limits returns the limits in force, or those used before any configuration
// is known.
func (n *Node) limits() routing.Limits {
	if table := n.routes.Current(); table != nil {
		return table.Limits
	}
	return routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// draw returns a uniform number from 0 to 1.
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
	n.logger.Info().Str("zone", n.settings.Zone).Int("partitions", n.settings.Partitions).Msg("edge: started")
	return nil
}

// serve runs a server until its listener closes.
func (n *Node) serve(name string, serve func() error) {
	go func() {
		if err := serve(); err != nil && !n.stopping.Load() {
			n.failed <- Error.New("serving %s ended: %w", name, err)
		}
	}()
}

// run starts a goroutine that ends with the node.
func (n *Node) run(loop func(ctx context.Context)) {
	go loop(n.ctx)
}

// Failed yields the error of a server that ended by itself.
func (n *Node) Failed() <-chan error { return n.failed }

// The steps of a planned stop, from its beginning.
const (
	// unlistedAfter is when the platform has noticed that the node is not
	// ready any more and sends no new connections.
	readinessPropagation = 3 * time.Second
	// killSlack is how long before the kill the process ends.
	exitMargin = 700 * time.Millisecond
)

// Stop ends the node: it is no longer ready, gives its partitions up, closes
// connections as their answers end, and waits for those under way.
func (n *Node) Stop() {
	begun := time.Now()
	if n.stopping.Swap(true) {
		return
	}
	n.logger.Info().Int("active", n.clients.Active()).Msg("edge: stopping")
	n.control.post(coordinator.Leave{})
	n.clients.Drain()
	end := begun.Add(max(n.settings.Grace-exitMargin, 0))
	wait.Until(n.ctx, minTime(begun.Add(readinessPropagation), end))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := n.clients.Shutdown(ctx)
	n.cancel()
	n.logger.Info().Bool("cut", err != nil).Dur("took", time.Since(begun)).Msg("edge: stopped")
}

// Kill ends the node at once, as the loss of its process does.
func (n *Node) Kill() {
	n.stopping.Store(true)
	n.cancel()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.clients.Shutdown(ended)
}

// Ready reports whether the node can serve clients.
func (n *Node) Ready() bool { return n.ready() }

func minTime(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
