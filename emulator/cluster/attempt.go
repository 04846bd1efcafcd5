package cluster

import (
	"fmt"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/zone"
)

// attempt is one attempt at a call, as tracked by the node that sent it.
type attempt struct {
	node      *node
	action    control.SendAttempt
	engine    *emulatedEngine
	execution *backendRun
	// ended is set once the outcome has been reported to the core or the node
	// has crashed.
	ended bool
}

// stream returns the name of the attempt's answer stream at an engine.
func (a *attempt) stream() string {
	ref := a.action.Attempt
	return fmt.Sprintf("%s/%d/%d", ref.Program, ref.Sequence, ref.Attempt)
}

// startAttempt sends an attempt to its back end, and ends it at its deadline.
func (n *node) startAttempt(action control.SendAttempt) {
	sent := &attempt{node: n, action: action}
	n.attempts[action.Attempt] = sent
	n.inputs[action.Attempt.CallRef] = action.Call.Input
	if !action.Deadline.IsZero() {
		n.cluster.after(action.Deadline.Sub(n.cluster.now), func() { sent.abort(api.CodeTimeout) })
	}
	if action.Call.Kind == api.CallTool {
		n.sendTool(sent)
		return
	}
	n.readPrompt(sent, func(calls []api.Call) {
		prompt := ""
		for _, call := range calls {
			prompt += call.Input + call.Output
		}
		n.sendModel(sent, prompt+action.Call.Input)
	})
}

// sendModel sends a model call to its engine.
func (n *node) sendModel(sent *attempt, prompt string) {
	if sent.ended {
		return
	}
	target := n.cluster.engine(sent.action.Backend.ID)
	if target == nil {
		sent.notSent("the engine is unknown")
		return
	}
	n.sendToZone(target.machine.Zone, sent, func() {
		if target.down {
			sent.notSent("the engine refused the connection")
			return
		}
		sent.engine = target
		sent.follow(target.generate(sent, prompt), target.machine.Zone)
	})
}

// sendTool sends a tool call to its service.
func (n *node) sendTool(sent *attempt) {
	target := n.cluster.tool(sent.action.Backend.ID)
	if target == nil {
		sent.notSent("the tool service is unknown")
		return
	}
	n.sendToZone(target.machine.Zone, sent, func() {
		if target.down {
			sent.notSent("the tool service refused the connection")
			return
		}
		sent.follow(target.execute(sent), target.machine.Zone)
	})
}

// sendToZone sends a request to a back end's zone. The request arrives even if
// the sender has abandoned it by then; on a blocked link it counts as not sent.
func (n *node) sendToZone(to zone.Name, sent *attempt, arrive func()) {
	n.cluster.transmit(n.self.Zone, to, arrive, func() {
		n.cluster.after(dialTimeout, func() { sent.notSent("no connection to the back end") })
	})
}

// follow subscribes to the end of an execution. If the attempt has already
// ended, an engine's execution is cancelled instead.
func (a *attempt) follow(execution *backendRun, from zone.Name) {
	a.execution = execution
	arrived := func(ok bool) {
		a.node.cluster.transmit(from, a.node.self.Zone, func() { a.finish(ok) }, func() {
			a.node.cluster.after(streamTimeout, func() { a.abort(api.CodeBackendFailed) })
		})
	}
	if execution.finished {
		arrived(true)
		return
	}
	if a.ended && a.engine != nil {
		a.engine.cancel(a)
		return
	}
	execution.listeners = append(execution.listeners, arrived)
}

// finish reports the back end's result to the core; ok is false if the
// execution was interrupted.
func (a *attempt) finish(ok bool) {
	if !ok {
		a.abort(api.CodeBackendFailed)
		return
	}
	ended := control.AttemptEnded{Outcome: program.Outcome{
		Status: api.StatusSucceeded, Output: a.execution.output, Usage: a.execution.usage,
	}}
	if a.engine != nil {
		load := a.engine.load()
		ended.Load = &load
		ended.Resident = a.execution.resident
	}
	a.report(ended)
}

// abort ends an attempt that may have run: a model call counts as failed, a
// tool call's outcome as unknown.
func (a *attempt) abort(code api.Code) {
	if a.ended {
		return
	}
	outcome := program.Outcome{Status: api.StatusFailed}
	failure := &api.Error{Code: code, Message: "the attempt was given up", Ran: api.RanFailed, Retry: true}
	if a.action.Call.Kind == api.CallTool {
		outcome.Status = api.StatusOutcomeUnknown
		failure.Ran = api.RanOutcomeUnknown
	}
	outcome.Error = failure
	a.report(control.AttemptEnded{Outcome: outcome})
	a.disconnect()
}

// notSent ends an attempt that certainly did not reach its back end.
func (a *attempt) notSent(reason string) {
	a.report(control.AttemptEnded{Outcome: program.Outcome{
		Status: api.StatusNotRun, Error: api.Refuse(api.CodeBackendFailed, "%s", reason).WithRetryAfter(0),
	}})
}

// report posts the outcome to the core, once.
func (a *attempt) report(ended control.AttemptEnded) {
	if a.ended {
		return
	}
	a.ended = true
	ended.Backend = a.action.Backend.ID
	ended.Outcome.Attempt = a.action.Attempt
	delete(a.node.attempts, a.action.Attempt)
	if a.node.running {
		a.node.post(ended)
	}
}

// disconnect closes the attempt's connection; an engine then cancels the answer,
// unless it has a new listener by then.
func (a *attempt) disconnect() {
	a.ended = true
	if a.execution == nil || a.engine == nil || a.execution.finished {
		return
	}
	a.execution.listeners = nil
	a.node.cluster.after(a.node.cluster.jitter(a.node.cluster.config.LinkDelay), func() { a.engine.cancel(a) })
}

// stopAttempt cancels an attempt; its outcome is still reported.
func (n *node) stopAttempt(ref program.AttemptRef) {
	if sent, found := n.attempts[ref]; found {
		sent.abort(api.CodeCancelled)
	}
}

// started returns the history's record of the attempt's start at a back end.
func (a *attempt) started(backend machine.Machine, promptHash uint64) *history.AttemptStarted {
	ref := a.action.Attempt
	return &history.AttemptStarted{
		Backend: backend.ID, Zone: backend.Zone, Program: ref.Program, Sequence: ref.Sequence, Attempt: ref.Attempt,
		Kind: a.action.Call.Kind, Repeatable: a.action.Call.Kind == api.CallModel || a.action.Call.Repeatable,
		PromptHash: promptHash,
	}
}

// finished returns the history's record of the attempt's end at its back end.
func (a *attempt) finished(outcome history.Outcome, ended *backendRun) *history.AttemptFinished {
	ref := a.action.Attempt
	return &history.AttemptFinished{
		Backend: a.action.Backend.ID, Program: ref.Program, Sequence: ref.Sequence, Attempt: ref.Attempt,
		Outcome: outcome, Output: ended.output, Usage: ended.usage,
	}
}

// lookUp queries a tool service for the output stored under a call's key.
func (n *node) lookUp(action control.LookUpKey) {
	c := n.cluster
	answer := n.whileRunning(func(err error) {
		result := program.LookupResult{Call: action.Call, Err: err}
		if target := c.tool(action.Backend.ID); err == nil && target != nil {
			result.Output, result.Found = target.outputs[action.Key]
		}
		n.post(control.LookupReturned{Result: result})
	})
	target := c.tool(action.Backend.ID)
	if target == nil || target.down || c.blockedLinks[zonePair{n.self.Zone, target.machine.Zone}] || c.blockedLinks[zonePair{target.machine.Zone, n.self.Zone}] {
		c.after(dialTimeout, func() { answer(errNoAnswer) })
		return
	}
	c.after(c.jitter(2*c.config.LinkDelay), func() { answer(nil) })
}

// sendIdempotent sends a back end a request that is read-only or idempotent, and
// calls done at the node once it was answered or failed.
func (n *node) sendIdempotent(id machine.ID, at zone.Name, down bool, done func(err error)) {
	c := n.cluster
	answer := n.whileRunning(done)
	if down || c.blockedLinks[zonePair{n.self.Zone, at}] || c.blockedLinks[zonePair{at, n.self.Zone}] || id == "" {
		c.after(dialTimeout, func() { answer(errNoAnswer) })
		return
	}
	c.after(c.jitter(2*c.config.LinkDelay), func() { answer(nil) })
}

// queryBackend requests an engine's load.
func (n *node) queryBackend(action control.QueryBackend) {
	target := n.cluster.engine(action.Backend.ID)
	if target == nil {
		n.post(control.BackendObserved{Backend: action.Backend.ID})
		return
	}
	n.sendIdempotent(target.machine.ID, target.machine.Zone, target.down, func(err error) {
		event := control.BackendObserved{Backend: target.machine.ID, Err: err}
		if err == nil {
			load := target.load()
			event.Load = &load
		}
		n.post(event)
	})
}

// listPrefixes requests the list of an engine's cached prefixes.
func (n *node) listPrefixes(action control.ListPrefixes) {
	target := n.cluster.engine(action.Backend.ID)
	if target == nil {
		return
	}
	n.sendIdempotent(target.machine.ID, target.machine.Zone, target.down, func(err error) {
		event := control.PrefixesListed{Backend: target.machine.ID, Err: err}
		if err == nil {
			event.Prefixes = target.list()
		}
		n.post(event)
	})
}

// lostReleaseShare is the share of release requests that do not reach their
// engine.
const lostReleaseShare = 0.1

// releasePrefix requests that an engine drop a program's cached prefix.
func (n *node) releasePrefix(action control.ReleasePrefix) {
	target := n.cluster.engine(action.Backend.ID)
	if target == nil {
		return
	}
	lost := n.cluster.chance(lostReleaseShare)
	n.sendIdempotent(target.machine.ID, target.machine.Zone, target.down || lost, func(err error) {
		if err == nil {
			delete(target.prefixes, action.Owner)
		}
		n.post(control.PrefixReleased{Backend: target.machine.ID, Owner: action.Owner, Err: err})
	})
}
