package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

const (
	// failureDetectionDelay is how long a node takes to detect that a peer does
	// not answer.
	failureDetectionDelay = time.Second
	// maximumAttempts is the largest number of attempts at one call.
	maximumAttempts = 4
)

// node is one scheduler node: its policy and the open calls of the programs that
// it owns.
type node struct {
	run    *simulation
	index  int
	zone   zone.Name
	policy schedule.Policy
	// heldLimit is how long a call may be held before it counts as a violation:
	// the maximum hold time of the policy plus heldReviewInterval.
	heldLimit time.Duration
	// calls are the calls that have not been closed.
	calls map[callKey]*call
	// dirty is set while the node is in the simulation's list of dirty nodes.
	dirty bool
	// wakeAt is the earliest pending wake of the policy, zero if there is none.
	wakeAt time.Time
}

// markDirty makes the policy decide at the end of the current instant.
func (n *node) markDirty() {
	if n.dirty {
		return
	}
	n.dirty = true
	n.run.dirty = append(n.run.dirty, n)
}

// decide applies the policy's decisions and schedules its next wake.
func (n *node) decide() {
	n.dirty = false
	for _, decision := range n.policy.Ready(n.run.clock.now) {
		n.perform(decision)
	}
	next := n.policy.NextWake()
	if next.IsZero() || !n.wakeAt.IsZero() && !n.wakeAt.After(next) {
		return
	}
	n.wakeAt = next
	n.run.clock.at(next, func() {
		if n.wakeAt.Equal(next) {
			n.wakeAt = time.Time{}
			n.markDirty()
		}
	})
}

// perform applies one decision of the policy.
func (n *node) perform(decision schedule.Decision) {
	switch decision.Action {
	case schedule.ActionPlace:
		n.place(decision)
	case schedule.ActionRefuse:
		if refused := n.calls[callKey{decision.Call.Program, decision.Call.Sequence}]; refused != nil {
			n.refuse(refused, decision.Error.Code)
		}
	case schedule.ActionDrop:
		n.run.measure.result.PrefixDrops++
		n.sendToEngine(decision.Backend, func(host *engineHost) { host.release(decision.Program) })
	case schedule.ActionExport:
		target := n.run.engineByID[decision.ExportTo]
		n.sendToEngine(decision.Backend, func(host *engineHost) {
			if target != nil && host.transfer(decision.Program, target) {
				n.run.measure.result.Imports++
			}
		})
	case schedule.ActionLoad:
		n.order(decision.Backend, enginemodel.Order{Load: decision.Model})
	case schedule.ActionUnload:
		n.order(decision.Backend, enginemodel.Order{Unload: decision.Model})
	}
}

// order sends an order to an engine with a new fencing token. For a load it
// reserves the transfer of the weights at the weight store.
func (n *node) order(to machine.ID, order enginemodel.Order) {
	n.run.fence++
	order.Fence = n.run.fence
	n.run.measure.result.ModelOrders++
	if order.Load != "" {
		order.WeightsIn = n.run.weights.Reserve(n.run.clock.now, order.Load)
	}
	n.sendToEngine(to, func(host *engineHost) {
		if host.step(enginemodel.Event{Order: &order}) != nil {
			return
		}
		host.machine.Models = host.model.Models()
		n.run.announceMachines()
	})
}

// sendToEngine runs an action at an engine after the link delay. The message is
// lost if the direction is blocked.
func (n *node) sendToEngine(id machine.ID, action func(*engineHost)) {
	host := n.run.engineByID[id]
	if host == nil || n.run.links.isBlocked(n.zone, host.machine.Zone) {
		return
	}
	n.run.clock.after(n.run.links.delay(n.zone, host.machine.Zone), func() { action(host) })
}

// accept processes a call whose record is durable: it checks the limits and
// reserves the budget, then passes the call to the policy.
func (n *node) accept(accepted *call) {
	issuer := accepted.agent
	if issuer.ended {
		return
	}
	n.calls[callKey{issuer.id, accepted.sequence}] = accepted
	n.run.check.accepted(accepted)
	if code := issuer.limit(accepted); code != "" {
		n.refuse(accepted, code)
		return
	}
	issuer.reserve(accepted)
	n.enqueue(accepted)
}

// enqueue passes a call to the policy.
func (n *node) enqueue(queued *call) {
	issuer := queued.agent
	request := schedule.Request{
		Call:           queued.ref(),
		Kind:           api.CallModel,
		Model:          queued.step.Model,
		Tenant:         string(issuer.program.Branch),
		Placement:      issuer.placement,
		Priority:       issuer.program.Priority,
		PromptTokens:   queued.prompt,
		OutputCap:      queued.step.OutputCap,
		AttainedTokens: issuer.attained,
		Arrived:        issuer.start,
		Enqueued:       n.run.clock.now,
		Deadline:       issuer.deadline(),
		Avoid:          queued.avoid,
	}
	if queued.step.Kind == workload.StepTool {
		request.Kind = api.CallTool
		request.Model = ""
		request.Tool = queued.step.Tool
	}
	queued.inFlight = false
	queued.heldSince = n.run.clock.now
	n.policy.Enqueue(n.run.clock.now, request)
	n.markDirty()
}

// place sends a call to the back end that the policy chose.
func (n *node) place(decision schedule.Decision) {
	placed := n.calls[callKey{decision.Call.Program, decision.Call.Sequence}]
	if placed == nil {
		n.run.check.report("order", "call %s/%d was placed but is not open", decision.Call.Program, decision.Call.Sequence)
		return
	}
	if placed.inFlight {
		n.run.check.report("at most once", "call %d of %s was placed again while in flight", placed.sequence, placed.agent.id)
		return
	}
	placed.attempt++
	placed.backend = decision.Backend
	placed.inFlight = true
	if !n.run.check.placed(n.run, placed) {
		n.finish(placed, api.StatusFailed, api.CodeNoPermittedPlace)
		return
	}
	if placed.step.Kind == workload.StepTool {
		n.sendTool(placed)
		return
	}
	n.sendModel(placed, decision)
}

// sendModel sends a model call. If the decision includes an import, the program's
// prefix is transferred to the engine first.
func (n *node) sendModel(placed *call, decision schedule.Decision) {
	host := n.run.engineByID[placed.backend]
	attempt := placed.attempt
	issuer := placed.agent
	n.run.measure.placed(placed)
	issuer.addEngine(placed.backend)
	placed.stream = fmt.Sprintf("%s/%d/%d", issuer.id, placed.sequence, attempt)
	if n.run.links.isBlocked(n.zone, host.machine.Zone) {
		n.run.clock.after(failureDetectionDelay, func() { n.attemptFailed(placed, attempt, true) })
		return
	}
	source := n.run.engineByID[decision.ImportFrom]
	n.run.clock.after(n.run.links.delay(n.zone, host.machine.Zone), func() {
		if source != nil && source != host && source.transfer(issuer.id, host) {
			n.run.measure.result.Imports++
		}
		n.submitToEngine(placed, host, decision.EnginePriority, attempt)
	})
}

// submitToEngine submits a model call to its engine on arrival there.
func (n *node) submitToEngine(placed *call, host *engineHost, priority, attempt int) {
	if placed.closed || placed.attempt != attempt {
		return
	}
	n.run.check.arrives(n.run, placed, host.leavingSince)
	var err error
	if host.down {
		err = enginemodel.ErrLeaving
	} else {
		host.calls[placed.stream] = placed
		err = host.step(enginemodel.Event{Generate: &enginemodel.Generate{
			Stream:          placed.stream,
			Owner:           placed.agent.id,
			Model:           placed.step.Model,
			Priority:        priority,
			PromptTokens:    placed.prompt,
			OutputTokens:    placed.step.OutputTokens,
			MaxOutputTokens: placed.step.OutputCap,
		}})
	}
	if err == nil {
		placed.sent = true
		return
	}
	delete(host.calls, placed.stream)
	returnDelay := n.run.links.delay(host.machine.Zone, n.zone)
	n.run.clock.after(returnDelay, func() { n.releaseAndRetry(placed, host.machine.ID) })
}

// releaseAndRetry reports a failed attempt to the policy as finished and retries
// the call elsewhere.
func (n *node) releaseAndRetry(placed *call, backend machine.ID) {
	if placed.closed {
		return
	}
	n.policy.Finished(n.run.clock.now, placed.ref(), backend, api.Usage{}, 0)
	n.markDirty()
	n.retry(placed, backend)
}

// streamBroken retries a model call whose stream was interrupted.
func (n *node) streamBroken(placed *call) { n.attemptFailed(placed, placed.attempt, false) }

// attemptFailed retries a model call unless a later attempt has been made. unsent
// means that the attempt did not reach the engine.
func (n *node) attemptFailed(placed *call, attempt int, unsent bool) {
	if placed.closed || placed.attempt != attempt {
		return
	}
	placed.sent = placed.sent || !unsent
	n.releaseAndRetry(placed, placed.backend)
}

// retry enqueues a call again and excludes the back end that failed. The call
// fails after maximumAttempts.
func (n *node) retry(failed *call, backend machine.ID) {
	if failed.agent.disconnected {
		n.finish(failed, api.StatusCancelled, "")
		return
	}
	if failed.attempt >= maximumAttempts {
		n.finish(failed, api.StatusFailed, api.CodeBackendFailed)
		return
	}
	n.run.measure.result.Retries++
	if !slices.Contains(failed.avoid, backend) {
		failed.avoid = append(failed.avoid, backend)
	}
	n.enqueue(failed)
}

// modelFinished processes the end of a stream.
func (n *node) modelFinished(ended *call, host *engineHost, answer enginemodel.Finished) {
	n.policy.ObserveLoad(n.run.clock.now, answer.Load)
	n.markDirty()
	if ended.closed || answer.Stream != ended.stream {
		return
	}
	n.policy.Finished(n.run.clock.now, ended.ref(), host.machine.ID, answer.Usage, answer.Resident)
	n.run.check.answered(ended, answer)
	n.run.measure.modelEnded(ended, answer)
	n.run.measure.tokenTimes(ended, answer, n.run.clock.now, n.run.links.delay(host.machine.Zone, n.zone))
	if answer.Cancelled {
		n.finish(ended, api.StatusCancelled, api.CodeCancelled)
		return
	}
	ended.agent.settle(ended, answer.Usage)
	n.finish(ended, api.StatusSucceeded, "")
}

// refuse closes a call that is not in flight: as not run, or as failed if an
// earlier attempt may have run.
func (n *node) refuse(refused *call, code api.Code) {
	if refused.inFlight {
		n.run.check.report("true not_run", "call %d of %s was refused while in flight", refused.sequence, refused.agent.id)
		return
	}
	if refused.sent {
		// An earlier attempt may have run, so not_run would be false.
		n.finish(refused, api.StatusFailed, code)
		return
	}
	n.finish(refused, api.StatusNotRun, code)
}

// finish closes a call and answers the caller once the outcome is durable.
func (n *node) finish(ended *call, status api.CallStatus, code api.Code) {
	ended.closed = true
	delete(n.calls, callKey{ended.agent.id, ended.sequence})
	n.run.check.closed(ended, status)
	if ended.agent.disconnected {
		n.end(ended.agent)
		return
	}
	delay := n.run.config.JournalDelay + n.run.config.Deployment.ClientDelay
	n.run.clock.after(delay, func() { ended.agent.answer(ended, status, code) })
}

// disconnect stops a program whose caller has disconnected: it withdraws or
// cancels the open call, or ends the program if there is none.
func (n *node) disconnect(abandoned *agent) {
	open := n.calls[callKey{abandoned.id, abandoned.sequence}]
	if open == nil || open.closed {
		n.end(abandoned)
		return
	}
	if n.policy.Withdraw(open.ref()) {
		n.markDirty()
		n.finish(open, api.StatusCancelled, api.CodeCancelled)
		return
	}
	if open.step.Kind == workload.StepModel && open.stream != "" {
		stream := open.stream
		n.sendToEngine(open.backend, func(host *engineHost) {
			_ = host.step(enginemodel.Event{Cancel: &enginemodel.Cancel{Stream: stream}})
		})
	}
}

// heldReviewInterval is the time between two searches for calls that the policy
// holds too long, and the tolerance beyond the policy's maximum hold time.
const heldReviewInterval = 30 * time.Second

// refuseOverdue reports and refuses the calls that the policy has neither placed
// nor refused within heldLimit, and schedules the next review.
func (n *node) refuseOverdue() {
	n.run.clock.after(heldReviewInterval, n.refuseOverdue)
	var overdue []*call
	for _, each := range n.calls {
		if !each.inFlight && n.run.clock.now.Sub(each.heldSince) > n.heldLimit {
			overdue = append(overdue, each)
		}
	}
	slices.SortFunc(overdue, func(a, b *call) int { return strings.Compare(string(a.agent.id), string(b.agent.id)) })
	for _, each := range overdue {
		n.run.check.report("every call answered", "call %d of %s was held for %v", each.sequence, each.agent.id, n.heldLimit)
		n.policy.Withdraw(each.ref())
		n.markDirty()
		n.refuse(each, api.CodeTimeout)
	}
}

// end removes a program from the node and releases its prefixes on all engines.
func (n *node) end(finished *agent) {
	if finished.ended {
		return
	}
	finished.ended = true
	n.policy.ProgramEnded(n.run.clock.now, finished.id)
	n.markDirty()
	for _, id := range finished.engines {
		if n.run.dropsReleases {
			break
		}
		n.sendToEngine(id, func(host *engineHost) { host.release(finished.id) })
	}
	delete(n.run.owners, finished.id)
}
