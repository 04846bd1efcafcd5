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

var _ gateway.Service = (*Node)(nil)

// Authenticate returns the branch that lists a caller's bearer token. A node without
// settings cannot check any token, so its refusal permits a retry.
func (n *Node) Authenticate(token string) (contract.Path, *api.Error) {
	tree := n.tree.Load()
	if tree.Revision() == 0 {
		return "", noSettingsError()
	}
	scope, known := tree.Caller(contract.HashToken(token))
	if !known {
		return "", api.Refuse(api.CodeUnauthorized, "the bearer token is not known").WithLocation("header Authorization")
	}
	return scope, nil
}

// noSettingsError refuses a request that cannot be decided because the node has
// just started and has no settings.
func noSettingsError() *api.Error {
	refusal := api.Refuse(api.CodeSettingsStale, "this node has just started and has no settings yet")
	return refusal.WithRetryAfter(ownerRetryMilliseconds)
}

// ProgramID returns the program ID for a branch and key. The same branch and
// key always give the same ID.
func (n *Node) ProgramID(branch contract.Path, key string) (api.ProgramID, *api.Error) {
	tree := n.tree.Load()
	if tree.Revision() == 0 {
		return "", noSettingsError()
	}
	resolved, err := tree.Resolve(branch)
	if err != nil {
		return "", api.Refuse(api.CodeUnknownBranch, "%v", err).WithLocation("$.branch")
	}
	if resolved.Placement == "" {
		return "", api.Refuse(api.CodeNoPermittedPlace, "branch %q permits no zone", branch).WithLocation("$.branch")
	}
	return partition.NewProgramID(string(branch), n.config.Control.PartitionsPerBranch, key), nil
}

// Route returns the node that owns a program's partition.
func (n *Node) Route(id api.ProgramID) (gateway.Route, *api.Error) {
	partitionID, err := partition.OfProgram(id)
	if err != nil {
		return gateway.Route{}, api.Refuse(api.CodeNotFound, "%v", err).WithLocation("$.program")
	}
	owner, ok := n.routing.Load().Owner(partitionID)
	if !ok {
		refusal := api.Refuse(api.CodeOwnerUnknown, "no live node may own partition %s", partitionID)
		return gateway.Route{}, refusal.WithRetryAfter(ownerRetryMilliseconds)
	}
	return gateway.Route{Local: owner.ID == n.config.Control.Self.ID, Owner: owner.ID, Address: owner.Address}, nil
}

// ownerRetryMilliseconds is the retry-after delay of a caller while no owner is
// known or the node has no settings.
const ownerRetryMilliseconds = 1000

// Do passes the request to the control goroutine and waits for the reply.
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

// noReplyError is the answer when the wait ends before the reply. The request may
// have been recorded; a retry with the same key shows whether it was.
func noReplyError(err error) *api.Error {
	refusal := &api.Error{Code: codeOf(err), Message: "the reply did not come in time", Ran: api.RanOutcomeUnknown}
	return refusal.WithRetryAfter(0)
}

// Stream returns the buffer of an answer that is being generated on this node.
func (n *Node) Stream(call program.CallRef) (*stream.Buffer, bool) { return n.streams.get(call) }

// PeerToken returns the token that authenticates nodes to each other.
func (n *Node) PeerToken() string { return n.config.PeerToken }

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	request control.Request
	replies chan control.Reply
}

// pendingTable matches replies to pending requests by their handles.
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

// close removes a request and returns it, if it was still pending.
func (t *pendingTable) close(handle uint64) (pendingRequest, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	pending, ok := t.requests[handle]
	delete(t.requests, handle)
	return pending, ok
}

// answer delivers a reply to its pending request. For a model call that has not
// ended, it first creates the buffer, before the action that finishes the call,
// so that the caller can attach to the stream as soon as it has the reply.
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
