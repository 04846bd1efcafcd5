package gateway

import (
	"context"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/internal/wait"
)

// answer is what the caller gets: a JSON body, a refusal, or a stream.
type answer struct {
	status   int
	body     []byte
	refusal  *api.Error
	source   source
	attempts int
	// pending: the wait was cut into slices and this one ended; the body is
	// the call's state.
	pending bool
	// owner is the address to try in place of this node.
	owner string
}

// outcome is what became of one attempt.
type outcome struct {
	answer
	// retry: a later attempt, perhaps at another node, may succeed.
	retry bool
	// unknown: the attempt may have taken effect although it was not
	// answered.
	unknown bool
}

// refused returns the outcome of an attempt that was answered with an error.
func refused(refusal *api.Error) outcome {
	return outcome{answer: answer{refusal: refusal}}
}

// stateTimeout bounds the look at a call's state after a wait has ended.
const stateTimeout = 2 * time.Second

// minimumSlice is the least time between two slices of one wait.
const minimumSlice = 50 * time.Millisecond

// perform tries the request at its owner until it is answered. It is the only
// layer that retries: an owner that got the request from a peer reports.
//
// Retrying is safe although an attempt without an answer may have taken
// effect, because the owner knows the request by its key: a repeated create
// or submit returns the program or call that the first one made, and a
// repeated cancel or end changes nothing.
func (g *Gateway) perform(ctx context.Context, request *exchange) answer {
	hint := ""
	for attempt := 1; ; {
		started := time.Now()
		result := g.attempt(ctx, request, hint)
		result.attempts = attempt
		// A wait that is pending and a stream are about a call that was admitted.
		admitted := result.pending || result.source != nil
		request.mayHaveRun = request.mayHaveRun || result.unknown || admitted
		switch {
		case result.pending && !request.peer && wait.Until(ctx, started.Add(minimumSlice)):
			// The next slice of the wait.
		case !result.retry || request.peer:
			if result.refusal == nil && !request.peer {
				g.budget.earn()
			}
			return settle(request, result.answer)
		case attempt >= g.config.MaximumAttempts || !g.budget.spend() || !g.pause(ctx, attempt):
			return settle(request, result.answer)
		default:
			attempt++
		}
		hint = result.owner
	}
}

// settle makes the last refusal true for the whole request: once an attempt
// may have taken effect, "not run" would be a guess. A peer is told the same
// under the refusal's own code, because it may still try elsewhere.
func settle(request *exchange, last answer) answer {
	if last.refusal == nil {
		return last
	}
	settled := *last.refusal
	last.refusal = &settled
	if settled.Code == api.CodeNotOwner && !request.peer {
		// Which node is not the owner is between nodes.
		settled.Code = api.CodeOwnerUnknown
		settled.Message = "the program's owner changes"
	}
	if !request.mayHaveRun || !request.changes() || settled.Ran != api.RanNotRun {
		return last
	}
	settled.Ran = api.RanOutcomeUnknown
	settled.Retry = true
	if !request.peer {
		settled.Code = api.CodeOutcomeUnknown
		settled.Place = ""
		settled.Message = "the owner was lost after the request was sent; ask again with the same key (last: " + settled.Message + ")"
	}
	return last
}

// attempt performs the request once, here or at the owner.
func (g *Gateway) attempt(ctx context.Context, request *exchange, hint string) outcome {
	switch request.request.Operation {
	case control.OperationList:
		return g.list(ctx, request)
	case operationWhy:
		return g.why(request)
	}
	if hint != "" {
		return g.relay(request, hint, false)
	}
	route, refusal := g.service.Route(request.request.Program)
	switch {
	case refusal != nil:
		return refusedLocally(refusal)
	case route.Local:
		return g.local(ctx, request)
	case request.peer && !request.detour:
		result := refused(api.Refuse(api.CodeNotOwner, "node %s owns the program", route.Owner).After(0))
		result.owner = route.Address
		return result
	default:
		return g.reach(request, route)
	}
}

// local performs the request on this node.
func (g *Gateway) local(ctx context.Context, request *exchange) outcome {
	asked := request.request
	asked.Wait = request.waits()
	if refusal := g.complete(ctx, &asked); refusal != nil {
		return refusedLocally(refusal)
	}
	waitCtx, cancel := context.WithTimeout(ctx, g.bound(request))
	defer cancel()
	reply := g.service.Do(waitCtx, asked)
	if reply.Error != nil && asked.Wait && waitCtx.Err() != nil {
		reply = g.callState(asked)
	}
	if reply.Error != nil {
		return refusedLocally(reply.Error)
	}
	if request.stream {
		return g.openLocal(request, reply.Call)
	}
	result := outcome{answer: answer{status: statusOK, body: replyBody(&asked, &reply)}}
	if reply.Call != nil && !reply.Call.Status.Terminal() && asked.Operation == control.OperationSubmit {
		result.status = statusAccepted
	}
	if reply.Call != nil && !reply.Call.Status.Terminal() && asked.Wait {
		result.status = statusAccepted
		result.pending = true
	}
	return result
}

// bound returns how long the owner may take to answer at most.
func (g *Gateway) bound(request *exchange) time.Duration {
	switch {
	case !request.waits():
		return g.config.RequestTimeout
	case request.peer:
		return g.config.WaitSlice
	default:
		return g.config.MaximumWait
	}
}

// complete fills in what the caller may leave out and only the owner knows: a
// sub-agent's branch is its parent's, and a call that is to be cancelled can
// be named by its key.
func (g *Gateway) complete(ctx context.Context, asked *control.Request) *api.Error {
	look := control.Request{Scope: asked.Scope, Program: asked.Program, Key: asked.Key}
	switch {
	case asked.Parent != "" && asked.Create.Branch == "":
		look.Operation = control.OperationDescribe
		look.Program = asked.Parent
	case asked.Operation == control.OperationCancel && asked.Key != "":
		look.Operation = control.OperationCall
	default:
		return nil
	}
	reply := g.service.Do(ctx, look)
	switch {
	case reply.Error != nil:
		found := *reply.Error
		found.Ran = api.RanNotRun
		return &found
	case reply.Program != nil:
		create := *asked.Create
		create.Branch = reply.Program.Branch
		asked.Create = &create
	case reply.Call != nil:
		asked.Sequence = reply.Call.Sequence
	}
	return nil
}

// The HTTP statuses of successful answers.
const (
	statusOK       = 200
	statusAccepted = 202
)

// refusedLocally tells an error of this node's state machine that a later
// attempt can mend from one that stands.
func refusedLocally(refusal *api.Error) outcome {
	result := refused(refusal)
	result.retry = hasMoved(refusal)
	result.unknown = refusal.Ran == api.RanOutcomeUnknown
	return result
}

// hasMoved reports whether an error says that the program is to be found at
// another node.
func hasMoved(refusal *api.Error) bool {
	return refusal.Code == api.CodeNotOwner || refusal.Code == api.CodeOwnerUnknown
}

// callState asks for the state of a call whose wait ended early. A program
// that moved to another node meanwhile is asked about there; the refusal that
// says so is about this look, and the call may have been admitted before.
func (g *Gateway) callState(asked control.Request) control.Reply {
	submits := asked.Submit != nil
	if submits {
		asked.Key = asked.Submit.Key
		asked.Sequence = 0
	}
	asked.Operation = control.OperationCall
	asked.Submit = nil
	asked.Wait = false
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	reply := g.service.Do(ctx, asked)
	if reply.Error == nil {
		return reply
	}
	if hasMoved(reply.Error) {
		moved := *reply.Error
		if submits {
			moved.Ran = api.RanOutcomeUnknown
		}
		return control.Reply{Error: &moved}
	}
	return control.Reply{Error: &api.Error{
		Code:    api.CodeTimeout,
		Message: "the call was not answered in time; ask again with the same key",
		Ran:     api.RanOutcomeUnknown,
		Retry:   true,
	}}
}
