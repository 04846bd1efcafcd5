package cluster

import (
	"fmt"
	"strconv"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/partition"
)

// CallPlan describes one call of a program.
type CallPlan struct {
	Tool       bool
	Repeatable bool
}

// ProgramPlan describes a program: its branch, its calls and how it sends them.
type ProgramPlan struct {
	Branch contract.Path
	Calls  []CallPlan
	// Pipelined sends all calls at once, through different nodes.
	Pipelined bool
	// BudgetTokens is a budget below the branch's; zero uses the branch's.
	BudgetTokens int64
	// Agent is the plan of a sub-agent that runs before the last call.
	Agent *ProgramPlan
	// Pause is the time between the answer to a call and the next call.
	Pause time.Duration
	// Twice sends the creation and each call a second time, through a node
	// drawn anew, without waiting for the first answer.
	Twice bool
}

// agent emulates the caller of one program.
type agent struct {
	cluster *Cluster
	plan    ProgramPlan
	key     string
	parent  api.ProgramID
	id      api.ProgramID
	answers int
	done    bool
	refused bool
	after   func()
}

// StartProgram starts a program, which proceeds as virtual time advances.
func (c *Cluster) StartProgram(plan ProgramPlan) {
	c.startAgent(plan, "", func() {})
}

func (c *Cluster) startAgent(plan ProgramPlan, parent api.ProgramID, after func()) {
	started := &agent{cluster: c, plan: plan, parent: parent, after: after}
	started.key = fmt.Sprintf("program-%d", len(c.agents)+1)
	c.agents = append(c.agents, started)
	started.create()
}

// Limits of the delay before a request is sent again.
const (
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 4 * time.Second
)

// sendUntilAnswered sends a request, with retries, until it has a final answer,
// and passes it to then, once. build creates the request for each node anew,
// because the program ID may depend on the settings that the node has resolved.
func (a *agent) sendUntilAnswered(sent history.Sent, build func(at *node) (control.Request, bool), then func(control.Reply)) {
	a.sendWithBackoff(sent, build, then, firstBackoff)
}

func (a *agent) sendWithBackoff(sent history.Sent, build func(at *node) (control.Request, bool), then func(control.Reply), backoff time.Duration) {
	c := a.cluster
	sendAgain := func(wait time.Duration) {
		c.after(wait+c.jitter(wait/4), func() { a.sendWithBackoff(sent, build, then, min(2*backoff, longestBackoff)) })
	}
	at := c.nodes[c.random.IntN(len(c.nodes))]
	request, ready := control.Request{}, false
	if at.running && !at.paused {
		request, ready = build(at)
	}
	if !ready {
		sendAgain(backoff)
		return
	}
	c.requests++
	sent.Request = strconv.FormatUint(c.requests, 10)
	sent.Node = at.self.ID
	sent.Program = request.Program
	if sent.Operation == history.OperationCreate {
		sent.Program = ""
	}
	c.record(history.Event{Sent: &sent})
	ended := false
	disconnect := c.request(at, request, func(reply control.Reply) {
		ended = true
		c.record(history.Event{Got: gotEvent(sent, request, reply)})
		if wait, retry := retryAfter(reply); retry {
			sendAgain(max(wait, backoff))
			return
		}
		then(reply)
	}, func(refused bool) {
		ended = true
		c.record(history.Event{Lost: &history.Lost{Request: sent.Request, NotSent: refused}})
		sendAgain(backoff)
	})
	c.after(callerTimeout, func() {
		if !ended {
			disconnect()
			c.record(history.Event{Lost: &history.Lost{Request: sent.Request, HungUp: true}})
			sendAgain(backoff)
		}
	})
}

// retryAfter reports whether the same request may still succeed, and the
// retry delay that the reply specifies.
func retryAfter(reply control.Reply) (time.Duration, bool) {
	refusal := reply.Error
	if refusal == nil || !refusal.Retry && refusal.Ran != api.RanOutcomeUnknown {
		return 0, false
	}
	return time.Duration(refusal.RetryAfterMilliseconds) * time.Millisecond, true
}

// gotEvent returns the history's record of a reply.
func gotEvent(sent history.Sent, request control.Request, reply control.Reply) *history.Got {
	got := &history.Got{Request: sent.Request}
	switch {
	case reply.Error != nil:
		got.Code, got.Ran = reply.Error.Code, reply.Error.Ran
	case reply.Call != nil:
		call := reply.Call
		got.Program, got.Sequence, got.Status = call.Program, call.Sequence, call.Status
		got.Output, got.Usage = call.Output, call.Usage
		if call.Error != nil {
			got.Code, got.Ran = call.Error.Code, call.Error.Ran
		}
	case reply.Program != nil:
		got.Program = reply.Program.ID
		got.SpentTokens, got.BudgetTokens = reply.Program.SpentTokens, reply.Program.BudgetTokens
	default:
		got.Program = request.Program
	}
	return got
}

// create creates the program, then makes its calls.
func (a *agent) create() {
	branch := a.plan.Branch
	build := func(at *node) (control.Request, bool) {
		request := control.Request{
			Operation: control.OperationCreate, Scope: branch, Parent: a.parent,
			Create: &api.CreateProgram{Branch: string(branch), Key: a.key, BudgetTokens: a.plan.BudgetTokens},
		}
		var err error
		if a.parent != "" {
			request.Program, err = partition.NewChildID(a.parent, a.key)
		} else {
			request.Program, err = at.core.ProgramIDFor(branch, a.key)
		}
		return request, err == nil
	}
	sent := history.Sent{Operation: history.OperationCreate, Branch: string(branch), Key: a.key}
	a.sendUntilAnswered(sent, build, func(reply control.Reply) {
		if reply.Error != nil {
			a.finish()
			return
		}
		a.id = reply.Program.ID
		a.cluster.record(history.Event{ProgramCreated: &history.ProgramCreated{
			Program: a.id, Branch: string(branch), Parent: a.parent, BudgetTokens: reply.Program.BudgetTokens,
		}})
		a.makeCalls()
	})
	if a.plan.Twice {
		a.sendUntilAnswered(sent, build, func(control.Reply) {})
	}
}

// makeCalls sends all calls of a pipelined program, or else the first call.
func (a *agent) makeCalls() {
	if len(a.plan.Calls) == 0 {
		a.readHistory()
		return
	}
	if !a.plan.Pipelined {
		a.call(1)
		return
	}
	for _, i := range a.cluster.random.Perm(len(a.plan.Calls)) {
		a.call(uint64(i + 1))
	}
}

// maxOutputTokens is the output limit of every model call, in tokens.
const maxOutputTokens = 16

// call sends the call with the given sequence number.
func (a *agent) call(sequence uint64) {
	plan := a.plan.Calls[sequence-1]
	submit := api.SubmitCall{
		Key: fmt.Sprintf("call-%d", sequence), Sequence: sequence,
		Input: fmt.Sprintf("[%s %d]", a.key, sequence),
	}
	if plan.Tool {
		submit.Kind, submit.Tool, submit.Repeatable = api.CallTool, toolName, plan.Repeatable
	} else {
		submit.Kind, submit.Model, submit.MaxOutputTokens = api.CallModel, modelName, maxOutputTokens
	}
	sent := history.Sent{
		Operation: history.OperationSubmit, Key: submit.Key, Sequence: sequence, Kind: submit.Kind,
		Repeatable: !plan.Tool || plan.Repeatable, Input: submit.Input, OutputCap: submit.MaxOutputTokens,
	}
	build := func(*node) (control.Request, bool) {
		copied := submit
		return control.Request{
			Operation: control.OperationSubmit, Scope: a.plan.Branch, Program: a.id, Submit: &copied, Wait: true,
		}, true
	}
	a.sendUntilAnswered(sent, build, func(reply control.Reply) { a.answered(sequence, reply) })
	if a.plan.Twice {
		a.sendUntilAnswered(sent, build, func(control.Reply) {})
	}
}

// answered continues after the final answer to a call. A sequential program
// ends after a refusal that can't be retried; a pipelined one waits for the
// answers to all its calls.
func (a *agent) answered(sequence uint64, reply control.Reply) {
	a.answers++
	a.refused = a.refused || reply.Error != nil
	count := uint64(len(a.plan.Calls))
	switch {
	case a.plan.Pipelined:
		if a.answers == len(a.plan.Calls) {
			a.readHistory()
		}
	case a.refused || sequence == count:
		a.readHistory()
	case a.plan.Agent != nil && sequence == count-1:
		a.cluster.startAgent(*a.plan.Agent, a.id, func() { a.call(count) })
	default:
		a.cluster.after(a.plan.Pause, func() { a.call(sequence + 1) })
	}
}

// readHistory reads the program's history and its budget, then ends the program.
func (a *agent) readHistory() {
	a.readHistoryPage(1, &history.Read{Program: a.id, SentAt: a.cluster.now})
}

// readHistoryPage reads the calls from a sequence number on, page by page.
func (a *agent) readHistoryPage(from uint64, read *history.Read) {
	sent := history.Sent{Operation: history.OperationAttach, Key: fmt.Sprintf("history-%d", from)}
	a.sendUntilAnswered(sent, a.plainRequest(control.Request{Operation: control.OperationHistory, Sequence: from}), func(reply control.Reply) {
		if reply.Error != nil {
			a.finish()
			return
		}
		for _, call := range reply.History.Calls {
			read.Calls = append(read.Calls, history.ReadCall{
				Sequence: call.Sequence, Key: call.Key, Status: call.Status, Input: call.Input, Output: call.Output,
			})
		}
		if reply.History.Next != 0 {
			a.readHistoryPage(reply.History.Next, read)
			return
		}
		a.cluster.record(history.Event{Read: read})
		a.describe()
	})
}

// describe requests the program's state with its spent budget, then ends the
// program.
func (a *agent) describe() {
	sent := history.Sent{Operation: history.OperationDescribe}
	a.sendUntilAnswered(sent, a.plainRequest(control.Request{Operation: control.OperationDescribe}), func(control.Reply) {
		end := history.Sent{Operation: history.OperationEnd}
		a.sendUntilAnswered(end, a.plainRequest(control.Request{Operation: control.OperationEnd, Reason: "done"}), func(control.Reply) {
			a.finish()
		})
	})
}

// plainRequest returns a build function for a request about this program.
func (a *agent) plainRequest(request control.Request) func(*node) (control.Request, bool) {
	request.Scope = a.plan.Branch
	request.Program = a.id
	return func(*node) (control.Request, bool) { return request, true }
}

// finish marks the caller as done and runs its continuation.
func (a *agent) finish() {
	a.done = true
	a.after()
}
