package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

const (
	peerToken   = "peer-secret"
	triageToken = "triage-secret"
	auditToken  = "audit-secret"
)

// cluster is the state that the nodes of a test share: the durable programs and
// calls, and the node that owns them.
type cluster struct {
	mutex    sync.Mutex
	owner    machine.ID
	address  map[machine.ID]string
	programs map[api.ProgramID]*api.Program
	calls    map[program.CallRef]*call
	submits  int
	waiting  int // number of requests that have begun to wait for a call
}

// call is one call; done is closed once it is terminal.
type call struct {
	state  api.Call
	body   api.SubmitCall
	buffer *stream.Buffer
	done   chan struct{}
}

func newCluster() *cluster {
	return &cluster{
		address:  make(map[machine.ID]string),
		programs: make(map[api.ProgramID]*api.Program),
		calls:    make(map[program.CallRef]*call),
	}
}

// find returns the call with the sequence or key. The caller holds the mutex.
func (w *cluster) find(id api.ProgramID, sequence uint64, key string) *call {
	for ref, held := range w.calls {
		if ref.Program == id && (ref.Sequence == sequence || (key != "" && held.state.Key == key)) {
			return held
		}
	}
	return nil
}

// get waits until the call with the key exists.
func (w *cluster) get(id api.ProgramID, key string) *call {
	var found *call
	Eventually(func() *call {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		found = w.find(id, 0, key)
		return found
	}).ShouldNot(BeNil())
	return found
}

// move makes the node the owner. With an empty ID there is no owner.
func (w *cluster) move(owner machine.ID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.owner = owner
}

// submitted returns the number of submits that reached an owner.
func (w *cluster) submitted() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.submits
}

// waits returns the number of requests that have begun to wait for a call.
func (w *cluster) waits() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.waiting
}

// finish ends the call successfully with the output.
func (w *cluster) finish(held *call, output string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held.state.Status = api.StatusSucceeded
	held.state.Output = output
	held.buffer.Close()
	close(held.done)
}

// node is the gateway.Service of one node.
type node struct {
	cluster      *cluster
	id           machine.ID
	submitError  func() *api.Error // overrides the owner's answer to a submit
	listSize     int               // number of programs in a list, at least one
	unresponsive bool              // no request is answered
	// unreadable makes reading the record of an ended call fail.
	unreadable  bool
	unreachable machine.ID // the node that this node cannot reach
	gateway     *gateway.Gateway
	address     string
	kill        func()
	// opened returns the number of connections that were opened to the node.
	opened func() int
}

// trackedListener records its connections, so that kill can close them all as
// the end of the process would.
type trackedListener struct {
	net.Listener
	mutex sync.Mutex
	conns []net.Conn
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mutex.Lock()
		l.conns = append(l.conns, conn)
		l.mutex.Unlock()
	}
	return conn, err
}

func (l *trackedListener) opened() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

func (l *trackedListener) kill() {
	_ = l.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func (n *node) Authenticate(token string) (contract.Path, *api.Error) {
	switch token {
	case triageToken:
		return "koudeketting/triage", nil
	case auditToken:
		return "koudeketting/audit", nil
	}
	return "", api.Refuse(api.CodeUnauthorized, "the bearer token is not known").WithLocation("header Authorization")
}

func (n *node) ProgramID(branch contract.Path, key string) (api.ProgramID, *api.Error) {
	if branch != "koudeketting/triage" && branch != "koudeketting/audit" {
		return "", api.Refuse(api.CodeUnknownBranch, "no branch %s", branch)
	}
	return api.ProgramID(fmt.Sprintf("isando.%d.%016x", len(branch), len(key))), nil
}

func (n *node) Route(api.ProgramID) (gateway.Route, *api.Error) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	if n.cluster.owner == "" {
		return gateway.Route{}, api.Refuse(api.CodeOwnerUnknown, "no owner").WithRetryAfter(10)
	}
	owner := n.cluster.owner
	address := n.cluster.address[owner]
	if n.unreachable == owner {
		address = "127.0.0.1:1"
	}
	return gateway.Route{Local: owner == n.id, Owner: owner, Address: address}, nil
}

func (n *node) PeerToken() string { return peerToken }

func (n *node) Peers() []gateway.Route {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	var peers []gateway.Route
	for id, address := range n.cluster.address {
		if id != n.id {
			peers = append(peers, gateway.Route{Owner: id, Address: address})
		}
	}
	return peers
}

func (n *node) Stream(ref program.CallRef) (*stream.Buffer, bool) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	held := n.cluster.calls[ref]
	if held == nil || held.state.Status.Terminal() {
		return nil, false
	}
	return held.buffer, true
}

func (n *node) Do(ctx context.Context, request control.Request) control.Reply {
	if n.unresponsive {
		<-ctx.Done()
		return control.Reply{Error: &api.Error{Code: api.CodeTimeout, Ran: api.RanOutcomeUnknown, Retry: true}}
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	if request.Operation == control.OperationList {
		programs := []api.Program{{ID: api.ProgramID(n.id), Branch: string(request.Scope)}}
		for len(programs) < min(n.listSize, request.Limit) {
			id := api.ProgramID(fmt.Sprintf("%s-%d", n.id, len(programs)))
			programs = append(programs, api.Program{ID: id, Branch: string(request.Scope)})
		}
		return control.Reply{Programs: programs}
	}
	if n.cluster.owner != n.id {
		return control.Reply{Error: api.Refuse(api.CodeNotOwner, "not the owner")}
	}
	if request.Operation == control.OperationCreate {
		return n.create(request)
	}
	held := n.cluster.programs[request.Program]
	if held == nil || !gatewayWithin(request.Scope, held.Branch) {
		return control.Reply{Error: api.Refuse(api.CodeNotFound, "no program %s", request.Program)}
	}
	switch request.Operation {
	case control.OperationSubmit:
		return n.submit(ctx, request)
	case control.OperationCall, control.OperationCancel:
		found := n.cluster.find(request.Program, request.Sequence, request.Key)
		if found == nil {
			return control.Reply{Error: api.Refuse(api.CodeNotFound, "no such call")}
		}
		return n.wait(ctx, request, found)
	case control.OperationEnd:
		held.Ended = true
		held.EndReason = request.Reason
	case control.OperationHistory:
		return control.Reply{History: &api.History{Program: request.Program, Calls: []api.Call{}}}
	}
	return control.Reply{Program: held}
}

func gatewayWithin(scope contract.Path, branch string) bool {
	return string(scope) == branch
}

func (n *node) create(request control.Request) control.Reply {
	held := n.cluster.programs[request.Program]
	if held == nil {
		held = &api.Program{ID: request.Program, Branch: request.Create.Branch, Key: request.Create.Key, Parent: request.Parent}
		n.cluster.programs[request.Program] = held
	}
	return control.Reply{Program: held}
}

// submit admits the call or finds the one with the same key.
func (n *node) submit(ctx context.Context, request control.Request) control.Reply {
	n.cluster.submits++
	if n.submitError != nil {
		if lost := n.submitError(); lost != nil {
			return control.Reply{Error: lost}
		}
	}
	found := n.cluster.find(request.Program, 0, request.Submit.Key)
	if found == nil {
		sequence := uint64(len(n.cluster.calls) + 1)
		found = &call{
			state: api.Call{
				Program: request.Program, Sequence: sequence, Key: request.Submit.Key,
				Kind: request.Submit.Kind, Status: api.StatusRunning, Attempt: 1,
			},
			body:   *request.Submit,
			buffer: stream.NewBuffer(),
			done:   make(chan struct{}),
		}
		found.buffer.Restart(1)
		n.cluster.calls[program.CallRef{Program: request.Program, Sequence: sequence}] = found
	}
	if found.body.Input != request.Submit.Input {
		return control.Reply{Error: api.Refuse(api.CodeKeyReused, "the key has another body").WithLocation("$.key")}
	}
	return n.wait(ctx, request, found)
}

// wait answers with the call's state. If the request waits, it first waits until
// the call is terminal. The cluster's mutex is held on entry and exit.
func (n *node) wait(ctx context.Context, request control.Request, held *call) control.Reply {
	if n.unreadable && held.state.Status.Terminal() {
		return control.Reply{Error: api.Refuse(api.CodeStoreUnavailable, "the history cannot be read back now")}
	}
	if request.Wait {
		n.cluster.waiting++
		n.cluster.mutex.Unlock()
		select {
		case <-held.done:
		case <-ctx.Done():
		}
		n.cluster.mutex.Lock()
		if ctx.Err() != nil {
			return control.Reply{Error: &api.Error{Code: api.CodeTimeout, Ran: api.RanOutcomeUnknown}}
		}
	}
	state := held.state
	return control.Reply{Call: &state}
}

// testConfig returns a configuration with short time-outs.
func testConfig(id machine.ID) gateway.Config {
	config := gateway.DefaultConfig()
	config.Node = string(id)
	config.KeepAlive = 20 * time.Millisecond
	config.WaitSlice = 50 * time.Millisecond
	config.PeerSilence = time.Second
	config.MaximumAttempts = 12
	config.RetryDelay = 5 * time.Millisecond
	config.MaximumRetryDelay = 50 * time.Millisecond
	config.Random = rand.New(rand.NewPCG(1, 2))
	return config
}

// start serves a node on a loopback port until the spec ends.
func (w *cluster) start(id machine.ID, configure ...func(*gateway.Config)) *node {
	config := testConfig(id)
	for _, change := range configure {
		change(&config)
	}
	started := &node{cluster: w, id: id}
	served, err := gateway.New(config, started, &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}})
	Expect(err).NotTo(HaveOccurred())
	started.gateway = served
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	listener := &trackedListener{Listener: plain}
	started.address = listener.Addr().String()
	started.kill = listener.kill
	started.opened = listener.opened
	w.mutex.Lock()
	w.address[id] = started.address
	w.mutex.Unlock()
	finished := make(chan error, 1)
	go func() { finished <- served.Server().Serve(listener) }()
	DeferCleanup(func() {
		listener.kill()
		Eventually(finished).Should(Receive())
	})
	return started
}
