package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/tool"
)

// Error is the class of this package's errors.
var Error = errs.Class("node")

// Transport sends control messages to peers and never blocks.
type Transport interface {
	Send(to machine.Machine, message link.Message) error
}

// Metrics records the measurements of a Node.
type Metrics interface {
	ControlStep(time.Duration)
	StoreAppend(time.Duration, error)
	FirstToken(time.Duration)
	CallFinished(api.Call)
	ProgramFinished(api.Program, time.Duration)
	Refused(*api.Error)
	SettingsRevision(uint64)
}

// Config holds the settings of a Node.
type Config struct {
	Control control.Config
	// PeerToken authenticates nodes to each other.
	PeerToken string
	// StoreTimeout bounds one request to the log service, the machine list or
	// a tool service's look-up.
	StoreTimeout time.Duration
	// BackendTimeout bounds one request about a back end's state.
	BackendTimeout time.Duration
	// TranscriptBytes bounds the cache of program histories.
	TranscriptBytes int
}

// Dependencies are the services and clients that a Node uses.
type Dependencies struct {
	Log       infra.Log
	Machines  infra.MachineList
	Engines   engine.Dialer
	Tools     tool.Dialer
	Transport Transport
	Metrics   Metrics
	Logger    *log.Logger
}

// Node runs one Core: it passes events to the core, performs the core's actions
// and implements gateway.Service. Its exported methods are safe for concurrent
// use.
type Node struct {
	config    Config
	core      *control.Core
	log       infra.Log
	machines  infra.MachineList
	engines   engine.Dialer
	tools     tool.Dialer
	transport Transport
	metrics   Metrics
	logger    *log.Logger

	// context ends when the node stops. The node's goroutines run under it.
	context     context.Context
	cancel      context.CancelFunc
	events      chan control.Event
	inspections chan func(*control.Core)
	loopDone    chan struct{}
	// lastStep is the time of the core's last step. Only the control goroutine
	// accesses it.
	lastStep time.Time
	// handedOver is closed when the planned stop is complete.
	handedOver chan struct{}

	attempts    *attemptTable
	streams     *streamTable
	transcripts *transcripts
	pending     *pendingTable
	verdicts    *verdictTable
	tree        atomic.Pointer[contract.Tree]
	routing     atomic.Pointer[control.Routing]
}

// New returns a node that is idle until Start.
func New(config Config, dependencies Dependencies) (*Node, error) {
	core, err := control.New(config.Control)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		config:      config,
		core:        core,
		log:         dependencies.Log,
		machines:    dependencies.Machines,
		engines:     dependencies.Engines,
		tools:       dependencies.Tools,
		transport:   dependencies.Transport,
		metrics:     dependencies.Metrics,
		logger:      dependencies.Logger,
		context:     ctx,
		cancel:      cancel,
		events:      make(chan control.Event, eventQueueLength),
		inspections: make(chan func(*control.Core)),
		loopDone:    make(chan struct{}),
		handedOver:  make(chan struct{}),
		attempts:    newAttemptTable(),
		streams:     newStreamTable(),
		pending:     newPendingTable(),
		verdicts:    newVerdictTable(),
	}
	node.transcripts = newTranscripts(config.TranscriptBytes, node.readCalls)
	node.tree.Store(core.Tree())
	node.routing.Store(core.Routing())
	return node, nil
}

// Start starts the control goroutine.
func (n *Node) Start() {
	go n.run(n.context)
}

// Receive handles a control message from a peer.
func (n *Node) Receive(message link.Message) {
	n.post(control.MessageReceived{Message: message})
}

// Drain begins the planned stop and waits until every partition is handed
// over, or until the context ends.
func (n *Node) Drain(ctx context.Context) error {
	n.post(control.StopRequested{})
	select {
	case <-n.handedOver:
		return nil
	case <-n.loopDone:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Close removes the node's entry from the machine list and ends the node's
// goroutines. It waits for the control goroutine only.
func (n *Node) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), n.config.StoreTimeout)
	defer cancel()
	if err := n.machines.Withdraw(ctx, n.config.Control.Self.ID); err != nil {
		n.logger.Warn().Err(err).Msg("machines: removing this node's entry from the list failed")
	}
	n.cancel()
	<-n.loopDone
}

// publishRouting makes the current routing available to the gateway.
func (n *Node) publishRouting() {
	if n.core.RoutingChanged() {
		n.routing.Store(n.core.Routing())
	}
}
