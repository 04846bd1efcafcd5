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
	status  int
	body    []byte
	refusal *api.Error
	source  source
	// attempts is the number of attempts that were made.
	attempts int
	// pending is set when the slice of a wait ended before the call was
	// terminal; body is then the call's state.
	pending bool
	// owner is the address of the node to try instead, if known.
	owner string
}

// outcome is the result of one attempt.
type outcome struct {
	answer
	// retry is set when a later attempt, perhaps at another node, may succeed.
	retry bool
	// unknown is set when the attempt may have taken effect although it has no
	// successful answer.
	unknown bool
}

// refused returns the outcome of an attempt that ended with an error.
func refused(refusal *api.Error) outcome {
	return outcome{answer: answer{refusal: refusal}}
}

// stateQueryTimeout bounds the query for a call's state after a wait timed out.
const stateQueryTimeout = 2 * time.Second

// minimumSliceInterval is the shortest time between the starts of two slices of
// a wait.
const minimumSliceInterval = 50 * time.Millisecond

// perform tries the request at its owner until it is answered, or until the
// attempts, the retry budget or the time are used up. Requests from peers are
// tried once: only the node that the caller sent the request to retries.
//
// Retrying is safe although an attempt without an answer may have taken
// effect, because the owner deduplicates requests by key: a repeated create or
// submit returns the program or call that the first one made, and a repeated
// cancel or end changes nothing.
func (g *Gateway) perform(ctx context.Context, request *exchange) answer {
	hint := ""
	for attempt := 1; ; {
		started := time.Now()
		result := g.attempt(ctx, request, hint)
		result.attempts = attempt
		// The call of a pending wait or an open stream has been admitted.
		admitted := result.pending || result.source != nil
		request.mayHaveRun = request.mayHaveRun || result.unknown || admitted
		switch {
		case result.pending && !request.peer && wait.Until(ctx, started.Add(minimumSliceInterval)):
			// Begin the next slice of the wait; it is not a new attempt.
		case !result.retry || request.peer:
			if result.refusal == nil && !request.peer {
				g.budget.earn()
			}
			return settle(request, result.answer)
		case attempt >= g.config.MaximumAttempts || !g.budget.spend() || !g.waitRetryDelay(ctx, attempt):
			return settle(request, result.answer)
		default:
			attempt++
		}
		hint = result.owner
	}
}

// settle adapts the last refusal to the whole request: once an attempt may have
// taken effect, "not run" is no longer certain, and the outcome is unknown. For
// a peer the refusal keeps its code, because the peer may retry elsewhere.
func settle(request *exchange, last answer) answer {
	if last.refusal == nil {
		return last
	}
	settled := *last.refusal
	last.refusal = &settled
	if settled.Code == api.CodeNotOwner && !request.peer {
		// not_owner is used between nodes only.
		settled.Code = api.CodeOwnerUnknown
		settled.Message = "the program's owner changes"
	}
	if !request.mayHaveRun || !request.mutates() || settled.Ran != api.RanNotRun {
		return last
	}
	settled.Ran = api.RanOutcomeUnknown
	settled.Retry = true
	if !request.peer {
		settled.Code = api.CodeOutcomeUnknown
		settled.Location = ""
		settled.Message = "the owner was lost after the request was sent; ask again with the same key (last: " + settled.Message + ")"
	}
	return last
}

// attempt performs the request once, on this node or at the owner. hint, if not
// empty, is the address of the owner as another node reported it.
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
		return refusedByOwner(refusal)
	case route.Local:
		return g.local(ctx, request)
	case request.peer && !request.detour:
		result := refused(api.Refuse(api.CodeNotOwner, "node %s owns the program", route.Owner).WithRetryAfter(0))
		result.owner = route.Address
		return result
	default:
		return g.relayToOwner(request, route)
	}
}

// local performs the request on this node.
func (g *Gateway) local(ctx context.Context, request *exchange) outcome {
	command := request.request
	command.Wait = request.waits()
	if refusal := g.resolve(ctx, &command); refusal != nil {
		return refusedByOwner(refusal)
	}
	waitCtx, cancel := context.WithTimeout(ctx, g.answerTimeout(request))
	defer cancel()
	reply := g.service.Do(waitCtx, command)
	if reply.Error != nil && command.Wait && waitCtx.Err() != nil {
		reply = g.queryCallState(command)
	}
	if reply.Error != nil {
		return refusedByOwner(reply.Error)
	}
	if request.stream {
		return g.openLocal(request, reply.Call)
	}
	result := outcome{answer: answer{status: statusOK, body: replyBody(&command, &reply)}}
	if reply.Call != nil && !reply.Call.Status.Terminal() && command.Operation == control.OperationSubmit {
		result.status = statusAccepted
	}
	if reply.Call != nil && !reply.Call.Status.Terminal() && command.Wait {
		result.status = statusAccepted
		result.pending = true
	}
	return result
}

// answerTimeout returns the time limit for the owner's answer.
func (g *Gateway) answerTimeout(request *exchange) time.Duration {
	switch {
	case !request.waits():
		return g.config.RequestTimeout
	case request.peer:
		return g.config.WaitSlice
	default:
		return g.config.MaximumWait
	}
}

// resolve fills in what the caller may omit and only the owner can look up: the
// branch of a sub-agent, which defaults to its parent's, and the sequence
// number of a call to cancel that is identified by its key.
func (g *Gateway) resolve(ctx context.Context, command *control.Request) *api.Error {
	lookup := control.Request{Scope: command.Scope, Program: command.Program, Key: command.Key}
	switch {
	case command.Parent != "" && command.Create.Branch == "":
		lookup.Operation = control.OperationDescribe
		lookup.Program = command.Parent
	case command.Operation == control.OperationCancel && command.Key != "":
		lookup.Operation = control.OperationCall
	default:
		return nil
	}
	reply := g.service.Do(ctx, lookup)
	switch {
	case reply.Error != nil:
		found := *reply.Error
		found.Ran = api.RanNotRun
		return &found
	case reply.Program != nil:
		create := *command.Create
		create.Branch = reply.Program.Branch
		command.Create = &create
	case reply.Call != nil:
		command.Sequence = reply.Call.Sequence
	}
	return nil
}

// The HTTP statuses of successful answers.
const (
	statusOK       = 200
	statusAccepted = 202
)

// refusedByOwner returns the outcome of an error from the state machine of this
// node or of the owner. The attempt may be retried only if the program has
// moved.
func refusedByOwner(refusal *api.Error) outcome {
	result := refused(refusal)
	result.retry = ownerChanged(refusal)
	result.unknown = refusal.Ran == api.RanOutcomeUnknown
	return result
}

// ownerChanged reports whether an error means that another node owns the program,
// or that its owner is not known.
func ownerChanged(refusal *api.Error) bool {
	return refusal.Code == api.CodeNotOwner || refusal.Code == api.CodeOwnerUnknown
}

// queryCallState returns the state of a call whose wait timed out. If the program
// has moved to another node meanwhile, it returns an error on which perform
// retries at that node. That error concerns this query only; a submitted call
// may have been admitted before, so its outcome is unknown.
func (g *Gateway) queryCallState(command control.Request) control.Reply {
	submits := command.Submit != nil
	if submits {
		command.Key = command.Submit.Key
		command.Sequence = 0
	}
	command.Operation = control.OperationCall
	command.Submit = nil
	command.Wait = false
	ctx, cancel := context.WithTimeout(context.Background(), stateQueryTimeout)
	defer cancel()
	reply := g.service.Do(ctx, command)
	if reply.Error == nil {
		return reply
	}
	if ownerChanged(reply.Error) {
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
