package edge

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// The paths that nodes serve to each other.
const (
	pathMessage = "/peer/message"
	pathRequest = "/peer/request"
	pathState   = "/peer/state"

	// PathQuarantine lists the marked requests, and releases one of them.
	PathQuarantine = "/peer/quarantine"
)

// Timeouts and limits of the calls between nodes.
const (
	peerDialTimeout    = 300 * time.Millisecond
	peerMessageTimeout = 500 * time.Millisecond
	peerQueueSize      = 64
	peerMaxConnections = 64
	peerBodyBytes      = 8 << 20
	// peerIdleTimeout ends the sender goroutine of a peer that no message was sent to.
	peerIdleTimeout = 20 * time.Second
)

// peers exchanges messages and requests with other nodes.
type peers struct {
	node *Node
	// datagrams carries the messages that may be lost; nil before the node is started.
	datagrams *datagrams

	mutex   sync.Mutex
	clients map[string]*httpclient.Client
	queues  map[string]chan *coordinator.PeerMessage
}

func newPeers(node *Node) *peers {
	return &peers{node: node, clients: make(map[string]*httpclient.Client), queues: make(map[string]chan *coordinator.PeerMessage)}
}

// client returns the client for a peer's address.
func (p *peers) client(address string) *httpclient.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.clients[address]
	if known == nil {
		known = httpclient.New(httpclient.Options{
			Address: address, Zone: p.node.settings.Zone, DialTimeout: peerDialTimeout, MaxConnections: peerMaxConnections,
		})
		p.clients[address] = known
	}
	return known
}

// send sends a message to a peer, as a datagram if it may be lost. Other messages are
// queued, and dropped if the queue is full.
func (p *peers) send(outbound coordinator.Outbound) {
	if p.datagrams.send(&outbound) {
		return
	}
	address := outbound.To.Address
	p.mutex.Lock()
	queue := p.queues[address]
	if queue == nil {
		queue = make(chan *coordinator.PeerMessage, peerQueueSize)
		p.queues[address] = queue
		p.node.run(func(ctx context.Context) { p.drain(ctx, address, queue) })
	}
	p.mutex.Unlock()
	select {
	case queue <- &outbound.Message:
	default:
		p.node.metrics.messageDropped()
	}
}

// drain sends a peer's messages one after the other, until there was none for
// peerIdleTimeout.
func (p *peers) drain(ctx context.Context, address string, queue chan *coordinator.PeerMessage) {
	client := p.client(address)
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case message := <-queue:
			callCtx, cancel := context.WithTimeout(ctx, peerMessageTimeout)
			if err := client.Do(callCtx, fasthttp.MethodPost, pathMessage, message, nil); err != nil {
				// Usually the peer has failed or cannot be reached, which the failure
				// detector notices. The core repeats messages that must arrive.
				p.node.metrics.messageFailed()
			}
			cancel()
			idle.Reset(peerIdleTimeout)
		case <-idle.C:
			if p.retire(address, queue) {
				return
			}
			idle.Reset(peerIdleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

// retire removes the queue and the client of an idle peer, unless a message was queued
// meanwhile.
func (p *peers) retire(address string, queue chan *coordinator.PeerMessage) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.queues, address)
	delete(p.clients, address)
	return true
}

// peerRequest is the body of a request to the owner of a partition.
type peerRequest struct {
	Partition int                 `json:"partition"`
	Request   coordinator.Request `json:"request"`
}

// call sends a request about a partition to another node and returns the reply.
func (p *peers) call(ctx context.Context, to machine.Machine, partition int, request coordinator.Request) (coordinator.Reply, error) {
	var reply coordinator.Reply
	err := p.client(to.Address).Do(ctx, fasthttp.MethodPost, pathRequest, peerRequest{Partition: partition, Request: request}, &reply)
	return reply, err
}

// peerState is what a node that cannot reach the store gets from a peer.
type peerState struct {
	Configuration []byte          `json:"configuration,omitempty"`
	Replicas      []replica.Entry `json:"replicas"`
	// Position is the offset in the stream of replicas up to which Replicas is known to
	// reflect the store's list; 0 if the peer does not know it.
	Position uint64 `json:"position,omitempty"`
	// Unlisted are those of Replicas that the store does not list, and whose removal the peer
	// defers after an outage.
	Unlisted []replica.ID `json:"unlisted,omitempty"`
	// Proven is set if the configuration was proven to be the newest, ProofAgeMS
	// milliseconds before the peer answered.
	Proven     bool  `json:"proven,omitempty"`
	ProofAgeMS int64 `json:"proof_age_ms,omitempty"`
	// Evacuations are the evacuated zones in the peer's view.
	Evacuations evacuation.Snapshot `json:"evacuations"`
}

// withoutReplicas is the query of a request for a peer's state without replicas.
const withoutReplicas = "?replicas=none"

// state fetches a peer's configuration, and its replicas if requested.
func (p *peers) state(ctx context.Context, from machine.Machine, replicas bool) (peerState, error) {
	var state peerState
	path := pathState
	if !replicas {
		path += withoutReplicas
	}
	err := p.client(from.Address).Do(ctx, fasthttp.MethodGet, path, nil, &state)
	return state, err
}

// serve serves the requests of other nodes.
func (p *peers) serve(listener net.Listener) error {
	routes := router.New()
	routes.POST(pathMessage, p.receiveMessage)
	routes.POST(pathRequest, p.receiveRequest)
	routes.GET(pathState, p.receiveState)
	routes.GET(pathReplicas, p.receiveReplicas)
	routes.GET(pathNodes, p.receiveNodes)
	routes.GET(PathQuarantine, p.listQuarantined)
	routes.DELETE(PathQuarantine+"/{fingerprint}", p.releaseQuarantined)
	server := &fasthttp.Server{
		Handler: routes.Handler, MaxRequestBodySize: peerBodyBytes, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: discardLogger{},
	}
	go func() {
		<-p.node.ctx.Done()
		_ = listener.Close()
	}()
	return server.Serve(listener)
}

// discardLogger drops the HTTP library's log lines about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (p *peers) receiveMessage(ctx *fasthttp.RequestCtx) {
	var message coordinator.PeerMessage
	if err := json.Unmarshal(ctx.PostBody(), &message); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.node.control.post(coordinator.PeerReceived{Message: message})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// peerRequestTimeout bounds how long a peer's request may wait at this node.
const peerRequestTimeout = 4 * time.Second

func (p *peers) receiveRequest(ctx *fasthttp.RequestCtx) {
	var request peerRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	callCtx, cancel := context.WithTimeout(p.node.ctx, peerRequestTimeout)
	defer cancel()
	reply, err := p.node.control.call(callCtx, request.Partition, request.Request)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, reply)
}

func (p *peers) receiveState(ctx *fasthttp.RequestCtx) {
	// The age is read first: a configuration that is read later is at least as new.
	age, proven := p.node.freshnessProof.age(time.Now())
	state := peerState{
		Configuration: p.node.config.raw(),
		Proven:        proven, ProofAgeMS: age.Milliseconds() + 1,
		Evacuations: p.node.evacuations.snapshot(time.Now()),
	}
	if !ctx.QueryArgs().Has("replicas") {
		// The position is read first, for the same reason.
		state.Position = p.node.listPosition.current()
		state.Replicas, state.Unlisted = p.node.replicas.entriesAndUnlisted()
	}
	writeJSON(ctx, state)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
