package node

import (
	"context"
	"sync"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

// Node is the gateway's service.
var _ gateway.Service = (*Node)(nil)

// Caller returns the branch that a caller's bearer token is tied to.
// The refusal of a node that has no settings yet invites a retry: it knows no
// token at all.
func (n *Node) Caller(token string) (contract.Path, *api.Error) {
	tree := n.tree.Load()
	if tree.Revision() == 0 {
		return "", noSettingsError()
	}
	scope, known := tree.Caller(contract.HashToken(token))
	if !known {
		return "", api.Refuse(api.CodeUnauthorized, "the bearer token is not known").At("header Authorization")
	}
	return scope, nil
}

// noSettingsError refuses what a node that has just started cannot decide.
func noSettingsError() *api.Error {
	refusal := api.Refuse(api.CodeSettingsStale, "this node has just started and has no settings yet")
	return refusal.After(ownerRetryMilliseconds)
}

// NewProgram returns the id that a branch and key always name.
func (n *Node) NewProgram(branch contract.Path, key string) (api.ProgramID, *api.Error) {
	tree := n.tree.Load()
	if tree.Revision() == 0 {
		return "", noSettingsError()
	}
	resolved, err := tree.Resolve(branch)
	if err != nil {
		return "", api.Refuse(api.CodeUnknownBranch, "%v", err).At("$.branch")
	}
	if resolved.Placement == "" {
		return "", api.Refuse(api.CodeNoPermittedPlace, "branch %q permits no zone", branch).At("$.branch")
	}
	return partition.NewProgramID(string(branch), n.config.Control.PartitionsPerBranch, key), nil
}

// Route finds the node that owns a program's partition.
func (n *Node) Route(id api.ProgramID) (gateway.Route, *api.Error) {
	partitionID, err := partition.OfProgram(id)
	if err != nil {
		return gateway.Route{}, api.Refuse(api.CodeNotFound, "%v", err).At("$.program")
	}
	owner, ok := n.routing.Load().Owner(partitionID)
	if !ok {
		refusal := api.Refuse(api.CodeOwnerUnknown, "no live node may own partition %s", partitionID)
		return gateway.Route{}, refusal.After(ownerRetryMilliseconds)
	}
	return gateway.Route{Local: owner.ID == n.config.Control.Self.ID, Owner: owner.ID, Address: owner.Address}, nil
}

// ownerRetryMilliseconds is when to ask again while no owner is known.
const ownerRetryMilliseconds = 1000

// Do performs the request on the control goroutine and waits for the reply.
func (n *Node) Do(ctx context.Context, request control.Request) control.Reply {
	handle, replies := n.pending.open(request)
	n.post(control.RequestReceived{Handle: handle, Request: request})
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		n.pending.close(handle)
		n.post(control.RequestAbandoned{Handle: handle})
		return control.Reply{Error: noReplyError(ctx.Err())}
	case <-n.loopDone:
		n.pending.close(handle)
		return control.Reply{Error: noReplyError(context.Canceled)}
	}
}

// noReplyError is the answer when waiting ends before the reply comes. The request
// may have been recorded; its key tells.
func noReplyError(err error) *api.Error {
	refusal := &api.Error{Code: codeOf(err), Message: "the reply did not come in time", Ran: api.RanOutcomeUnknown}
	return refusal.After(0)
}

// Stream returns the answer that is being generated on this node.
func (n *Node) Stream(call program.CallRef) (*stream.Buffer, bool) { return n.streams.get(call) }

// PeerToken authenticates nodes to each other.
func (n *Node) PeerToken() string { return n.config.PeerToken }

// pendingRequest is a request whose reply has not come.
type pendingRequest struct {
	request control.Request
	replies chan control.Reply
}

// pendingTable matches replies to the requests that wait for them.
type pendingTable struct {
	mutex    sync.Mutex
	last     uint64
	requests map[uint64]pendingRequest
}

func newPendingTable() *pendingTable {
	return &pendingTable{requests: make(map[uint64]pendingRequest)}
}

func (t *pendingTable) open(request control.Request) (uint64, <-chan control.Reply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last++
	replies := make(chan control.Reply, 1)
	t.requests[t.last] = pendingRequest{request: request, replies: replies}
	return t.last, replies
}

// close forgets a request and returns it, if it still waited.
func (t *pendingTable) close(handle uint64) (pendingRequest, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	pending, ok := t.requests[handle]
	delete(t.requests, handle)
	return pending, ok
}

// answer gives a reply to the request that waits for it. A call that has not
// ended gets its buffer here, before the action that finishes it, so that a
// caller can attach as soon as it knows the call.
func (n *Node) answer(action control.Answer) {
	pending, ok := n.pending.close(action.Handle)
	if !ok {
		return
	}
	call := action.Reply.Call
	if call != nil && !call.Status.Terminal() && call.Kind == api.CallModel {
		n.streams.ensure(program.CallRef{Program: call.Program, Sequence: call.Sequence})
	}
	if action.Reply.Error != nil {
		n.metrics.Refused(action.Reply.Error)
	}
	pending.replies <- action.Reply
}
