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

// attempt is one attempt at a call, as the node that sent it follows it.
type attempt struct {
	node   *node
	action control.SendAttempt
	engine *emulatedEngine
	begun  *run
	// ended is set once the core has been told the outcome.
	ended bool
}

// stream is the name of the answer at an engine.
func (a *attempt) stream() string {
	of := a.action.Attempt
	return fmt.Sprintf("%s/%d/%d", of.Program, of.Sequence, of.Attempt)
}

// startAttempt sends an attempt to its back end.
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
	n.reach(target.machine.Zone, sent, func() {
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
	n.reach(target.machine.Zone, sent, func() {
		if target.down {
			sent.notSent("the tool service refused the connection")
			return
		}
		sent.follow(target.execute(sent), target.machine.Zone)
	})
}

// reach carries a request to a back end's zone. A request whose sender has
// given it up by then still arrives; one behind a cut was never sent.
func (n *node) reach(to zone.Name, sent *attempt, arrive func()) {
	n.cluster.travel(n.self.Zone, to, arrive, func() {
		n.cluster.after(dialTimeout, func() { sent.notSent("no connection to the back end") })
	})
}

// follow waits for the end of a run, unless the attempt is over.
func (a *attempt) follow(begun *run, from zone.Name) {
	a.begun = begun
	arrived := func(ok bool) {
		a.node.cluster.travel(from, a.node.self.Zone, func() { a.finish(ok) }, func() {
			a.node.cluster.after(streamSilence, func() { a.abort(api.CodeBackendFailed) })
		})
	}
	if begun.finished {
		arrived(true)
		return
	}
	if a.ended && a.engine != nil {
		a.engine.cancel(a)
		return
	}
	begun.listeners = append(begun.listeners, arrived)
}

// finish tells the core how the back end ended the attempt.
func (a *attempt) finish(ok bool) {
	if !ok {
		a.abort(api.CodeBackendFailed)
		return
	}
	ended := control.AttemptEnded{Outcome: program.Outcome{
		Status: api.StatusSucceeded, Output: a.begun.output, Usage: a.begun.usage,
	}}
	if a.engine != nil {
		load := a.engine.load()
		ended.Load = &load
		ended.Resident = a.begun.resident
	}
	a.tell(ended)
}

// abort ends an attempt that may have run: a model call failed, a tool call's
// outcome is unknown.
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
	a.tell(control.AttemptEnded{Outcome: outcome})
	a.disconnect()
}

// notSent ends an attempt that certainly reached nobody.
func (a *attempt) notSent(reason string) {
	a.tell(control.AttemptEnded{Outcome: program.Outcome{
		Status: api.StatusNotRun, Error: api.Refuse(api.CodeBackendFailed, "%s", reason).After(0),
	}})
}

// tell posts the outcome to the core, once.
func (a *attempt) tell(ended control.AttemptEnded) {
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

// disconnect closes the attempt's connection; an engine then stops the answer
// if nobody else follows it.
func (a *attempt) disconnect() {
	a.ended = true
	if a.begun == nil || a.engine == nil || a.begun.finished {
		return
	}
	a.begun.listeners = nil
	a.node.cluster.after(a.node.cluster.jitter(a.node.cluster.config.LinkDelay), func() { a.engine.cancel(a) })
}

// stopAttempt cancels an attempt; its outcome still follows.
func (n *node) stopAttempt(of program.AttemptRef) {
	if sent, found := n.attempts[of]; found {
		sent.abort(api.CodeCancelled)
	}
}

// started and finished are the attempt as its back end sees it.
func (a *attempt) started(backend machine.Machine, promptHash uint64) *history.AttemptStarted {
	of := a.action.Attempt
	return &history.AttemptStarted{
		Backend: backend.ID, Zone: backend.Zone, Program: of.Program, Sequence: of.Sequence, Attempt: of.Attempt,
		Kind: a.action.Call.Kind, Repeatable: a.action.Call.Kind == api.CallModel || a.action.Call.Repeatable,
		PromptHash: promptHash,
	}
}

func (a *attempt) finished(outcome history.Outcome, ended *run) *history.AttemptFinished {
	of := a.action.Attempt
	return &history.AttemptFinished{
		Backend: a.action.Backend.ID, Program: of.Program, Sequence: of.Sequence, Attempt: of.Attempt,
		Outcome: outcome, Output: ended.output, Usage: ended.usage,
	}
}

// lookUp asks a tool service about a key.
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
	if target == nil || target.down || c.cuts[zonePair{n.self.Zone, target.machine.Zone}] || c.cuts[zonePair{target.machine.Zone, n.self.Zone}] {
		c.after(dialTimeout, func() { answer(errNoAnswer) })
		return
	}
	c.after(c.jitter(2*c.config.LinkDelay), func() { answer(nil) })
}

// askBackend performs a request to a back end that has no effect, or one that
// may be repeated.
func (n *node) askBackend(id machine.ID, at zone.Name, down bool, ask func(err error)) {
	c := n.cluster
	answer := n.whileRunning(ask)
	if down || c.cuts[zonePair{n.self.Zone, at}] || c.cuts[zonePair{at, n.self.Zone}] || id == "" {
		c.after(dialTimeout, func() { answer(errNoAnswer) })
		return
	}
	c.after(c.jitter(2*c.config.LinkDelay), func() { answer(nil) })
}

// queryBackend asks for a back end's load.
func (n *node) queryBackend(action control.QueryBackend) {
	target := n.cluster.engine(action.Backend.ID)
	if target == nil {
		n.post(control.BackendObserved{Backend: action.Backend.ID})
		return
	}
	n.askBackend(target.machine.ID, target.machine.Zone, target.down, func(err error) {
		event := control.BackendObserved{Backend: target.machine.ID, Err: err}
		if err == nil {
			load := target.load()
			event.Load = &load
		}
		n.post(event)
	})
}

// listPrefixes asks an engine for its cached prefixes.
func (n *node) listPrefixes(action control.ListPrefixes) {
	target := n.cluster.engine(action.Backend.ID)
	if target == nil {
		return
	}
	n.askBackend(target.machine.ID, target.machine.Zone, target.down, func(err error) {
		event := control.PrefixesListed{Backend: target.machine.ID, Err: err}
		if err == nil {
			event.Prefixes = target.list()
		}
		n.post(event)
	})
}

// lostReleases is the share of releases that never reach their engine.
const lostReleases = 0.1

// releasePrefix frees a program's memory at an engine.
func (n *node) releasePrefix(action control.ReleasePrefix) {
	target := n.cluster.engine(action.Backend.ID)
	if target == nil {
		return
	}
	lost := n.cluster.chance(lostReleases)
	n.askBackend(target.machine.ID, target.machine.Zone, target.down || lost, func(err error) {
		if err == nil {
			delete(target.prefixes, action.Owner)
		}
		n.post(control.PrefixReleased{Backend: target.machine.ID, Owner: action.Owner, Err: err})
	})
}
